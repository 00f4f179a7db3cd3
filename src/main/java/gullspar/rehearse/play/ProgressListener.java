package gullspar.rehearse.play;

/** Is notified of the progress of a day, in seconds of the day. */
public interface ProgressListener {
    /** Ignores progress. */
    ProgressListener NONE = (at, of) -> {};

    void onProgress(double second, double totalSeconds);
}
