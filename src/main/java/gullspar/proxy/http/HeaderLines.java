package gullspar.proxy.http;

/** What the library's decoders let pass in the lines of a head, and the proxy does not. */
public final class HeaderLines {
    private HeaderLines() {}

    /** A line with no colon is no header: the library would take it for a name with no value. */
    public static void checkColon(byte[] line, int nameEnd) {
        if (nameEnd >= line.length || line[nameEnd] != ':') {
            throw new IllegalArgumentException("a header with no colon behind its name");
        }
    }
}
