package gullspar.cli;

import gullspar.rehearse.play.ProgressListener;
import java.io.PrintStream;
import java.util.Locale;

/** Shows progress on a status line of an interactive terminal; prints nothing if there is none. */
final class Terminal implements ProgressListener {
    /** Moves the cursor to the start of the line and erases the line (ANSI). */
    private static final String ERASE_LINE = "\r\u001b[K";

    private static final int BAR_CHARS = 30;

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
            err.print(ERASE_LINE + text);
            err.flush();
            hasStatusLine = true;
        }
    }

    /** Removes the status line. */
    void clearStatus() {
        if (hasStatusLine) {
            err.print(ERASE_LINE);
            err.flush();
            hasStatusLine = false;
        }
    }

    @Override
    public void onProgress(double second, double totalSeconds) {
        int filled = (int) (BAR_CHARS * second / totalSeconds);
        showStatus(String.format(
                Locale.ROOT,
                "playing [%s%s] %.0f of %.0f s",
                "#".repeat(filled),
                ".".repeat(BAR_CHARS - filled),
                second,
                totalSeconds));
    }
}
