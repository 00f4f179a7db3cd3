package gullspar.site.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The target of a request (RFC 9112, section 3.2): the decoded and normalized path used for routing, and the
 * target as received, which is forwarded unless the route rewrites it. authority is that of an absolute target,
 * otherwise null; query is null if there is none.
 */
public record Target(String raw, String authority, String path, String query, Charset charset) {
    private static final Pattern VALID = Pattern.compile("[!-~&&[^#\"<>\\\\^`{|}]]+|[!-~&&[^#]]+");
    private static final String UNESCAPED = "-._~!$&'()*+,;=:@/";

    /** Parses a target; returns null if it is invalid. */
    public static Target of(String uri, String method) {
        if (!VALID.matcher(uri).matches()) {
            return null;
        }
        if (uri.equals("*")) {
            return method.equals("OPTIONS") ? new Target(uri, null, "/", null, StandardCharsets.UTF_8) : null;
        }
        String authority = null;
        String origin = uri;
        if (uri.regionMatches(true, 0, "http://", 0, 7)) {
            int slash = uri.indexOf('/', 7);
            int question = uri.indexOf('?', 7);
            int end = slash < 0 || question >= 0 && question < slash ? question : slash;
            authority = end < 0 ? uri.substring(7) : uri.substring(7, end);
            origin = end < 0 ? "/" : uri.substring(end);
            origin = origin.startsWith("?") ? "/" + origin : origin;
            if (authority.isEmpty() || authority.contains("@")) {
                return null;
            }
        }
        int question = origin.indexOf('?');
        byte[] decoded = decode(question < 0 ? origin : origin.substring(0, question));
        if (!origin.startsWith("/") || decoded == null) {
            return null;
        }
        Charset charset = charset(decoded);
        String path = normalize(new String(decoded, charset));
        return path == null
                ? null
                : new Target(origin, authority, path, question < 0 ? null : origin.substring(question + 1), charset);
    }

    /** Decodes %XX in a path; returns null if an escape is malformed or decodes to 0. */
    private static byte[] decode(String path) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(path.length());
        for (int i = 0; i < path.length(); i++) {
            char c = path.charAt(i);
            if (c == '%') {
                int high = i + 2 < path.length() ? Character.digit(path.charAt(i + 1), 16) : -1;
                int low = i + 2 < path.length() ? Character.digit(path.charAt(i + 2), 16) : -1;
                if (high < 0 || low < 0 || high + low == 0) {
                    return null;
                }
                bytes.write(high * 16 + low);
                i += 2;
            } else {
                bytes.write(c);
            }
        }
        return bytes.toByteArray();
    }

    /** UTF-8 if the bytes are valid UTF-8, otherwise ISO 8859-1, which maps each byte to a character. */
    private static Charset charset(byte[] bytes) {
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes));
            return StandardCharsets.UTF_8;
        } catch (CharacterCodingException e) {
            return StandardCharsets.ISO_8859_1;
        }
    }

    /** Removes empty, . and .. segments; returns null if the path leads above the root. */
    private static String normalize(String path) {
        if (!path.contains("//") && !path.contains("/.")) {
            return path;
        }
        List<String> segments = new ArrayList<>();
        boolean trailingSlash = true;
        for (String s : path.substring(1).split("/", -1)) {
            trailingSlash = s.isEmpty() || s.equals(".") || s.equals("..");
            if (s.equals("..")) {
                if (segments.isEmpty()) {
                    return null;
                }
                segments.remove(segments.size() - 1);
            } else if (!trailingSlash) {
                segments.add(s);
            }
        }
        String joined = "/" + String.join("/", segments);
        return trailingSlash && !segments.isEmpty() ? joined + "/" : joined;
    }

    /** Encodes a path, followed by the query of this target, for a request line. */
    public String withPath(String otherPath) {
        StringBuilder s = new StringBuilder(otherPath.length() + 16);
        for (byte b : otherPath.getBytes(charset)) {
            if (b > 0 && (Character.isLetterOrDigit(b) || UNESCAPED.indexOf(b) >= 0)) {
                s.append((char) b);
            } else {
                s.append('%').append(hex(b >> 4)).append(hex(b));
            }
        }
        return query == null ? s.toString() : s.append('?').append(query).toString();
    }

    private static char hex(int v) {
        return Character.toUpperCase(Character.forDigit(v & 15, 16));
    }
}
