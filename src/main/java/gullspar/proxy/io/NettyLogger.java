package gullspar.proxy.io;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.FormattingTuple;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.MessageFormatter;

/**
 * Writes what Netty logs, from the level of warnings on, to the proxy's own log. Netty reports errors on the event loop
 * through it, so it throws none itself and uses no class that is loaded with the first record.
 */
final class NettyLogger extends AbstractInternalLogger {
    private static final long serialVersionUID = 1;

    private final transient Log log;

    private NettyLogger(String name, Log log) {
        super(name);
        this.log = log;
    }

    /** Creates such loggers; to be set before the first class of Netty is used. */
    static final class Factory extends InternalLoggerFactory {
        private final Log log;

        Factory(Log log) {
            this.log = log;
        }

        @Override
        protected InternalLogger newInstance(String name) {
            return new NettyLogger(name, log);
        }
    }

    private void write(String level, String message, Throwable thrown) {
        if (thrown != null) {
            Errors.report(log, level + " " + message, thrown);
            return;
        }
        try {
            log.write(level + " " + message);
        } catch (Throwable e) {
            Errors.rethrowIfFatal(e);
            Errors.report(log, "not logged", e);
        }
    }

    private void write(String level, FormattingTuple formatted) {
        write(level, formatted.getMessage(), formatted.getThrowable());
    }

    @Override
    public boolean isTraceEnabled() {
        return false;
    }

    @Override
    public void trace(String message) {}

    @Override
    public void trace(String format, Object argument) {}

    @Override
    public void trace(String format, Object first, Object second) {}

    @Override
    public void trace(String format, Object... arguments) {}

    @Override
    public void trace(String message, Throwable thrown) {}

    @Override
    public boolean isDebugEnabled() {
        return false;
    }

    @Override
    public void debug(String message) {}

    @Override
    public void debug(String format, Object argument) {}

    @Override
    public void debug(String format, Object first, Object second) {}

    @Override
    public void debug(String format, Object... arguments) {}

    @Override
    public void debug(String message, Throwable thrown) {}

    @Override
    public boolean isInfoEnabled() {
        return false;
    }

    @Override
    public void info(String message) {}

    @Override
    public void info(String format, Object argument) {}

    @Override
    public void info(String format, Object first, Object second) {}

    @Override
    public void info(String format, Object... arguments) {}

    @Override
    public void info(String message, Throwable thrown) {}

    @Override
    public boolean isWarnEnabled() {
        return true;
    }

    @Override
    public void warn(String message) {
        write("WARNING", message, null);
    }

    @Override
    public void warn(String format, Object argument) {
        write("WARNING", MessageFormatter.format(format, argument));
    }

    @Override
    public void warn(String format, Object first, Object second) {
        write("WARNING", MessageFormatter.format(format, first, second));
    }

    @Override
    public void warn(String format, Object... arguments) {
        write("WARNING", MessageFormatter.arrayFormat(format, arguments));
    }

    @Override
    public void warn(String message, Throwable thrown) {
        write("WARNING", message, thrown);
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }

    @Override
    public void error(String message) {
        write("SEVERE", message, null);
    }

    @Override
    public void error(String format, Object argument) {
        write("SEVERE", MessageFormatter.format(format, argument));
    }

    @Override
    public void error(String format, Object first, Object second) {
        write("SEVERE", MessageFormatter.format(format, first, second));
    }

    @Override
    public void error(String format, Object... arguments) {
        write("SEVERE", MessageFormatter.arrayFormat(format, arguments));
    }

    @Override
    public void error(String message, Throwable thrown) {
        write("SEVERE", message, thrown);
    }
}
