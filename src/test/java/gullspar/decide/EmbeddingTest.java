package gullspar.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The README's example: a proxy that passes its events to the module and executes its actions. */
class EmbeddingTest {
    @Test
    void drivesTheModuleThroughItsInterface() {
        List<String> done = new ArrayList<>();
        // A real proxy implements the interface; this one records the calls.
        Balancer.Actions actions = (Balancer.Actions) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {Balancer.Actions.class}, (p, method, args) -> {
                    done.add(method.getName());
                    return null;
                });
        long now = 0;
        Balancer balancer = new Policy(FakeHost.settings(false, FakeHost.IDEMPOTENT), 42, now, actions);
        balancer.onServerList(now, Balancer.ListKind.FULL, 1, List.of(FakeHost.server(7, 0, Balancer.State.READY)));
        balancer.onRequest(now, new Balancer.Request(1, 0, 0, 0, 1_000_000_000L, 0, false));
        now += 20_000_000L;
        balancer.onOutcome(now, new Balancer.Outcome(1, 0, 7, Balancer.Status.OK, 20_000_000L, true, null));
        assertEquals(List.of("setTimer", "send"), done);
    }
}
