package gullspar.rehearse.live;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** How late the stand-ins' own event loop is: on a machine that is too busy a live day tells nothing. */
final class Lateness {
    private static final long TICK_NS = 10_000_000L;
    /** Ticks so late are bad, and so many of them are too many. */
    private static final long BAD_NS = 20_000_000L;

    private static final double MOST_BAD = 0.01;
    /** One this late spoils the day by itself. */
    private static final long WORST_NS = 300_000_000L;

    private final EventLoop loop;
    private ScheduledFuture<?> ticking;
    private long due;
    private long worst;
    private int ticks;
    private int bad;

    Lateness(EventLoop loop) {
        this.loop = loop;
    }

    void start() {
        due = System.nanoTime() + TICK_NS;
        ticking = loop.schedule(this::tick, TICK_NS, TimeUnit.NANOSECONDS);
    }

    private void tick() {
        long late = System.nanoTime() - due;
        ticks++;
        bad += late > BAD_NS ? 1 : 0;
        worst = Math.max(worst, late);
        start();
    }

    /** Why the day does not count; empty if it does. */
    List<String> notes() {
        ticking.cancel(false);
        List<String> notes = new ArrayList<>();
        if (worst > WORST_NS || bad > ticks * MOST_BAD) {
            notes.add(String.format(
                    Locale.ROOT,
                    "the machine was too busy for this to count: %.1f of 100 looks at "
                            + "the clock were over %d ms late, the worst %d ms",
                    100.0 * bad / Math.max(1, ticks),
                    BAD_NS / 1_000_000,
                    worst / 1_000_000));
        }
        return notes;
    }
}
