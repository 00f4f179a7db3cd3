package gullspar.rehearse.live;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.rehearse.TestScripts;
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
 * Plays a day with real daemon processes. The number of requests served depends on the machine; that the faults take
 * effect and that all processes end does not.
 */
@Timeout(180)
@ResourceLock("much of the machine")
class LivePlayTest {
    private static List<Long> childProcesses() {
        return ProcessHandle.current()
                .children()
                .filter(ProcessHandle::isAlive)
                .map(ProcessHandle::pid)
                .toList();
    }

    @Test
    void faultsAffectRealProcessesAndAllProcessesEnd() throws Exception {
        List<Long> before = childProcesses();
        List<Double> progressSeconds = new ArrayList<>();
        DayResult result = LivePlay.play(
                TestScripts.small(
                        6,
                        TestScripts.fault("kill", 1, "proxies = [\"p1\"]\ndown_s = 0.1")
                                + TestScripts.fault("stop", 2, "proxies = [\"p2\"]\ndown_s = 0.1")
                                + TestScripts.fault("reload", 4, "proxies = [\"p1\"]")
                                + TestScripts.fault("pause", 4.5, "for = 0.2\nproxies = [\"p1\"]")
                                + TestScripts.fault(
                                        "slow-link", 0.5, "for = 1\nfrom = \"proxies\"\nto = \"nodes\"\nadds_ms = 5")
                                + TestScripts.fault("crash", 3, "nodes = [\"n2\"]\ndown_s = 0.5")),
                (second, of) -> progressSeconds.add(second));
        assertTrue(
                result.verdict().counts().get("served") > 100, result.verdict().counts() + " " + result.proxyLog());
        assertEquals(List.of(), result.eventLog().crashes());
        assertTrue(
                result.proxyLog().stream().anyMatch(l -> l.startsWith("p1.2 ") && l.endsWith(" ready")),
                "p1 restarted");
        assertTrue(
                result.proxyLog().stream().anyMatch(l -> l.startsWith("p2 ") && l.endsWith(" drained")), "p2 drained");
        assertTrue(result.proxyLog().stream().anyMatch(l -> l.contains("a new configuration")), "p1 reloaded");
        assertTrue(result.eventLog().events().stream()
                .map(EventLog.Event::description)
                .anyMatch(w -> w.equals("n2 starts, cold")));
        assertFalse(progressSeconds.isEmpty());
        // Must hold on a slow machine as well.
        assertEquals(
                List.of(),
                result.verdict().violations().stream()
                        .filter(b -> b.rule() == Rule.NOTHING_TWICE)
                        .map(RuleViolation::description)
                        .toList());
        assertEquals(before, childProcesses());
    }

    /** Blocks the event loop of the simulated machines: the result must be marked as not valid. */
    @Test
    void anOverloadedMachineIsNoted() throws Exception {
        EventLoop loop = new DefaultEventLoop();
        try {
            EventLoopLag lag = new EventLoopLag(loop);
            loop.submit(lag::start).get();
            CountDownLatch blocked = new CountDownLatch(1);
            loop.execute(() -> {
                long until = System.nanoTime() + 400_000_000L;
                while (System.nanoTime() < until) {
                    Thread.onSpinWait();
                }
            });
            // Leaves time for the first tick after the blocking task, which measures the lag.
            loop.schedule(blocked::countDown, 50, TimeUnit.MILLISECONDS);
            assertTrue(blocked.await(20, TimeUnit.SECONDS));
            List<String> notes = loop.submit(lag::stop).get();
            assertTrue(notes.get(0).startsWith("the machine was too busy for a valid result"), notes.toString());
        } finally {
            loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }
}
