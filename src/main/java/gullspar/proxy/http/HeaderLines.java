package gullspar.proxy.http;

/** Checks of header lines that Netty's decoders do not make. */
public final class HeaderLines {
    private HeaderLines() {}

    /** Rejects a header line without a colon: Netty would take it for a name without a value. */
    public static void checkColon(byte[] line, int nameEnd) {
        if (nameEnd >= line.length || line[nameEnd] != ':') {
            throw new IllegalArgumentException("header line without a colon after its name");
        }
    }
}
