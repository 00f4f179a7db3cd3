package gullspar.rehearse.play;

/** Hears how far a day has been played, in seconds of the day. */
public interface Progress {
    /** Nobody wants to know. */
    Progress NONE = (at, of) -> {};

    void at(double second, double of);
}
