package gullspar.nginx;

import java.nio.file.Path;
import java.util.List;

/**
 * Splits a configuration into words, braces and semicolons by nginx's rules: # starts a comment where a word
 * could start; a quote is special only as the first character of a word; a backslash escapes the next
 * character, where \t, \r, \n, \", \' and \\ become the character they stand for and any other escape keeps
 * its backslash; ${ is part of a word.
 */
final class Lexer {
    /** The type of a token: END is a semicolon, EOF the end of the file. */
    enum TokenType {
        WORD,
        OPEN,
        CLOSE,
        END,
        EOF
    }

    /** A token; word is null unless the type is WORD. */
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
                    addProblem(position(), "unexpected '" + following + "' after a closing quote");
                }
                return new Word(word.toString(), true, position);
            }
            if (c == '\\' && offset < text.length()) {
                readEscape(word);
            } else {
                word.append(c);
            }
        }
        addProblem(position, "unclosed quote");
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

    /** Reads the rest of an escape sequence, after the backslash. */
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
     * Reads the rest of a script block up to its closing brace. Nested braces are counted, except in Lua's
     * quoted strings, long brackets and comments.
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
        addProblem(openingBrace, "unclosed block");
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

    /** Skips a long bracket of Lua, [[ ]] or [=[ ]=]; returns false if none starts here. */
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
