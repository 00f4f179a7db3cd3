package gullspar.proxy.http;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;

/**
 * A heap buffer of fixed capacity whose bytes stay reserved in a budget until it is deallocated. A buffer that waits in
 * a channel's write queue is therefore counted until it has been written, whatever becomes of its request.
 */
final class ReservedBuffer extends UnpooledHeapByteBuf {
    private final MemoryBudget budget;

    private ReservedBuffer(MemoryBudget budget, byte[] array) {
        super(UnpooledByteBufAllocator.DEFAULT, array, array.length);
        this.budget = budget;
        writerIndex(0);
    }

    /** Allocates an empty buffer if the budget has room for it; otherwise returns null. */
    static ReservedBuffer tryAllocate(MemoryBudget budget, int capacity) {
        return budget.tryReserve(capacity) ? new ReservedBuffer(budget, new byte[capacity]) : null;
    }

    /** Allocates an empty buffer for bytes that cannot be rejected, even if the budget is exhausted. */
    static ReservedBuffer allocate(MemoryBudget budget, int capacity) {
        budget.reserve(capacity);
        return new ReservedBuffer(budget, new byte[capacity]);
    }

    /** Wraps an array of bytes to be written; its whole length is reserved. */
    static ReservedBuffer wrap(MemoryBudget budget, byte[] bytes) {
        budget.reserve(bytes.length);
        ReservedBuffer buffer = new ReservedBuffer(budget, bytes);
        buffer.writerIndex(bytes.length);
        return buffer;
    }

    @Override
    protected void deallocate() {
        budget.release(capacity());
        super.deallocate();
    }
}
