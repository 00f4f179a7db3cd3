package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.config.Config;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When a new process sends by the list that it was started with, as its agent says nothing. */
@Timeout(60)
class KnownListTest {
    /** A restarted process has to wait for an outage of discovery of this length. */
    private static final long OUTAGE_MS = 8000;
    /** A restarted process has to be ready within this time. */
    private static final long READY_LIMIT_MS = 10_000;
    /** The proxy's timers from this delay on are run by the test. */
    private static final long MIN_TIMER_MS = 1000;

    private Peer discovery;
    private Peer backend;
    private final Setup setup = new Setup();

    @BeforeEach
    void listen() throws Exception {
        discovery = new Peer();
        backend = new Peer();
        setup.ignoredTimerMs = MIN_TIMER_MS;
    }

    @AfterEach
    void close() throws Exception {
        setup.close();
        discovery.close();
        backend.close();
    }

    private Config config(boolean inherited) throws Exception {
        return Config.parse(
                Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 500),
                inherited ? Map.of("NODE_SOCKET_FD", "0") : Map.of());
    }

    private List<Setup.ModuleEvent> lists() {
        return setup.moduleEvents.stream().filter(e -> e.type().equals("kind")).toList();
    }

    /**
     * A proxy that was started while its agent was silent served by its old list after 3 s, and sent requests to a
     * backend that the agent had as draining.
     */
    @ParameterizedTest(name = "the process before serves until this one is ready: {0}")
    @ValueSource(booleans = {false, true})
    void knownListIsUsedOnlyWhenAnOutageLastsTooLongToBeReadyInTime(boolean inherited) throws Exception {
        setup.startWithoutList(config(inherited), Setup.TIMEOUTS);
        setup.runIgnoredTimers(MIN_TIMER_MS, OUTAGE_MS + 1);
        assertEquals(List.of(), lists());
        assertEquals("not ready", readiness());
        setup.runIgnoredTimers(OUTAGE_MS + 1, READY_LIMIT_MS);
        assertEquals(ListKind.CACHED, setup.nextEvent("kind", ListKind.class));
        assertEquals("ready", readiness());
    }

    private String readiness() throws Exception {
        return setup.loop.submit(() -> setup.proxy.isReady()).get() ? "ready" : "not ready";
    }

    /** Requests that come before the list are not sent, whatever the module decides. */
    @Test
    void nothingIsSentBeforeTheKnownListIsUsed() throws Exception {
        setup.startWithoutList(config(false), Setup.TIMEOUTS);
        setup.runIgnoredTimers(MIN_TIMER_MS, OUTAGE_MS + 1);
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.getRequest());
            Request r = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), 1, 0));
            assertEquals(Status.MOOT, setup.nextOutcome().status());
            assertTrue(backend.hasNoNewConnection());
        }
    }

    /** The start of the process is part of the time in which it has to be ready. */
    @Test
    void slowStartShortensTheWait() throws Exception {
        setup.processAgeMs = 4000;
        setup.startWithoutList(config(false), Setup.TIMEOUTS);
        setup.runIgnoredTimers(MIN_TIMER_MS, READY_LIMIT_MS - setup.processAgeMs);
        assertEquals(ListKind.CACHED, setup.nextEvent("kind", ListKind.class));
    }

    /** A new configuration names another discovery just before the wait ends: the new one was not waited for. */
    @Test
    void discoveryAtNewAddressGetsItsTimeToAnswer() throws Exception {
        setup.processAgeMs = READY_LIMIT_MS;
        setup.startWithoutList(config(false), Setup.TIMEOUTS);
        List<Setup.IgnoredTimer> before = List.copyOf(setup.ignoredTimers);
        try (Peer other = new Peer()) {
            Config moved = Config.parse(Setup.json(other.hostPort(), backend.hostPort(), 1024, 500), Map.of());
            setup.runOnLoop(() -> setup.proxy.reload(moved));
            other.accept();
            assertTrue(
                    before.stream().anyMatch(t -> t.future().isCancelled()), "the wait for the former address goes on");
            setup.ignoredTimers.removeAll(before);
            setup.runIgnoredTimers(MIN_TIMER_MS, READY_LIMIT_MS);
            assertEquals(ListKind.CACHED, setup.nextEvent("kind", ListKind.class));
        }
    }
}
