package gullspar.proxy.io;

import io.netty.util.internal.logging.InternalLoggerFactory;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes log records of libraries to the proxy's own log; those of Netty do not pass through java.util.logging. The
 * default handler formats dates, for which it loads time zones and locales from files at the first record: without a
 * free descriptor that throws an Error, and loading them in advance delays each start by more than 0.1 s.
 */
public final class LibraryLogHandler extends Handler {
    private final Log log = Log.standardError();

    /** To be called before the first class of Netty is used, whose loggers are made with their classes. */
    public static void install() {
        InternalLoggerFactory.setDefaultFactory(new NettyLogger.Factory(Log.standardError()));
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
