package gullspar.cli;

import gullspar.rehearse.play.ProgressListener;
import java.io.PrintStream;
import java.util.Locale;

/** Progress output for an interactive terminal; prints nothing if there is none. */
final class Terminal implements ProgressListener {
    private final boolean isInteractive = System.console() != null;
    private final PrintStream err = System.err;
    private boolean hasStatusLine;

    /** Whether output goes to an interactive terminal, so that tables and progress are shown. */
    boolean isInteractive() {
        return isInteractive;
    }

    /** Prints a status line, which the next one overwrites. */
    void showStatus(String text) {
        if (isInteractive) {
            err.print("\r\u001b[K" + text);
            err.flush();
            hasStatusLine = true;
        }
    }

    /** Removes the status line. */
    void clearStatus() {
        if (hasStatusLine) {
            err.print("\r\u001b[K");
            err.flush();
            hasStatusLine = false;
        }
    }

    @Override
    public void onProgress(double second, double totalSeconds) {
        int filled = (int) (30 * second / totalSeconds);
        showStatus(String.format(
                Locale.ROOT,
                "playing [%s%s] %.0f of %.0f s",
                "#".repeat(filled),
                ".".repeat(30 - filled),
                second,
                totalSeconds));
    }
}
