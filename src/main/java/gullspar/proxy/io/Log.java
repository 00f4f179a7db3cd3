package gullspar.proxy.io;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;

/** Where a proxy's own words go, a line each. */
public interface Log {
    void write(String line);

    /** One line on standard error, with Unix time in ms ahead. */
    static Log standardError() {
        return line -> System.err.println(System.currentTimeMillis() + " " + line);
    }

    /**
     * From now on nothing that this process writes to standard error keeps its writer waiting.
     *
     * @return what is to be drained before the process ends
     */
    static NonBlockingStream makeStandardErrorNonBlocking() {
        NonBlockingStream stream = new NonBlockingStream(new FileOutputStream(FileDescriptor.err));
        System.setErr(new PrintStream(stream, true));
        return stream;
    }
}
