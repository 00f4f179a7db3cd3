package gullspar.cli;

import gullspar.rehearse.play.Progress;
import java.io.PrintStream;
import java.util.Locale;

/** Words for people at a terminal; without one, only what was asked for. */
final class Terminal implements Progress {
    private final boolean isInteractive = System.console() != null;
    private final PrintStream err = System.err;
    private boolean lineOpen;

    /** Is somebody there to read a table or a progress line? */
    boolean isInteractive() {
        return isInteractive;
    }

    /** A line that the next one of its kind writes over. */
    void status(String text) {
        if (isInteractive) {
            err.print("\r\u001b[K" + text);
            err.flush();
            lineOpen = true;
        }
    }

    /** Takes the status line away. */
    void clear() {
        if (lineOpen) {
            err.print("\r\u001b[K");
            err.flush();
            lineOpen = false;
        }
    }

    @Override
    public void at(double second, double of) {
        int filled = (int) (30 * second / of);
        status(String.format(
                Locale.ROOT, "playing [%s%s] %.0f of %.0f s", "#".repeat(filled), ".".repeat(30 - filled), second, of));
    }
}
