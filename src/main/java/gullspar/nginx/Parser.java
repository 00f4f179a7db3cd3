package gullspar.nginx;

import gullspar.nginx.Lexer.Token;
import gullspar.nginx.Lexer.TokenType;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses one nginx configuration file into directives, without interpreting their names. Errors become
 * problems with their position, and parsing continues after them, so that all are reported at once.
 */
public final class Parser {
    /** Limit on nested blocks: deeper nesting is a mistake or an attack. */
    private static final int MAX_DEPTH = 100;

    private static final String SCRIPT_BLOCK_SUFFIX = "_by_lua_block";

    private final Lexer lexer;

    private Parser(String text, Path file, List<Problem> problems) {
        this.lexer = new Lexer(text, file, problems);
    }

    /** Returns the directives of a text; problems are added to the list. */
    public static List<Directive> parse(String text, Path file, List<Problem> problems) {
        Parser parser = new Parser(text.startsWith("\ufeff") ? text.substring(1) : text, file, problems);
        List<Directive> directives = new ArrayList<>();
        // A surplus closing brace ends parseBlock at the top level: parse what follows it as well.
        while (parser.parseBlock(directives, 0, null) == TokenType.CLOSE) {
            continue;
        }
        return directives;
    }

    /** Parses up to the end of a block (CLOSE) or of the file (EOF) and returns which of the two it was. */
    private TokenType parseBlock(List<Directive> target, int depth, SourceLocation openingBrace) {
        while (true) {
            Token t = lexer.nextToken();
            switch (t.type()) {
                case EOF -> {
                    if (openingBrace != null) {
                        lexer.addProblem(openingBrace, "unclosed block");
                    }
                    return TokenType.EOF;
                }
                case CLOSE -> {
                    if (openingBrace == null) {
                        lexer.addProblem(t.position(), "unexpected }");
                    }
                    return TokenType.CLOSE;
                }
                case OPEN -> {
                    lexer.addProblem(t.position(), "unexpected {");
                    parseBlock(new ArrayList<>(), depth + 1, t.position());
                }
                case END -> lexer.addProblem(t.position(), "unexpected ;");
                default -> {
                    TokenType end = parseDirective(t.word(), target, depth);
                    if (end != TokenType.END) {
                        if (end == TokenType.EOF && openingBrace != null) {
                            lexer.addProblem(openingBrace, "unclosed block");
                        }
                        return end;
                    }
                }
            }
        }
    }

    /** Parses a directive after its name; returns END if it is complete, else the token that ended it early. */
    private TokenType parseDirective(Word name, List<Directive> target, int depth) {
        List<Word> arguments = new ArrayList<>();
        while (true) {
            Token t = lexer.nextToken();
            switch (t.type()) {
                case WORD -> arguments.add(t.word());
                case END -> {
                    target.add(new Directive(name, arguments, null, null));
                    return TokenType.END;
                }
                case OPEN -> {
                    if (name.text().endsWith(SCRIPT_BLOCK_SUFFIX)) {
                        target.add(new Directive(name, arguments, null, lexer.readScriptBlock(t.position())));
                        return TokenType.END;
                    }
                    if (depth >= MAX_DEPTH) {
                        lexer.addProblem(t.position(), "blocks are nested more than " + MAX_DEPTH + " levels deep");
                        lexer.readScriptBlock(t.position());
                        return TokenType.END;
                    }
                    List<Directive> block = new ArrayList<>();
                    TokenType end = parseBlock(block, depth + 1, t.position());
                    target.add(new Directive(name, arguments, block, null));
                    return end == TokenType.EOF ? TokenType.EOF : TokenType.END;
                }
                default -> {
                    lexer.addProblem(name.position(), "directive \"" + name.text() + "\" is not terminated by \";\"");
                    target.add(new Directive(name, arguments, null, null));
                    return t.type();
                }
            }
        }
    }
}
