package gullspar.rehearse.live;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.rehearse.Days;
import gullspar.rehearse.judge.Rule;
import gullspar.rehearse.judge.RuleViolation;
import gullspar.rehearse.play.DayResult;
import gullspar.rehearse.stage.EventLog;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.parallel.ResourceLock;

/**
 * A day with real daemons. What it serves depends on the machine; that it was played, and how it ends, does
 * not.
 */
@Timeout(180)
@ResourceLock("much of the machine")
class LivePlayTest {
    private static List<Long> daemons() {
        return ProcessHandle.current()
                .children()
                .filter(ProcessHandle::isAlive)
                .map(ProcessHandle::pid)
                .toList();
    }

    @Test
    void faultsHappenToRealProcessesAndNoneIsLeftBehind() throws Exception {
        List<Long> before = daemons();
        List<Double> heard = new ArrayList<>();
        DayResult p = LivePlay.play(
                Days.small(
                        6,
                        Days.fault("kill", 1, "proxies = [\"p1\"]\ndown_s = 0.1")
                                + Days.fault("stop", 2, "proxies = [\"p2\"]\ndown_s = 0.1")
                                + Days.fault("reload", 4, "proxies = [\"p1\"]")
                                + Days.fault("pause", 4.5, "for = 0.2\nproxies = [\"p1\"]")
                                + Days.fault(
                                        "slow-link", 0.5, "for = 1\nfrom = \"proxies\"\nto = \"nodes\"\nadds_ms = 5")
                                + Days.fault("crash", 3, "nodes = [\"n2\"]\ndown_s = 0.5")),
                (second, of) -> heard.add(second));
        assertTrue(p.verdict().counts().get("served") > 100, p.verdict().counts() + " " + p.proxyLog());
        assertEquals(List.of(), p.eventLog().crashes());
        assertTrue(p.proxyLog().stream().anyMatch(l -> l.startsWith("p1.2 ") && l.endsWith(" ready")), "p1 is back");
        assertTrue(p.proxyLog().stream().anyMatch(l -> l.startsWith("p2 ") && l.endsWith(" drained")), "p2 drained");
        assertTrue(p.proxyLog().stream().anyMatch(l -> l.contains("a new configuration")), "p1 reloaded");
        assertTrue(p.eventLog().events().stream()
                .map(EventLog.Event::description)
                .anyMatch(w -> w.equals("n2 starts, cold")));
        assertFalse(heard.isEmpty());
        // Rules that no slow machine excuses.
        assertEquals(
                List.of(),
                p.verdict().violations().stream()
                        .filter(b -> b.rule() == Rule.NOTHING_TWICE)
                        .map(RuleViolation::description)
                        .toList());
        assertEquals(before, daemons());
    }

    /** The loop on which the stand-ins run is held up: that must not pass for a result. */
    @Test
    void aMachineThatWasTooBusyIsSaid() throws Exception {
        EventLoop loop = new DefaultEventLoop();
        try {
            Lateness late = new Lateness(loop);
            loop.submit(late::start).get();
            CountDownLatch held = new CountDownLatch(1);
            loop.execute(() -> {
                long until = System.nanoTime() + 400_000_000L;
                while (System.nanoTime() < until) {
                    Thread.onSpinWait();
                }
            });
            // The first tick after that sees how late it is.
            loop.schedule(held::countDown, 50, TimeUnit.MILLISECONDS);
            assertTrue(held.await(20, TimeUnit.SECONDS));
            List<String> notes = loop.submit(late::notes).get();
            assertTrue(notes.get(0).startsWith("the machine was too busy for this to count"), notes.toString());
        } finally {
            loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }
}
