package gullspar.proxy.io;

import io.netty.channel.EventLoop;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.RejectedExecutionHandlers;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

/**
 * A single-threaded event loop for a serving process.
 *
 * @param loop the loop
 * @param unreadAge how long the data that it reads now may have waited
 * @param statistics what it has done
 */
public record ServingLoop(EventLoop loop, UnreadAge unreadAge, LoopStatistics statistics) {
    /** No further tasks are run in a turn after this time; the library checks it after every 64 tasks. */
    private static final long MAX_TASKS_MS = 20;

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
        EventLoop loop = new BoundedTasksGroup(executor -> {
                    handler[0] = (OrderedNioHandler) handlerFactory().newHandler(executor);
                    return handler[0];
                })
                .next();
        return new ServingLoop(loop, handler[0]::unreadAgeNs, handler[0].statistics());
    }

    /** A group of one loop that returns to its sockets before all tasks are run, if these take long. */
    private static final class BoundedTasksGroup extends MultiThreadIoEventLoopGroup {
        BoundedTasksGroup(IoHandlerFactory handlers) {
            super(1, handlers);
        }

        @Override
        protected IoEventLoop newChild(Executor executor, IoHandlerFactory handlers, Object... arguments) {
            return new SingleThreadIoEventLoop(
                    this, executor, handlers, Integer.MAX_VALUE, RejectedExecutionHandlers.reject(), MAX_TASKS_MS);
        }
    }
}
