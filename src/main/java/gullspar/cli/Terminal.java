package gullspar.cli;

import gullspar.rehearse.play.ProgressListener;
import java.io.PrintStream;
import java.util.Locale;

/** Progress output for an interactive terminal; prints nothing if there is none. */
final class Terminal implements ProgressListener {
    private final boolean isInteractive = System.console() != null;
    private final PrintStream err = System.err;
    private boolean lineOpen;

    /** Whether output goes to an interactive terminal, so that tables and progress are shown. */
    boolean isInteractive() {
        return isInteractive;
    }

    /** Prints a status line, which the next one overwrites. */
    void status(String text) {
        if (isInteractive) {
            err.print("\r\u001b[K" + text);
            err.flush();
            lineOpen = true;
        }
    }

    /** Removes the status line. */
    void clear() {
        if (lineOpen) {
            err.print("\r\u001b[K");
            err.flush();
            lineOpen = false;
        }
    }

    @Override
    public void onProgress(double second, double of) {
        int filled = (int) (30 * second / of);
        status(String.format(
                Locale.ROOT, "playing [%s%s] %.0f of %.0f s", "#".repeat(filled), ".".repeat(30 - filled), second, of));
    }
}
