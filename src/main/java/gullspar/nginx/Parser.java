package gullspar.nginx;

import gullspar.nginx.Lexer.Token;
import gullspar.nginx.Lexer.Type;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads one file of nginx's configuration into directives, whatever they are called. What is wrong becomes a
 * problem at its place, and reading goes on behind it, so that all comes at once.
 */
public final class Parser {
    /** Blocks deeper than that are a slip, or an attack. */
    private static final int DEEPEST = 100;

    private static final String SCRIPT = "_by_lua_block";

    private final Lexer lexer;

    private Parser(String text, Path file, List<Problem> problems) {
        this.lexer = new Lexer(text, file, problems);
    }

    /** The directives of a text; problems are added to the list. */
    public static List<Directive> parse(String text, Path file, List<Problem> problems) {
        Parser p = new Parser(text.startsWith("\ufeff") ? text.substring(1) : text, file, problems);
        List<Directive> all = new ArrayList<>();
        // A brace too many ends a block that is none: what follows is read as well.
        while (p.block(all, 0, null) == Type.CLOSE) {
            continue;
        }
        return all;
    }

    /** Up to the end of a block, or of the file; says which it was. */
    private Type block(List<Directive> into, int depth, SourceLocation opened) {
        while (true) {
            Token t = lexer.token();
            switch (t.type()) {
                case EOF -> {
                    if (opened != null) {
                        lexer.problem(opened, "a block that is never closed");
                    }
                    return Type.EOF;
                }
                case CLOSE -> {
                    if (opened == null) {
                        lexer.problem(t.place(), "unexpected }");
                    }
                    return Type.CLOSE;
                }
                case OPEN -> {
                    lexer.problem(t.place(), "unexpected {");
                    block(new ArrayList<>(), depth + 1, t.place());
                }
                case END -> lexer.problem(t.place(), "unexpected ;");
                default -> {
                    Type end = directive(t.word(), into, depth);
                    if (end != Type.END) {
                        if (end == Type.EOF && opened != null) {
                            lexer.problem(opened, "a block that is never closed");
                        }
                        return end;
                    }
                }
            }
        }
    }

    /** One directive from its name on: END when it is whole, else what ended it too early. */
    private Type directive(Word name, List<Directive> into, int depth) {
        List<Word> arguments = new ArrayList<>();
        while (true) {
            Token t = lexer.token();
            switch (t.type()) {
                case WORD -> arguments.add(t.word());
                case END -> {
                    into.add(new Directive(name, arguments, null, null));
                    return Type.END;
                }
                case OPEN -> {
                    if (name.text().endsWith(SCRIPT)) {
                        into.add(new Directive(name, arguments, null, lexer.raw(t.place())));
                        return Type.END;
                    }
                    if (depth >= DEEPEST) {
                        lexer.problem(t.place(), "blocks are nested more than " + DEEPEST + " deep");
                        lexer.raw(t.place());
                        return Type.END;
                    }
                    List<Directive> block = new ArrayList<>();
                    Type end = block(block, depth + 1, t.place());
                    into.add(new Directive(name, arguments, block, null));
                    return end == Type.EOF ? Type.EOF : Type.END;
                }
                default -> {
                    lexer.problem(name.place(), "directive \"" + name.text() + "\" is not terminated by \";\"");
                    into.add(new Directive(name, arguments, null, null));
                    return t.type();
                }
            }
        }
    }
}
