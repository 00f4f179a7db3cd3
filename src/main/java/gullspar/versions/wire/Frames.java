package gullspar.versions.wire;

import gullspar.versions.Message;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A message as frames, so that a long one goes out at a pace and lets others see that its sender is there: 4
 * bytes length of what follows, 1 byte (1 if it is the message's last), then a part of it.
 */
public final class Frames {
    /** Bytes of a frame, its length not counted, at the most. */
    public static final int MAX_FRAME_BYTES = 2048;

    private static final int COMPRESSION_LEVEL = 6;

    private Frames() {}

    /** The frames of a message, each as it goes out. */
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

    /** Puts what comes together again; one for each connection. */
    public static final class Assembler {
        private final ByteArrayOutputStream parts = new ByteArrayOutputStream();
        private final int maxBytes;

        /** A message may have at most so many bytes, packed. */
        public Assembler(int maxBytes) {
            this.maxBytes = maxBytes;
        }

        /**
         * A frame without its length; the message that ends with it, null if none does or its kind is not
         * known. An IOException if that cannot be.
         */
        public Message add(byte[] frame) throws IOException {
            if (frame.length < 2 || frame[0] != 0 && frame[0] != 1) {
                throw new IOException("a frame that cannot be");
            }
            if (parts.size() + frame.length > maxBytes) {
                throw new IOException("a message of more than " + maxBytes + " bytes");
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
