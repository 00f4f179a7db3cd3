package gullspar.toml;

import java.util.Comparator;
import java.util.List;

/** Thrown for an invalid TOML text; the message has one line for each problem, file:line:column: message. */
public final class ProblemsException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<Problem> problems;

    public ProblemsException(String file, List<Problem> problems) {
        super(format(file, problems));
        this.problems = List.copyOf(problems);
    }

    private static String format(String file, List<Problem> problems) {
        StringBuilder text = new StringBuilder();
        problems.stream()
                .sorted(Comparator.comparingInt(Problem::line).thenComparingInt(Problem::column))
                .forEach(p -> text.append(text.isEmpty() ? "" : "\n")
                        .append(file)
                        .append(':')
                        .append(p.line())
                        .append(':')
                        .append(p.column())
                        .append(": ")
                        .append(p.message()));
        return text.toString();
    }

    public List<Problem> problems() {
        return problems;
    }
}
