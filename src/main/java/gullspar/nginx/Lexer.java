package gullspar.nginx;

import java.nio.file.Path;
import java.util.List;

/**
 * Cuts a configuration into words, braces and semicolons, as nginx reads them: a comment begins with # where
 * a word could; a quote counts only as the first character of a word; a backslash keeps the next character
 * from meaning anything, and of \t, \r, \n, \", \' and \\ only the character itself stays; ${ belongs to a
 * word.
 */
final class Lexer {
    /** What a token is. */
    enum Type {
        WORD,
        OPEN,
        CLOSE,
        END,
        EOF
    }

    /** A token; the word is null for all others. */
    record Token(Type type, Word word, SourceLocation place) {}

    private final String text;
    private final Path file;
    private final List<Problem> problems;
    private int at;
    private int line = 1;
    private int lineFrom;

    Lexer(String text, Path file, List<Problem> problems) {
        this.text = text;
        this.file = file;
        this.problems = problems;
    }

    private SourceLocation here() {
        return new SourceLocation(file, line, at - lineFrom + 1);
    }

    void problem(SourceLocation place, String what) {
        problems.add(new Problem(place, what, lineOf(place.line())));
    }

    private String lineOf(int number) {
        int from = 0;
        for (int n = 1; n < number; n++) {
            from = text.indexOf('\n', from) + 1;
        }
        int to = text.indexOf('\n', from);
        String l = text.substring(from, to < 0 ? text.length() : to);
        return l.endsWith("\r") ? l.substring(0, l.length() - 1) : l;
    }

    private char next() {
        char c = text.charAt(at++);
        if (c == '\n') {
            line++;
            lineFrom = at;
        }
        return c;
    }

    private static boolean space(char c) {
        return c == ' ' || c == '\t' || c == '\r' || c == '\n';
    }

    private void skipSpace() {
        while (at < text.length()) {
            char c = text.charAt(at);
            if (c == '#') {
                while (at < text.length() && text.charAt(at) != '\n') {
                    at++;
                }
            } else if (space(c)) {
                next();
            } else {
                return;
            }
        }
    }

    Token token() {
        skipSpace();
        SourceLocation place = here();
        if (at >= text.length()) {
            return new Token(Type.EOF, null, place);
        }
        char c = text.charAt(at);
        if (c == '{' || c == '}' || c == ';') {
            next();
            return new Token(c == '{' ? Type.OPEN : c == '}' ? Type.CLOSE : Type.END, null, place);
        }
        return new Token(Type.WORD, c == '"' || c == '\'' ? quoted(place) : plain(place), place);
    }

    private Word quoted(SourceLocation place) {
        char quote = next();
        StringBuilder word = new StringBuilder();
        while (at < text.length()) {
            char c = next();
            if (c == quote) {
                char after = at < text.length() ? text.charAt(at) : ' ';
                if (!space(after) && after != ';' && after != '{' && after != ')') {
                    problem(here(), "unexpected '" + after + "' behind a closing quote");
                }
                return new Word(word.toString(), true, place);
            }
            if (c == '\\' && at < text.length()) {
                escape(word);
            } else {
                word.append(c);
            }
        }
        problem(place, "a quote that is never closed");
        return new Word(word.toString(), true, place);
    }

    private Word plain(SourceLocation place) {
        StringBuilder word = new StringBuilder();
        boolean dollar = false;
        while (at < text.length()) {
            char c = text.charAt(at);
            if (space(c) || c == ';' || c == '{' && !dollar) {
                break;
            }
            next();
            if (c == '\\' && at < text.length()) {
                escape(word);
                dollar = false;
            } else {
                word.append(c);
                dollar = c == '$';
            }
        }
        return new Word(word.toString(), false, place);
    }

    /** Behind a backslash. */
    private void escape(StringBuilder word) {
        char c = next();
        switch (c) {
            case '"', '\'', '\\' -> word.append(c);
            case 't' -> word.append('\t');
            case 'r' -> word.append('\r');
            case 'n' -> word.append('\n');
            default -> word.append('\\').append(c);
        }
    }

    /**
     * The rest of a block that is a script, up to its closing brace; braces in it are counted, but for those
     * in quotes, in long brackets and behind --, as Lua has them.
     */
    String raw(SourceLocation opened) {
        int from = at;
        int depth = 1;
        while (at < text.length()) {
            char c = next();
            if (c == '{') {
                depth++;
            } else if (c == '}' && --depth == 0) {
                return text.substring(from, at - 1);
            } else if (c == '"' || c == '\'') {
                skipString(c);
            } else if (c == '-' && text.startsWith("-", at)) {
                next();
                if (!skipLong()) {
                    skipLine();
                }
            } else if (c == '[') {
                at--;
                if (!skipLong()) {
                    next();
                }
            }
        }
        problem(opened, "a block that is never closed");
        return text.substring(from);
    }

    private void skipString(char quote) {
        while (at < text.length()) {
            char c = next();
            if (c == '\\' && at < text.length()) {
                next();
            } else if (c == quote || c == '\n') {
                return;
            }
        }
    }

    private void skipLine() {
        while (at < text.length() && text.charAt(at) != '\n') {
            next();
        }
    }

    /** A long bracket of Lua, [[ ]] or [=[ ]=]; false if none begins here. */
    private boolean skipLong() {
        int i = at;
        if (i >= text.length() || text.charAt(i) != '[') {
            return false;
        }
        i++;
        while (i < text.length() && text.charAt(i) == '=') {
            i++;
        }
        if (i >= text.length() || text.charAt(i) != '[') {
            return false;
        }
        String end = "]" + "=".repeat(i - at - 1) + "]";
        int to = text.indexOf(end, i + 1);
        int until = to < 0 ? text.length() : to + end.length();
        while (at < until) {
            next();
        }
        return true;
    }
}
