package gullspar.nginx;

import java.util.List;
import java.util.Optional;

/**
 * A directive as it was written: its name, its arguments, what stands in its braces (null for one that ends
 * with a semicolon), and the raw text of a block that is not configuration (a script), else null.
 */
public record Directive(Word name, List<Word> arguments, List<Directive> block, String raw) {
    public Directive {
        arguments = List.copyOf(arguments);
        block = block == null ? null : List.copyOf(block);
    }

    public SourceLocation position() {
        return name.position();
    }

    /** Is that its name? */
    public boolean is(String expected) {
        return name.text().equals(expected);
    }

    /** The text of an argument; empty if there are not so many. */
    public Optional<String> argument(int index) {
        return index < arguments.size() ? Optional.of(arguments.get(index).text()) : Optional.empty();
    }

    /** How many directives there are in all, this one and those of its block included. */
    public int count() {
        return 1
                + (block == null ? 0 : block.stream().mapToInt(Directive::count).sum());
    }
}
