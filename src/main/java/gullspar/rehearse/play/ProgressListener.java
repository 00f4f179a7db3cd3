package gullspar.rehearse.play;

/** Hears how far a day has been played, in seconds of the day. */
public interface ProgressListener {
    /** Nobody wants to know. */
    ProgressListener NONE = (at, of) -> {};

    void onProgress(double second, double totalSeconds);
}
