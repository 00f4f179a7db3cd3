package gullspar.proxy.io;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Puts work off to the next turn of an event loop. A task that {@link EventLoop#execute} takes still runs in the
 * current turn, so that tasks which queue further tasks keep the loop from reading its sockets. Work whose amount a
 * remote end decides is done in steps of one turn each.
 */
public final class NextTurn {
    private NextTurn() {}

    /** Runs a task after the loop has polled its sockets again and has served those that are ready. */
    public static void run(EventLoop loop, Runnable task) {
        loop.schedule(task, 0, TimeUnit.NANOSECONDS); // due timers are taken once in a turn, before its tasks
    }
}
