package gullspar.versions.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Compresses bytes (RFC 1951) if that makes them shorter. Format: a flag byte, the plain length if set, the data. */
public final class Compression {
    public static final int MAX_DECOMPRESSED_BYTES = 64 << 20;
    /** Shorter input is not compressed. */
    private static final int MIN_COMPRESSED_BYTES = 200;

    private static final int HEADER_BYTES = 1 + Integer.BYTES;

    private Compression() {}

    /** level: compression level, 1 to 9. */
    public static byte[] compress(byte[] plain, int level) {
        if (plain.length >= MIN_COMPRESSED_BYTES) {
            Deflater d = new Deflater(level, true);
            try {
                byte[] out = new byte[plain.length];
                d.setInput(plain);
                d.finish();
                int n = d.deflate(out, HEADER_BYTES, out.length - HEADER_BYTES);
                if (d.finished()) {
                    ByteBuffer.wrap(out).put((byte) 1).putInt(plain.length);
                    return Arrays.copyOf(out, HEADER_BYTES + n);
                }
            } finally {
                d.end();
            }
        }
        return ByteBuffer.allocate(1 + plain.length).put((byte) 0).put(plain).array();
    }

    /** Throws IOException for input that is invalid or too large. */
    public static byte[] decompress(byte[] packed) throws IOException {
        if (packed.length > 0 && packed[0] == 0) {
            return Arrays.copyOfRange(packed, 1, packed.length);
        }
        if (packed.length < HEADER_BYTES || packed[0] != 1) {
            throw new IOException("unknown compression format");
        }
        int length = ByteBuffer.wrap(packed).getInt(1);
        if (length < 0 || length > MAX_DECOMPRESSED_BYTES) {
            throw new IOException("message of " + length + " bytes, " + MAX_DECOMPRESSED_BYTES + " is the maximum");
        }
        Inflater i = new Inflater(true);
        try {
            byte[] out = new byte[length];
            i.setInput(packed, HEADER_BYTES, packed.length - HEADER_BYTES);
            int n = i.inflate(out);
            if (n != length || !i.finished() && i.inflate(new byte[1]) != 0) {
                throw new IOException("decompressed length differs from the declared one");
            }
            return out;
        } catch (DataFormatException e) {
            throw new IOException("message cannot be decompressed: " + e.getMessage(), e);
        } finally {
            i.end();
        }
    }
}
