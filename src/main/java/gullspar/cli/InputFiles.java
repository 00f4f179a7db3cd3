package gullspar.cli;

import gullspar.toml.ProblemsException;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Reads the input files of commands and prints their errors on standard error. */
final class InputFiles {
    private InputFiles() {}

    /** Parses a file; errors in its content are thrown as one {@link ProblemsException}. */
    interface Reader<T> {
        T read(Path file) throws IOException, ProblemsException;
    }

    /** Parses a file; on errors, prints them, one per line, and returns null. */
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
