package gullspar.nginx;

/** What is wrong with a file, where, and the line it stands in. */
public record Problem(SourceLocation position, String message, String lineText) {
    /** file:line:column: what, then the line, then a caret under the place. */
    @Override
    public String toString() {
        StringBuilder caret = new StringBuilder();
        for (int i = 0; i < Math.min(position.column() - 1, lineText.length()); i++) {
            caret.append(lineText.charAt(i) == '\t' ? '\t' : ' ');
        }
        return position + ": " + message + "\n" + lineText + "\n" + caret + "^";
    }
}
