package gullspar.proxy.http;

/** Checks of header lines that Netty's decoders do not make. */
public final class HeaderLines {
    private HeaderLines() {}

    /**
     * Throws an IllegalArgumentException if a header line has no colon after its name: Netty would accept it as a name
     * without a value.
     */
    public static void checkColon(byte[] line, int nameEnd) {
        if (nameEnd >= line.length || line[nameEnd] != ':') {
            throw new IllegalArgumentException("header line without a colon after its name");
        }
    }
}
