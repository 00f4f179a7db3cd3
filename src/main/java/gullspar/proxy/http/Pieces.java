package gullspar.proxy.http;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What is still to come of a body that is too large to wait for, on its way from one connection to another.
 * Whoever brings it is told to pause while nobody takes. All on one event loop.
 */
public final class Pieces {
    /** Who takes it. */
    public interface Taker {
        /** There is something to take, or it has ended, or it never will. */
        void more();
    }

    /** So many bytes may wait, and its bringer has paused from there on until half of them are taken. */
    static final int MOST_WAITING = 128 << 10;
    /** While nobody has begun to take it some more may: who brings it is seen to leave only by reading on. */
    static final int MOST_UNTOUCHED = 256 << 10;

    private enum State {
        COMING,
        WHOLE,
        BROKEN
    }

    private final Deque<ByteBuf> pieces = new ArrayDeque<>();
    private final Runnable resume;
    private final Runnable unwanted;
    private int waiting;
    private boolean paused;
    private boolean dropped;
    private State state = State.COMING;
    private Taker taker;

    /** For its bringer: resume says that it may go on, unwanted that nobody wants the rest. */
    public Pieces(Runnable resume, Runnable unwanted) {
        this.resume = resume;
        this.unwanted = unwanted;
    }

    // ---- who brings it ----

    /** Adds a piece, which is its own from now on; false if its bringer is to pause. */
    public boolean add(ByteBuf piece) {
        if (dropped) {
            piece.release();
            return true;
        }
        pieces.add(piece);
        waiting += piece.readableBytes();
        tell();
        paused = waiting >= (untouched() ? MOST_UNTOUCHED : MOST_WAITING);
        return !paused;
    }

    /** All of it has come. */
    public void whole() {
        end(State.WHOLE);
    }

    /** The rest will never come. */
    public void broken() {
        end(State.BROKEN);
    }

    private void end(State how) {
        if (state == State.COMING) {
            state = how;
            tell();
        }
    }

    private void tell() {
        if (taker != null) {
            taker.more();
        }
    }

    // ---- who takes it ----

    /** Has nobody begun to take it? */
    public boolean untouched() {
        return taker == null && !dropped;
    }

    /** Takes it from now on. */
    public void to(Taker first) {
        taker = first;
    }

    /** Is there a piece to take now? */
    public boolean ready() {
        return !pieces.isEmpty();
    }

    /** The next piece, which is the caller's; null if there is none now. */
    public ByteBuf next() {
        ByteBuf piece = pieces.poll();
        if (piece != null) {
            waiting -= piece.readableBytes();
            if (paused && waiting <= MOST_WAITING / 2) {
                paused = false;
                resume.run();
            }
        }
        return piece;
    }

    /** Is all of it taken, and nothing more to come? */
    public boolean taken() {
        return state == State.WHOLE && pieces.isEmpty();
    }

    /** Will the rest never come? */
    public boolean isBroken() {
        return state == State.BROKEN;
    }

    /** Is some of it still to come from its bringer? */
    public boolean coming() {
        return state == State.COMING;
    }

    /** Has its bringer been told to pause? */
    public boolean paused() {
        return paused;
    }

    /** Nobody wants it any more: what still comes is let go. */
    public void drop() {
        if (!dropped) {
            dropped = true;
            taker = null;
            for (ByteBuf piece = pieces.poll(); piece != null; piece = pieces.poll()) {
                piece.release();
            }
            waiting = 0;
            if (paused) {
                paused = false;
                resume.run();
            }
            unwanted.run();
        }
    }
}
