package gullspar.versions.wire;

import gullspar.versions.Message;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits messages into frames, so that a long one can be sent at a limited rate while its frames show that the
 * sender is alive. A frame consists of the 4-byte length of what follows, a byte that is 1 for the last frame of a
 * message and 0 otherwise, and the payload.
 */
public final class Frames {
    /** Limit for a frame, without its length field. */
    public static final int MAX_FRAME_BYTES = 2048;

    private static final int COMPRESSION_LEVEL = 6;

    private Frames() {}

    /** Encodes a message as frames, including their length fields. */
    public static List<byte[]> of(Message m) {
        byte[] packed = Compression.compress(Codec.encode(m), COMPRESSION_LEVEL);
        List<byte[]> frames = new ArrayList<>(1 + packed.length / MAX_FRAME_BYTES);
        int at = 0;
        do {
            int n = Math.min(MAX_FRAME_BYTES - 1, packed.length - at);
            boolean last = at + n == packed.length;
            frames.add(ByteBuffer.allocate(Integer.BYTES + 1 + n)
                    .putInt(1 + n)
                    .put((byte) (last ? 1 : 0))
                    .put(packed, at, n)
                    .array());
            at += n;
        } while (at < packed.length);
        return frames;
    }

    /** Reassembles messages from received frames; one for each connection. */
    public static final class Assembler {
        private final ByteArrayOutputStream parts = new ByteArrayOutputStream();
        private final int maxBytes;

        /** maxBytes: limit for a compressed message. */
        public Assembler(int maxBytes) {
            this.maxBytes = maxBytes;
        }

        /**
         * Adds a frame without its length field. Returns the message completed by it, or null if there is none or
         * its kind is unknown. Throws IOException for an invalid frame or message.
         */
        public Message add(byte[] frame) throws IOException {
            if (frame.length < 2 || frame[0] != 0 && frame[0] != 1) {
                throw new IOException("invalid frame header");
            }
            if (parts.size() + frame.length > maxBytes) {
                throw new IOException("message exceeds the maximum of " + maxBytes + " bytes");
            }
            parts.write(frame, 1, frame.length - 1);
            if (frame[0] == 0) {
                return null;
            }
            byte[] whole = parts.toByteArray();
            parts.reset();
            return Codec.decode(Compression.decompress(whole));
        }
    }
}
