package gullspar.journal.file;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/** The folder of a journal's segments, as the system has it: every call may fail, and take its time. */
public interface Disk {
    /** A segment that is open. */
    interface File extends Closeable {
        /** Writes at the end; on an exception some of it may be there. */
        void append(byte[] bytes, int length) throws IOException;

        /** Returns once what was appended survives the loss of power (fdatasync). */
        void sync() throws IOException;
    }

    /** The numbers of the segments that there are, the lowest first. */
    List<Long> segments() throws IOException;

    /** A new segment, whose name survives the loss of power once this returns. */
    File create(long number) throws IOException;

    /** Reads from a place of a segment on, up to the array's length; 0 at the end. */
    int read(long number, long offset, byte[] buffer) throws IOException;

    void delete(long number) throws IOException;
}
