package gullspar.scale;

import gullspar.scale.DiscoveryStandIn.PushedVersion;
import java.io.IOException;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Measures what the control part of a fleet's proxies costs: idle, for each change, for each full list and for
 * weights.
 */
final class ControlPlaneMeter {
    private static final int TIMEOUT_S = 120;

    /** Cost of one event at one proxy, averaged, and the propagation delays of all events in microseconds. */
    record EventCost(double hollowMs, double realMs, double bytes, Histogram propagation) {}

    /** Cost of one idle second at one proxy. */
    record IdleCost(double hollowMs, double realMs, double bytes, double messages) {}

    private interface Trigger {
        PushedVersion fire(int number);
    }

    private final TestFleet fleet;
    private IdleCost idle = new IdleCost(0, 0, 0, 0);

    ControlPlaneMeter(TestFleet fleet) {
        this.fleet = fleet;
    }

    /** Measures the idle cost over the given time. Later measurements subtract its processor time. */
    IdleCost measureIdle(double seconds) throws ScaleException, IOException {
        Map<String, TrafficCounter.Total> trafficBefore = fleet.discovery.trafficByKind();
        Map<Long, ProcessUsage.CpuTime> hollowCpuBefore = fleet.hollowCpuTimes();
        Map<Long, ProcessUsage.CpuTime> realCpuBefore = fleet.realCpuTimes();
        long startedNs = System.nanoTime();
        Sleep.ms((long) (seconds * 1000));
        double elapsedS = (System.nanoTime() - startedNs) / 1e9;
        double hollowMs = ProcessUsage.cpuMsSince(hollowCpuBefore);
        double realMs = ProcessUsage.cpuMsSince(realCpuBefore);
        TrafficCounter.Total received =
                total(TrafficCounter.difference(trafficBefore, fleet.discovery.trafficByKind()));
        double proxySeconds = elapsedS * proxyCount();
        idle = new IdleCost(
                hollowMs / elapsedS / Math.max(1, fleet.shape.proxies()),
                realMs / elapsedS / Math.max(1, fleet.shape.real()),
                received.bytes() / proxySeconds,
                received.messages() / proxySeconds);
        return idle;
    }

    /** Adds and removes backends, one change at a time. */
    EventCost measureChanges(int count, double perSecond) throws ScaleException, IOException {
        Map<String, TrafficCounter.Total> before = fleet.discovery.trafficByKind();
        EventCost cost = measure(
                count, perSecond, i -> fleet.discovery.pushChange(fleet.shape.backends() + i / 2 % 2, i % 2 == 0));
        Map<String, TrafficCounter.Total> traffic = TrafficCounter.difference(before, fleet.discovery.trafficByKind());
        long received = traffic.getOrDefault("change", TrafficCounter.ZERO).messages();
        // A watch opened meanwhile received some changes with its first list, or beside the watch that it replaces:
        // the count is exact only if none was opened.
        if (traffic.getOrDefault("call", TrafficCounter.ZERO).messages() == 0
                && received != (long) count * proxyCount()) {
            throw new ScaleException(
                    ScaleException.COUNT,
                    received + " change messages sent for " + count + " changes to " + proxyCount() + " proxies");
        }
        return cost;
    }

    private int proxyCount() {
        return fleet.shape.proxies() + fleet.shape.real();
    }

    /** Pushes the weights of all backends {@code count} times. */
    EventCost measureWeights(int count) throws ScaleException, IOException {
        return measure(count, 0, i -> fleet.discovery.pushWeights(fleet.shape.backends(), 1 + i % 2 * 0.5));
    }

    /** Pushes {@code count} changes without a pause between them; the cost is that of one change. */
    EventCost measureBurst(int count) throws ScaleException, IOException {
        return measureChanges(count, 1e9);
    }

    /** Ends all watches {@code count} times; every proxy fetches the full list each time. */
    EventCost measureFullLists(int count) throws ScaleException, IOException {
        Map<String, TrafficCounter.Total> before = fleet.discovery.trafficByKind();
        EventCost cost = measure(count, 0, i -> fleet.discovery.resetWatches());
        fleet.discovery.allowDeltas();
        Map<String, TrafficCounter.Total> traffic = TrafficCounter.difference(before, fleet.discovery.trafficByKind());
        long fullLists = traffic.getOrDefault("whole", TrafficCounter.ZERO).messages();
        long watchRequests = traffic.getOrDefault("call", TrafficCounter.ZERO).messages();
        if (fullLists != watchRequests || watchRequests < (long) count * proxyCount()) {
            throw new ScaleException(
                    ScaleException.COUNT,
                    fullLists + " full lists for " + watchRequests + " watch requests of " + proxyCount()
                            + " proxies, reset " + count + " times");
        }
        return cost;
    }

    /** perSecond 0: each event starts once all proxies have received the one before. */
    private EventCost measure(int count, double perSecond, Trigger trigger) throws ScaleException, IOException {
        Map<String, TrafficCounter.Total> trafficBefore = fleet.discovery.trafficByKind();
        Map<Long, ProcessUsage.CpuTime> hollowCpuBefore = fleet.hollowCpuTimes();
        Map<Long, ProcessUsage.CpuTime> realCpuBefore = fleet.realCpuTimes();
        long startedNs = System.nanoTime();
        PushedVersion[] pushed = new PushedVersion[count];
        Histogram propagation = new Histogram(3);
        for (int i = 0; i < count; i++) {
            pushed[i] = trigger.fire(i);
            if (perSecond > 0) {
                Sleep.ms((long) ((i + 1) * 1e3 / perSecond - (System.nanoTime() - startedNs) / 1e6));
            } else {
                propagation.add(fleet.awaitPropagation(pushed[i], TIMEOUT_S));
                awaitAllWatching();
            }
        }
        if (perSecond > 0) {
            fleet.awaitPropagation(pushed[count - 1], TIMEOUT_S);
        }
        Sleep.ms(200); // lets the real proxies, whose receipt is not observed, finish the last event
        double elapsedS = (System.nanoTime() - startedNs) / 1e9;
        double hollowMs = ProcessUsage.cpuMsSince(hollowCpuBefore) / fleet.shape.proxies() - elapsedS * idle.hollowMs();
        double realMs =
                ProcessUsage.cpuMsSince(realCpuBefore) / Math.max(1, fleet.shape.real()) - elapsedS * idle.realMs();
        TrafficCounter.Total sum = total(TrafficCounter.difference(trafficBefore, fleet.discovery.trafficByKind()));
        for (int i = 0; perSecond > 0 && i < count; i++) {
            propagation.add(fleet.awaitPropagation(pushed[i], TIMEOUT_S));
        }
        return new EventCost(
                hollowMs / count, realMs / count, (double) sum.bytes() / count / proxyCount(), propagation);
    }

    /** Waits until all proxies, the real ones included, watch discovery. */
    private void awaitAllWatching() throws ScaleException {
        long end = System.nanoTime() + TIMEOUT_S * 1_000_000_000L;
        while (fleet.discovery.watchCount() < proxyCount()) {
            if (System.nanoTime() > end) {
                throw new ScaleException(
                        ScaleException.COUNT,
                        fleet.discovery.watchCount() + " of " + proxyCount() + " proxies watch discovery after "
                                + TIMEOUT_S + " s");
            }
            Sleep.ms(5);
        }
    }

    private static TrafficCounter.Total total(Map<String, TrafficCounter.Total> kinds) {
        return kinds.values().stream().reduce(TrafficCounter.ZERO, (a, b) -> a.plus(b.messages(), b.bytes()));
    }
}
