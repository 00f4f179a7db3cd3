package gullspar.peers;

/** What a member tells of its work: requests a second, those refused a second, and those in hand. */
public record Figures(float requests, float refused, int pending) {
    /** Of one that serves nothing. */
    public static final Figures NONE = new Figures(0, 0, 0);
}
