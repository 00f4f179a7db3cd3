package gullspar.proxy.io;

import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes what libraries log as lines of the proxy's own log. The usual handler puts a date before each, and
 * for the first one loads time zones and locales from files: with no descriptor left that is an Error, which
 * ends the event loop, and done beforehand it costs a start more than a tenth of a second.
 */
public final class LibraryLogHandler extends Handler {
    private final Log log = Log.standardError();

    public static void install() {
        Logger root = Logger.getLogger("");
        for (Handler h : root.getHandlers()) {
            root.removeHandler(h);
        }
        root.addHandler(new LibraryLogHandler());
    }

    @Override
    public void publish(LogRecord record) {
        if (isLoggable(record)) {
            Throwable thrown = record.getThrown();
            StackTraceElement[] trace = thrown == null ? new StackTraceElement[0] : thrown.getStackTrace();
            log.write(record.getLevel().getName() + " " + record.getMessage() + (thrown == null ? "" : ": " + thrown)
                    + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
