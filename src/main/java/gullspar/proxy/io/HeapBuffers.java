package gullspar.proxy.io;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;

/**
 * The buffers of all connections are on the heap, whose size is fixed at the start. Direct buffers have a limit of
 * their own, and an allocation above it blocks the event loop for half a second before it fails.
 */
final class HeapBuffers {
    static final ByteBufAllocator ALLOCATOR = new UnpooledByteBufAllocator(false, true);

    private HeapBuffers() {}
}
