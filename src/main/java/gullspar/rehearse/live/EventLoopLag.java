package gullspar.rehearse.live;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Measures how late timers fire on the event loop of the simulated machines: on an overloaded machine the result
 * of a live day is not valid.
 */
final class EventLoopLag {
    private static final long TICK_INTERVAL_NS = 10_000_000L;
    /** A tick counts as late if its lag is longer. */
    private static final long LATE_TICK_NS = 20_000_000L;
    /** A larger share of late ticks invalidates the day. */
    private static final double MAX_LATE_SHARE = 0.01;
    /** A single longer lag invalidates the day. */
    private static final long MAX_LAG_NS = 300_000_000L;

    private final EventLoop loop;
    private ScheduledFuture<?> nextTick;
    private long dueAt;
    private long maxLag;
    private int ticks;
    private int lateTicks;

    EventLoopLag(EventLoop loop) {
        this.loop = loop;
    }

    void start() {
        dueAt = System.nanoTime() + TICK_INTERVAL_NS;
        nextTick = loop.schedule(this::tick, TICK_INTERVAL_NS, TimeUnit.NANOSECONDS);
    }

    private void tick() {
        long lag = System.nanoTime() - dueAt;
        ticks++;
        lateTicks += lag > LATE_TICK_NS ? 1 : 0;
        maxLag = Math.max(maxLag, lag);
        start();
    }

    /** Stops the measurement; returns why the result of the day is not valid, an empty list if it is. */
    List<String> stop() {
        nextTick.cancel(false);
        List<String> notes = new ArrayList<>();
        if (maxLag > MAX_LAG_NS || lateTicks > ticks * MAX_LATE_SHARE) {
            notes.add(String.format(
                    Locale.ROOT,
                    "the machine was too busy for a valid result: %.1f %% of the timer "
                            + "ticks were more than %d ms late, the maximum was %d ms",
                    100.0 * lateTicks / Math.max(1, ticks),
                    LATE_TICK_NS / 1_000_000,
                    maxLag / 1_000_000));
        }
        return notes;
    }
}
