package gullspar.proxy.http;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The part of a body that is forwarded from one connection to another while being received, for bodies too
 * large to buffer. The writer pauses while too much is buffered. All calls are on one event loop.
 */
public final class BodyStream {
    /** Reads the stream. */
    public interface Reader {
        /**
         * Called when a chunk is available, at the latest at the end of the read that has brought it, and when the
         * stream is complete or aborted.
         */
        void onUpdate();
    }

    /** The writer pauses at this many buffered bytes, until half of them are read. */
    static final int MAX_BUFFERED_BYTES = 128 << 10;
    /**
     * Limit until reading starts. It is larger because a client's disconnect is detected only by reading on.
     */
    static final int MAX_UNREAD_BYTES = 256 << 10;

    /** Minimum size of a chunk, so that a body that arrives byte by byte takes little more than its length. */
    private static final int MIN_CHUNK_BYTES = 4 << 10;

    private enum State {
        /** Being received. */
        COMING,
        /** Received completely. */
        WHOLE,
        /** Aborted: the rest will not be received. */
        BROKEN
    }

    private final Deque<ByteBuf> chunks = new ArrayDeque<>();
    private final MemoryBudget budget;
    private final Runnable onResume;
    private final Runnable onDropped;
    private int bufferedBytes;
    /** Bytes added since the reader was last notified. */
    private int unannouncedBytes;

    private boolean paused;
    private boolean dropped;
    private State state = State.COMING;
    private Reader reader;

    /** Callbacks for the writer: onResume when it may continue, onDropped when the stream is no longer needed. */
    public BodyStream(MemoryBudget budget, Runnable onResume, Runnable onDropped) {
        this.budget = budget;
        this.onResume = onResume;
        this.onDropped = onDropped;
    }

    // ---- writer ----

    /**
     * Adds a copy of a chunk, takes ownership of the chunk and releases it; returns false if the writer must pause. A
     * slice of a network buffer would keep all of that buffer, which may be thousands of times larger.
     */
    public boolean add(ByteBuf chunk) {
        try {
            return dropped || copy(chunk);
        } finally {
            chunk.release();
        }
    }

    private boolean copy(ByteBuf bytes) {
        bufferedBytes += bytes.readableBytes();
        unannouncedBytes += bytes.readableBytes();
        append(bytes);
        if (unannouncedBytes >= MIN_CHUNK_BYTES) {
            notifyReader();
        }
        int maxBytes = isUnread() ? MAX_UNREAD_BYTES : MAX_BUFFERED_BYTES;
        paused = bufferedBytes >= maxBytes || bufferedBytes > 0 && budget.isExhausted();
        return !paused;
    }

    private void append(ByteBuf bytes) {
        ByteBuf last = chunks.peekLast();
        if (last != null) {
            last.writeBytes(bytes, Math.min(bytes.readableBytes(), last.writableBytes()));
        }
        if (bytes.isReadable()) {
            ByteBuf chunk = ReservedBuffer.allocate(
                    budget, MemoryBudget.Use.STREAMS, Math.max(MIN_CHUNK_BYTES, bytes.readableBytes()));
            chunks.add(chunk.writeBytes(bytes));
        }
    }

    /**
     * Notifies the reader of what the read that ends has added. Until then small parts are collected: the reader writes
     * what it gets, and a body in chunks of one byte would cost a system call for each of them.
     */
    public void endRead() {
        if (unannouncedBytes > 0) {
            notifyReader();
        }
    }

    /** Marks the stream as complete. */
    public void complete() {
        finish(State.WHOLE);
    }

    /** Marks the stream as aborted: the rest will not be received. */
    public void abort() {
        finish(State.BROKEN);
    }

    private void finish(State finalState) {
        if (state == State.COMING) {
            state = finalState;
            notifyReader();
        }
    }

    private void notifyReader() {
        unannouncedBytes = 0;
        if (reader != null) {
            reader.onUpdate();
        }
    }

    // ---- reader ----

    /** True if reading has not started and the stream is not dropped. */
    public boolean isUnread() {
        return reader == null && !dropped;
    }

    /** Sets the reader and so starts reading. */
    public void setReader(Reader newReader) {
        reader = newReader;
    }

    /** True if a chunk is available. */
    public boolean hasChunk() {
        return !chunks.isEmpty();
    }

    /** The next chunk, owned by the caller; null if none is available. */
    public ByteBuf nextChunk() {
        ByteBuf chunk = chunks.poll();
        if (chunk != null) {
            bufferedBytes -= chunk.readableBytes();
            if (paused && bufferedBytes <= MAX_BUFFERED_BYTES / 2) {
                paused = false;
                onResume.run();
            }
        }
        return chunk;
    }

    /** True if the stream is complete and all of it has been read. */
    public boolean isFullyRead() {
        return state == State.WHOLE && chunks.isEmpty();
    }

    public boolean isAborted() {
        return state == State.BROKEN;
    }

    /** True if more is to be received. */
    public boolean isReceiving() {
        return state == State.COMING;
    }

    /** True while the writer must pause. */
    public boolean paused() {
        return paused;
    }

    /** Releases what is buffered and discards what is still received. */
    public void drop() {
        if (!dropped) {
            dropped = true;
            reader = null;
            for (ByteBuf chunk = chunks.poll(); chunk != null; chunk = chunks.poll()) {
                chunk.release();
            }
            bufferedBytes = 0;
            if (paused) {
                paused = false;
                onResume.run();
            }
            onDropped.run();
        }
    }
}
