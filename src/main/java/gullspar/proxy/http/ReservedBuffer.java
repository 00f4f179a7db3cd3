package gullspar.proxy.http;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;

/**
 * A heap buffer of fixed capacity whose bytes stay reserved in a budget until it is deallocated. A buffer that waits in
 * a channel's write queue is therefore counted until it has been written, whatever becomes of its request.
 */
final class ReservedBuffer extends UnpooledHeapByteBuf {
    private final MemoryBudget budget;
    private final MemoryBudget.Use use;

    /** Reserves nothing: the bytes are reserved once the buffer exists, as its allocation may fail. */
    private ReservedBuffer(MemoryBudget budget, MemoryBudget.Use use, byte[] array) {
        super(UnpooledByteBufAllocator.DEFAULT, array, array.length);
        this.budget = budget;
        this.use = use;
        writerIndex(0);
    }

    /** Allocates an empty buffer if the budget has room for it; otherwise returns null. */
    static ReservedBuffer tryAllocate(MemoryBudget budget, MemoryBudget.Use use, int capacity) {
        return budget.hasRoom(capacity) ? allocate(budget, use, capacity) : null;
    }

    /** Allocates an empty buffer for bytes that cannot be rejected, even if the budget is exhausted. */
    static ReservedBuffer allocate(MemoryBudget budget, MemoryBudget.Use use, int capacity) {
        return reserved(new ReservedBuffer(budget, use, new byte[capacity]));
    }

    /** Wraps an array of bytes to be written; its whole length is reserved. */
    static ReservedBuffer wrap(MemoryBudget budget, byte[] bytes) {
        ReservedBuffer buffer = reserved(new ReservedBuffer(budget, MemoryBudget.Use.WRITES, bytes));
        buffer.writerIndex(bytes.length);
        return buffer;
    }

    private static ReservedBuffer reserved(ReservedBuffer buffer) {
        buffer.budget.reserve(buffer.use, buffer.capacity());
        return buffer;
    }

    @Override
    protected void deallocate() {
        budget.release(use, capacity());
        super.deallocate();
    }
}
