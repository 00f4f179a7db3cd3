package gullspar.proxy.io;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;

/** The proxy's own log, written line by line. */
public interface Log {
    void write(String line);

    /** Writes each line to standard error, preceded by the Unix time in ms. */
    static Log standardError() {
        return line -> System.err.println(System.currentTimeMillis() + " " + line);
    }

    /**
     * Replaces standard error by a stream whose writers never block.
     *
     * @return the stream, to be drained before the process exits
     */
    static NonBlockingStream makeStandardErrorNonBlocking() {
        NonBlockingStream stream = new NonBlockingStream(new FileOutputStream(FileDescriptor.err));
        System.setErr(new PrintStream(stream, true));
        return stream;
    }
}
