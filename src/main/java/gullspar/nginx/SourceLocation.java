package gullspar.nginx;

import java.nio.file.Path;

/** A position in a file; line and column count from 1. */
public record SourceLocation(Path file, int line, int column) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column;
    }
}
