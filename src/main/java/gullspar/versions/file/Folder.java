package gullspar.versions.file;

import java.io.IOException;

/** A folder with a few files of fixed names. Every call may block or fail. */
public interface Folder {
    /** Reads the whole file; null if it does not exist. */
    byte[] read(String name) throws IOException;

    /** Creates or replaces a file; on return its content survives a power failure (fsync). */
    void write(String name, byte[] content) throws IOException;

    /** Renames a file atomically, replacing an existing one. */
    void rename(String from, String to) throws IOException;

    /** On return earlier renames survive a power failure. */
    void sync() throws IOException;
}
