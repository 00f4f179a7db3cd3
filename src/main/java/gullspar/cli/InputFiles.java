package gullspar.cli;

import gullspar.toml.ProblemsException;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Files that somebody has written, read for a command. */
final class InputFiles {
    private InputFiles() {}

    /** Makes something of a file. */
    interface Reader<T> {
        T read(Path file) throws IOException, ProblemsException;
    }

    /** What the reader makes of a file; on errors they are printed, a line each, and null is returned. */
    static <T> T read(Path file, Reader<T> reader) {
        try {
            return reader.read(file);
        } catch (ProblemsException e) {
            System.err.println(e.getMessage());
        } catch (NoSuchFileException e) {
            System.err.println(file + ": there is no such file");
        } catch (CharacterCodingException e) {
            System.err.println(file + ": is not UTF-8 text");
        } catch (IOException e) {
            System.err.println(file + ": cannot be read: " + e.getMessage());
        }
        return null;
    }
}
