package gullspar.versions;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/** A SHA-256 sum. */
public final class Checksum {
    /** In bytes. */
    public static final int LENGTH_BYTES = 32;
    /** Of nothing: the predecessor of a first version. */
    public static final Checksum NONE = new Checksum(new byte[LENGTH_BYTES]);

    private static final int DISPLAYED_BYTES = 4;

    private final byte[] bytes;

    private Checksum(byte[] bytes) {
        this.bytes = bytes;
    }

    /** As it was written; an IllegalArgumentException if its length is another. */
    public static Checksum fromBytes(byte[] bytes) {
        if (bytes.length != LENGTH_BYTES) {
            throw new IllegalArgumentException("a checksum of " + bytes.length + " bytes, not " + LENGTH_BYTES);
        }
        return new Checksum(bytes.clone());
    }

    /** Of some bytes. */
    public static Checksum of(byte[] content) {
        try {
            return new Checksum(MessageDigest.getInstance("SHA-256").digest(content));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this runtime has no SHA-256", e);
        }
    }

    /** Of a text in UTF-8. */
    public static Checksum of(String text) {
        return of(text.getBytes(StandardCharsets.UTF_8));
    }

    public byte[] bytes() {
        return bytes.clone();
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof Checksum c && Arrays.equals(bytes, c.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    /** Its first bytes, for people. */
    @Override
    public String toString() {
        return HexFormat.of().formatHex(bytes, 0, DISPLAYED_BYTES);
    }
}
