package gullspar.versions.file;

import java.io.IOException;

/** A folder with a few files of fixed names, as the system has it: every call may fail, and take its time. */
public interface Folder {
    /** The whole file; null if there is none. */
    byte[] read(String name) throws IOException;

    /** Makes a file anew; on return its content survives the loss of power (fsync). */
    void write(String name, byte[] content) throws IOException;

    /** Gives a file another name, at once, over one that has it. */
    void rename(String from, String to) throws IOException;

    /** On return names that were given survive the loss of power. */
    void sync() throws IOException;
}
