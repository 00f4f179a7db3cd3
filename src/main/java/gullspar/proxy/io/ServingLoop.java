package gullspar.proxy.io;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/**
 * An event loop of one thread for a process that serves.
 *
 * @param loop the loop
 * @param unread how long what it reads now may have waited
 * @param figures what it has done
 */
public record ServingLoop(EventLoop loop, UnreadAge unread, LoopFigures figures) {
    /** Makes what such a loop runs on. */
    public static IoHandlerFactory handlers() {
        return executor -> new OrderedNioHandler(NioIoHandler.newFactory().newHandler(executor), System::nanoTime);
    }

    /** Starts one over the sockets of this machine. */
    public static ServingLoop start() {
        OrderedNioHandler[] made = new OrderedNioHandler[1];
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, executor -> {
                    made[0] = (OrderedNioHandler) handlers().newHandler(executor);
                    return made[0];
                })
                .next();
        return new ServingLoop(loop, made[0]::unreadNs, made[0].figures());
    }
}
