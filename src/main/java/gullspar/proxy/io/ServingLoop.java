package gullspar.proxy.io;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CompletableFuture;

/**
 * A single-threaded event loop for a serving process.
 *
 * @param loop the loop
 * @param unreadAge how long the data that it reads now may have waited
 * @param statistics what it has done
 */
public record ServingLoop(EventLoop loop, UnreadAge unreadAge, LoopStatistics statistics) {
    /** The thread of the loop; waits until it has started. */
    public Thread thread() {
        CompletableFuture<Thread> thread = new CompletableFuture<>();
        loop.execute(() -> thread.complete(Thread.currentThread()));
        return thread.join();
    }

    /** Creates the I/O handlers of such loops. */
    public static IoHandlerFactory handlerFactory() {
        return executor -> new OrderedNioHandler(NioIoHandler.newFactory().newHandler(executor), System::nanoTime);
    }

    /** Starts a loop on the sockets of this machine. */
    public static ServingLoop start() {
        OrderedNioHandler[] handler = new OrderedNioHandler[1];
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, executor -> {
                    handler[0] = (OrderedNioHandler) handlerFactory().newHandler(executor);
                    return handler[0];
                })
                .next();
        return new ServingLoop(loop, handler[0]::unreadAgeNs, handler[0].statistics());
    }
}
