package gullspar.journal.file;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/** The storage of a journal's segments: every call may fail, and may block. */
public interface Disk {
    /** A segment that is open for writing. */
    interface File extends Closeable {
        /** Writes at the end; after an exception a part of the bytes may have been written. */
        void append(byte[] bytes, int length) throws IOException;

        /** Returns once the appended bytes survive a power loss (fdatasync). */
        void sync() throws IOException;
    }

    /** The numbers of the existing segments, in ascending order. */
    List<Long> segments() throws IOException;

    /** Creates a segment; its directory entry survives a power loss once this returns. */
    File create(long number) throws IOException;

    /** Reads from an offset of a segment, up to the array's length; returns 0 at the end. */
    int read(long number, long offset, byte[] buffer) throws IOException;

    void delete(long number) throws IOException;
}
