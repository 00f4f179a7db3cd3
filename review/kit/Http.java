package kit;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads one HTTP/1.1 message at a time from a stream; lengths by Content-Length or chunks. */
public final class Http {
    /** A message: its first line, its headers by lower-case name, and its body. */
    public record Message(String line, Map<String, String> headers, byte[] body) {
        public String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        public int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        public String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** The longest body of a usual message, by the protocol page. */
    public static final int MAX_BODY_BYTES = 64 << 10;

    /** A body is longer than any usual one. */
    public static final class TooLongException extends IOException {
        private static final long serialVersionUID = 1L;
    }

    private Http() {}

    /** Reads a head; the body is empty. Returns null at the end of the stream. */
    public static Message head(InputStream in) throws IOException {
        String line = line(in);
        while (line != null && line.isEmpty()) {
            line = line(in);
        }
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String h = line(in); !"".equals(h); h = line(in)) {
            if (h == null) {
                throw new EOFException("end within a head");
            }
            int colon = h.indexOf(':');
            headers.put(
                    h.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    h.substring(colon + 1).trim());
        }
        return new Message(line, headers, new byte[0]);
    }

    /** Reads a whole message; interim responses are passed over. Returns null at the end of the stream. */
    public static Message read(InputStream in) throws IOException {
        Message m = head(in);
        while (m != null && m.line().startsWith("HTTP/1.1 1")) {
            m = head(in);
        }
        if (m == null) {
            return null;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (m.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                if (body.size() + size > MAX_BODY_BYTES) {
                    throw new TooLongException();
                }
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
        } else if (!m.header("Content-Length").isEmpty()) {
            body.write(exactly(in, Integer.parseInt(m.header("Content-Length"))));
        }
        return new Message(m.line(), m.headers(), body.toByteArray());
    }

    private static int chunkSize(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) {
            throw new EOFException("end within chunks");
        }
        return Integer.parseInt(size.trim(), 16);
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("end within a body");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder b = new StringBuilder();
        for (int c = in.read(); ; c = in.read()) {
            if (c < 0) {
                if (b.length() == 0) {
                    return null;
                }
                throw new EOFException("end within a line");
            }
            if (c == '\n') {
                int end = b.length();
                return b.substring(0, end > 0 && b.charAt(end - 1) == '\r' ? end - 1 : end);
            }
            b.append((char) c);
        }
    }
}
