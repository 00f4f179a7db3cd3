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
    enum TokenType {
        WORD,
        OPEN,
        CLOSE,
        END,
        EOF
    }

    /** A token; the word is null for all others. */
    record Token(TokenType type, Word word, SourceLocation position) {}

    private final String text;
    private final Path file;
    private final List<Problem> problems;
    private int offset;
    private int line = 1;
    private int lineStart;

    Lexer(String text, Path file, List<Problem> problems) {
        this.text = text;
        this.file = file;
        this.problems = problems;
    }

    private SourceLocation position() {
        return new SourceLocation(file, line, offset - lineStart + 1);
    }

    void addProblem(SourceLocation position, String message) {
        problems.add(new Problem(position, message, lineText(position.line())));
    }

    private String lineText(int lineNumber) {
        int start = 0;
        for (int n = 1; n < lineNumber; n++) {
            start = text.indexOf('\n', start) + 1;
        }
        int end = text.indexOf('\n', start);
        String result = text.substring(start, end < 0 ? text.length() : end);
        return result.endsWith("\r") ? result.substring(0, result.length() - 1) : result;
    }

    private char nextChar() {
        char c = text.charAt(offset++);
        if (c == '\n') {
            line++;
            lineStart = offset;
        }
        return c;
    }

    private static boolean isSpace(char c) {
        return c == ' ' || c == '\t' || c == '\r' || c == '\n';
    }

    private void skipSpaceAndComments() {
        while (offset < text.length()) {
            char c = text.charAt(offset);
            if (c == '#') {
                while (offset < text.length() && text.charAt(offset) != '\n') {
                    offset++;
                }
            } else if (isSpace(c)) {
                nextChar();
            } else {
                return;
            }
        }
    }

    Token nextToken() {
        skipSpaceAndComments();
        SourceLocation position = position();
        if (offset >= text.length()) {
            return new Token(TokenType.EOF, null, position);
        }
        char c = text.charAt(offset);
        if (c == '{' || c == '}' || c == ';') {
            nextChar();
            return new Token(c == '{' ? TokenType.OPEN : c == '}' ? TokenType.CLOSE : TokenType.END, null, position);
        }
        return new Token(
                TokenType.WORD, c == '"' || c == '\'' ? readQuoted(position) : readUnquoted(position), position);
    }

    private Word readQuoted(SourceLocation position) {
        char quote = nextChar();
        StringBuilder word = new StringBuilder();
        while (offset < text.length()) {
            char c = nextChar();
            if (c == quote) {
                char following = offset < text.length() ? text.charAt(offset) : ' ';
                if (!isSpace(following) && following != ';' && following != '{' && following != ')') {
                    addProblem(position(), "unexpected '" + following + "' behind a closing quote");
                }
                return new Word(word.toString(), true, position);
            }
            if (c == '\\' && offset < text.length()) {
                readEscape(word);
            } else {
                word.append(c);
            }
        }
        addProblem(position, "a quote that is never closed");
        return new Word(word.toString(), true, position);
    }

    private Word readUnquoted(SourceLocation position) {
        StringBuilder word = new StringBuilder();
        boolean afterDollar = false;
        while (offset < text.length()) {
            char c = text.charAt(offset);
            if (isSpace(c) || c == ';' || c == '{' && !afterDollar) {
                break;
            }
            nextChar();
            if (c == '\\' && offset < text.length()) {
                readEscape(word);
                afterDollar = false;
            } else {
                word.append(c);
                afterDollar = c == '$';
            }
        }
        return new Word(word.toString(), false, position);
    }

    /** Behind a backslash. */
    private void readEscape(StringBuilder word) {
        char c = nextChar();
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
    String readScriptBlock(SourceLocation openingBrace) {
        int start = offset;
        int depth = 1;
        while (offset < text.length()) {
            char c = nextChar();
            if (c == '{') {
                depth++;
            } else if (c == '}' && --depth == 0) {
                return text.substring(start, offset - 1);
            } else if (c == '"' || c == '\'') {
                skipString(c);
            } else if (c == '-' && text.startsWith("-", offset)) {
                nextChar();
                if (!skipLongBracket()) {
                    skipLine();
                }
            } else if (c == '[') {
                offset--;
                if (!skipLongBracket()) {
                    nextChar();
                }
            }
        }
        addProblem(openingBrace, "a block that is never closed");
        return text.substring(start);
    }

    private void skipString(char quote) {
        while (offset < text.length()) {
            char c = nextChar();
            if (c == '\\' && offset < text.length()) {
                nextChar();
            } else if (c == quote || c == '\n') {
                return;
            }
        }
    }

    private void skipLine() {
        while (offset < text.length() && text.charAt(offset) != '\n') {
            nextChar();
        }
    }

    /** A long bracket of Lua, [[ ]] or [=[ ]=]; false if none begins here. */
    private boolean skipLongBracket() {
        int i = offset;
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
        String closingBracket = "]" + "=".repeat(i - offset - 1) + "]";
        int closingStart = text.indexOf(closingBracket, i + 1);
        int end = closingStart < 0 ? text.length() : closingStart + closingBracket.length();
        while (offset < end) {
            nextChar();
        }
        return true;
    }
}
