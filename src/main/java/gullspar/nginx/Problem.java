package gullspar.nginx;

/** An error in a file, with its position and the text of that line. */
public record Problem(SourceLocation position, String message, String lineText) {
    /** Formats the problem as file:line:column: message, then the line, then a caret under the position. */
    @Override
    public String toString() {
        StringBuilder caret = new StringBuilder();
        for (int i = 0; i < Math.min(position.column() - 1, lineText.length()); i++) {
            caret.append(lineText.charAt(i) == '\t' ? '\t' : ' ');
        }
        return position + ": " + message + "\n" + lineText + "\n" + caret + "^";
    }
}
