package gullspar.nginx;

import java.util.List;
import java.util.Optional;

/**
 * A directive as written in the file: its name, its arguments, the directives in its block (null if it ends
 * with a semicolon), and the raw text of a block that is a script rather than configuration, else null.
 */
public record Directive(Word name, List<Word> arguments, List<Directive> block, String raw) {
    public Directive {
        arguments = List.copyOf(arguments);
        block = block == null ? null : List.copyOf(block);
    }

    public SourceLocation position() {
        return name.position();
    }

    /** Whether the directive has the expected name. */
    public boolean is(String expected) {
        return name.text().equals(expected);
    }

    /** The text of an argument; empty if there are fewer arguments. */
    public Optional<String> argument(int index) {
        return index < arguments.size() ? Optional.of(arguments.get(index).text()) : Optional.empty();
    }

    /** The number of directives, including this one and all within its block. */
    public int count() {
        return 1
                + (block == null ? 0 : block.stream().mapToInt(Directive::count).sum());
    }
}
