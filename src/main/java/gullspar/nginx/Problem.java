package gullspar.nginx;

/** What is wrong with a file, where, and the line it stands in. */
public record Problem(SourceLocation place, String what, String line) {
    /** file:line:column: what, then the line, then a caret under the place. */
    @Override
    public String toString() {
        StringBuilder caret = new StringBuilder();
        for (int i = 0; i < Math.min(place.column() - 1, line.length()); i++) {
            caret.append(line.charAt(i) == '\t' ? '\t' : ' ');
        }
        return place + ": " + what + "\n" + line + "\n" + caret + "^";
    }
}
