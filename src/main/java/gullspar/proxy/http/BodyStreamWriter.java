package gullspar.proxy.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import java.util.function.BooleanSupplier;

/**
 * Writes pieces of a body to a channel, as far as that takes them. A write that fills the channel's buffer
 * calls its handler from inside itself, half way through the encoder: whatever was written there would come
 * between the parts of a piece, so until the write is over nothing else is.
 */
public final class BodyStreamWriter {
    private boolean writing;

    /** Writes what comes ahead of the pieces. */
    public void writeFirst(Runnable writes) {
        writing = true;
        writes.run();
        writing = false;
    }

    /**
     * Writes what is there; true if it did, false if a write is under way, which sees to it. wanted: does
     * anybody still want it? moved: called for each piece.
     */
    public boolean write(Channel channel, BodyStream from, BooleanSupplier isActive, Runnable onChunk) {
        if (writing) {
            return false;
        }
        writing = true;
        do {
            while (channel.isWritable() && from.hasChunk()) {
                onChunk.run();
                channel.write(new DefaultHttpContent(from.nextChunk()));
            }
            channel.flush();
        } while (isActive.getAsBoolean() && channel.isWritable() && from.hasChunk());
        writing = false;
        return true;
    }
}
