package gullspar.proxy.http;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What is still to come of a body that is too large to wait for, on its way from one connection to another.
 * Whoever brings it is told to pause while nobody takes. All on one event loop.
 */
public final class BodyStream {
    /** Who takes it. */
    public interface Reader {
        /** There is something to take, or it has ended, or it never will. */
        void onUpdate();
    }

    /** So many bytes may wait, and its bringer has paused from there on until half of them are taken. */
    static final int MAX_BUFFERED_BYTES = 128 << 10;
    /** While nobody has begun to take it some more may: who brings it is seen to leave only by reading on. */
    static final int MAX_UNREAD_BYTES = 256 << 10;

    private enum State {
        RECEIVING,
        COMPLETE,
        ABORTED
    }

    private final Deque<ByteBuf> chunks = new ArrayDeque<>();
    private final Runnable onResume;
    private final Runnable onDropped;
    private int bufferedBytes;
    private boolean paused;
    private boolean dropped;
    private State state = State.RECEIVING;
    private Reader reader;

    /** For its bringer: resume says that it may go on, unwanted that nobody wants the rest. */
    public BodyStream(Runnable resume, Runnable unwanted) {
        this.onResume = resume;
        this.onDropped = unwanted;
    }

    // ---- who brings it ----

    /** Adds a piece, which is its own from now on; false if its bringer is to pause. */
    public boolean add(ByteBuf chunk) {
        if (dropped) {
            chunk.release();
            return true;
        }
        chunks.add(chunk);
        bufferedBytes += chunk.readableBytes();
        notifyReader();
        paused = bufferedBytes >= (isUnread() ? MAX_UNREAD_BYTES : MAX_BUFFERED_BYTES);
        return !paused;
    }

    /** All of it has come. */
    public void complete() {
        finish(State.COMPLETE);
    }

    /** The rest will never come. */
    public void abort() {
        finish(State.ABORTED);
    }

    private void finish(State finalState) {
        if (state == State.RECEIVING) {
            state = finalState;
            notifyReader();
        }
    }

    private void notifyReader() {
        if (reader != null) {
            reader.onUpdate();
        }
    }

    // ---- who takes it ----

    /** Has nobody begun to take it? */
    public boolean isUnread() {
        return reader == null && !dropped;
    }

    /** Takes it from now on. */
    public void setReader(Reader newReader) {
        reader = newReader;
    }

    /** Is there a piece to take now? */
    public boolean hasChunk() {
        return !chunks.isEmpty();
    }

    /** The next piece, which is the caller's; null if there is none now. */
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

    /** Is all of it taken, and nothing more to come? */
    public boolean isFullyRead() {
        return state == State.COMPLETE && chunks.isEmpty();
    }

    /** Will the rest never come? */
    public boolean isAborted() {
        return state == State.ABORTED;
    }

    /** Is some of it still to come from its bringer? */
    public boolean isReceiving() {
        return state == State.RECEIVING;
    }

    /** Has its bringer been told to pause? */
    public boolean paused() {
        return paused;
    }

    /** Nobody wants it any more: what still comes is let go. */
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
