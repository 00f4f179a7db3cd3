package gullspar.proxy.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import java.util.function.BooleanSupplier;

/**
 * Writes the chunks of a body stream to a channel while that is writable. A write that fills the channel's
 * buffer calls the channel's handler re-entrantly from within the encoder: a nested write would land between
 * the parts of a chunk, so nested writes are suppressed.
 */
public final class BodyStreamWriter {
    private boolean writing;

    /** Runs writes that precede the chunks, such as that of the head, with nested writes suppressed. */
    public void writeFirst(Runnable writes) {
        writing = true;
        writes.run();
        writing = false;
    }

    /**
     * Writes the available chunks. Returns false if a write is already in progress, which writes them too.
     * isActive: whether the stream is still needed; onChunk: called for each chunk.
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
