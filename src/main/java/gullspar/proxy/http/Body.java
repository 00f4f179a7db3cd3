package gullspar.proxy.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * The body of a request, kept whole so that a further attempt can be made. It grows by pieces, each paid for
 * from the budget before it is there: a client that declares much and sends little holds little.
 */
public final class Body {
    private static final int LEAST = 512, PIECE = 16 << 10;

    private final BodyBudget budget;
    private final long most;
    private final List<byte[]> pieces = new ArrayList<>();
    private long paid;
    private long length;
    private int filled;

    /** Of so many bytes at the most. */
    public Body(BodyBudget budget, long most) {
        this.budget = budget;
        this.most = most;
    }

    /** What became of adding: it is there, it was more than a body may have, or the budget is spent. */
    public enum Added {
        TAKEN,
        TOO_LONG,
        NO_ROOM
    }

    /** Adds all that can be read; the buffer stays its owner's. */
    public Added add(ByteBuf bytes) {
        while (bytes.isReadable()) {
            if (length + bytes.readableBytes() > most) {
                return Added.TOO_LONG;
            }
            if (pieces.isEmpty() || filled == last().length) {
                int size = pieces.isEmpty() ? Math.max(LEAST, Math.min(PIECE, bytes.readableBytes())) : PIECE;
                if (!budget.take(size)) {
                    return budget.everHolds(paid + size) ? Added.NO_ROOM : Added.TOO_LONG;
                }
                paid += size;
                pieces.add(new byte[size]);
                filled = 0;
            }
            int n = Math.min(bytes.readableBytes(), last().length - filled);
            bytes.readBytes(last(), filled, n);
            filled += n;
            length += n;
        }
        return Added.TAKEN;
    }

    private byte[] last() {
        return pieces.get(pieces.size() - 1);
    }

    /** In bytes. */
    public long length() {
        return length;
    }

    /** All of it, to be written; may be called again for a further attempt. */
    public ByteBuf bytes() {
        if (pieces.isEmpty()) {
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf[] all = new ByteBuf[pieces.size()];
        for (int i = 0; i < all.length; i++) {
            byte[] p = pieces.get(i);
            all[i] = Unpooled.wrappedBuffer(p, 0, i == all.length - 1 ? filled : p.length);
        }
        return Unpooled.wrappedBuffer(all.length, all);
    }

    /** Gives back what it was paid for; the request needs it no more. */
    public void release() {
        budget.release(paid);
        paid = 0;
    }
}
