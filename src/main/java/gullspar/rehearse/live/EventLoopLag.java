package gullspar.rehearse.live;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** How late the stand-ins' own event loop is: on a machine that is too busy a live day tells nothing. */
final class EventLoopLag {
    private static final long TICK_INTERVAL_NS = 10_000_000L;
    /** Ticks so late are bad, and so many of them are too many. */
    private static final long LATE_TICK_NS = 20_000_000L;

    private static final double MAX_LATE_SHARE = 0.01;
    /** One this late spoils the day by itself. */
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

    /** Why the day does not count; empty if it does. */
    List<String> stop() {
        nextTick.cancel(false);
        List<String> notes = new ArrayList<>();
        if (maxLag > MAX_LAG_NS || lateTicks > ticks * MAX_LATE_SHARE) {
            notes.add(String.format(
                    Locale.ROOT,
                    "the machine was too busy for this to count: %.1f of 100 looks at "
                            + "the clock were over %d ms late, the worst %d ms",
                    100.0 * lateTicks / Math.max(1, ticks),
                    LATE_TICK_NS / 1_000_000,
                    maxLag / 1_000_000));
        }
        return notes;
    }
}
