package gullspar.config;

import gullspar.toml.Problem;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/** A file that cannot be used, with all that is wrong with it: a line each, file:line:column: what. */
public final class ConfigFileException extends Exception {
    private static final long serialVersionUID = 1L;

    ConfigFileException(String file, List<Problem> problems) {
        super(problems.stream().sorted(Comparator.comparingInt(Problem::line)
                .thenComparingInt(Problem::column))
                .map(p -> file + ":" + p.line() + ":" + p.column() + ": " + p.what())
                .collect(Collectors.joining("\n")));
    }
}
