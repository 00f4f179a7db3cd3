package gullspar.versions;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/** A SHA-256 sum. */
public final class Checksum {
    public static final int LENGTH_BYTES = 32;
    /** All zeros: stands for the missing predecessor of the first version. */
    public static final Checksum NONE = new Checksum(new byte[LENGTH_BYTES]);

    private static final int DISPLAYED_BYTES = 4;

    private final byte[] bytes;

    private Checksum(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Wraps the 32 bytes of a stored checksum; throws IllegalArgumentException for any other length. */
    public static Checksum fromBytes(byte[] bytes) {
        if (bytes.length != LENGTH_BYTES) {
            throw new IllegalArgumentException("checksum has " + bytes.length + " bytes, expected " + LENGTH_BYTES);
        }
        return new Checksum(bytes.clone());
    }

    /** Computes the checksum of the content. */
    public static Checksum of(byte[] content) {
        try {
            return new Checksum(MessageDigest.getInstance("SHA-256").digest(content));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java runtime does not provide SHA-256", e);
        }
    }

    /** Computes the checksum of a text encoded as UTF-8. */
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

    /** The first bytes in hex, for log lines. */
    @Override
    public String toString() {
        return HexFormat.of().formatHex(bytes, 0, DISPLAYED_BYTES);
    }
}
