package gullspar.scale;

import gullspar.scale.DiscoveryStandIn.PushedVersion;
import java.io.IOException;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Measures the control part of a trial's proxies: at rest, by change, by whole list. */
final class ControlPlaneMeter {
    private static final int TIMEOUT_S = 120;

    /** What a number of equal events cost, each and at each proxy. */
    record EventCost(double hollowMs, double realMs, double bytes, Histogram propagation) {}

    /** What a second at rest costs a proxy. */
    record IdleCost(double hollowMs, double realMs, double bytes, double messages) {}

    private interface Trigger {
        PushedVersion fire(int number);
    }

    private final TestFleet fleet;
    private IdleCost idle = new IdleCost(0, 0, 0, 0);

    ControlPlaneMeter(TestFleet fleet) {
        this.fleet = fleet;
    }

    /** Nothing happens for so long; what comes later is reckoned without it. */
    IdleCost measureIdle(double seconds) throws ScaleException, IOException {
        Map<String, TrafficCounter.Total> before = fleet.discovery.trafficByKind();
        Map<Long, ProcessUsage.CpuTime> hollow = fleet.hollowCpuTimes();
        Map<Long, ProcessUsage.CpuTime> real = fleet.realCpuTimes();
        long at = System.nanoTime();
        Sleep.ms((long) (seconds * 1000));
        double elapsedS = (System.nanoTime() - at) / 1e9;
        double hollowMs = ProcessUsage.cpuMsSince(hollow);
        double realMs = ProcessUsage.cpuMsSince(real);
        TrafficCounter.Total received = total(TrafficCounter.difference(before, fleet.discovery.trafficByKind()));
        double proxySeconds = elapsedS * proxyCount();
        idle = new IdleCost(
                hollowMs / elapsedS / Math.max(1, fleet.shape.proxies()),
                realMs / elapsedS / Math.max(1, fleet.shape.real()),
                received.bytes() / proxySeconds,
                received.messages() / proxySeconds);
        return idle;
    }

    /** So many backends come and go, one at a time. */
    EventCost measureChanges(int count, double perSecond) throws ScaleException, IOException {
        Map<String, TrafficCounter.Total> before = fleet.discovery.trafficByKind();
        EventCost c = measure(
                count, perSecond, i -> fleet.discovery.pushChange(fleet.shape.backends() + i / 2 % 2, i % 2 == 0));
        Map<String, TrafficCounter.Total> traffic = TrafficCounter.difference(before, fleet.discovery.trafficByKind());
        long received = traffic.getOrDefault("change", TrafficCounter.ZERO).messages();
        // A watch that was opened meanwhile was told of some in another way, or beside the one before it.
        if (traffic.getOrDefault("call", TrafficCounter.ZERO).messages() == 0
                && received != (long) count * proxyCount()) {
            throw new ScaleException(
                    ScaleException.COUNT,
                    received + " messages told " + count + " changes to " + proxyCount() + " proxies");
        }
        return c;
    }

    private int proxyCount() {
        return fleet.shape.proxies() + fleet.shape.real();
    }

    /** All weights are told anew, so many times. */
    EventCost measureWeights(int count) throws ScaleException, IOException {
        return measure(count, 0, i -> fleet.discovery.pushWeights(fleet.shape.backends(), 1 + i % 2 * 0.5));
    }

    /** So many changes in one go; what they cost and tell, each. */
    EventCost measureBurst(int count) throws ScaleException, IOException {
        return measureChanges(count, 1e9);
    }

    /** All watches end, and all get the whole list, so many times. */
    EventCost measureFullLists(int count) throws ScaleException, IOException {
        Map<String, TrafficCounter.Total> before = fleet.discovery.trafficByKind();
        EventCost c = measure(count, 0, i -> fleet.discovery.resetWatches());
        fleet.discovery.allowDeltas();
        Map<String, TrafficCounter.Total> traffic = TrafficCounter.difference(before, fleet.discovery.trafficByKind());
        long fullLists = traffic.getOrDefault("whole", TrafficCounter.ZERO).messages();
        long calls = traffic.getOrDefault("call", TrafficCounter.ZERO).messages();
        if (fullLists != calls || calls < (long) count * proxyCount()) {
            throw new ScaleException(
                    ScaleException.COUNT,
                    fullLists + " whole lists for " + calls + " calls of " + proxyCount() + " proxies, asked " + count
                            + " times each");
        }
        return c;
    }

    /** perSecond 0: each waits until all know the one before. */
    private EventCost measure(int count, double perSecond, Trigger trigger) throws ScaleException, IOException {
        Map<String, TrafficCounter.Total> before = fleet.discovery.trafficByKind();
        Map<Long, ProcessUsage.CpuTime> hollow = fleet.hollowCpuTimes();
        Map<Long, ProcessUsage.CpuTime> real = fleet.realCpuTimes();
        long at = System.nanoTime();
        PushedVersion[] pushed = new PushedVersion[count];
        Histogram propagation = new Histogram(3);
        for (int i = 0; i < count; i++) {
            pushed[i] = trigger.fire(i);
            if (perSecond > 0) {
                Sleep.ms((long) ((i + 1) * 1e3 / perSecond - (System.nanoTime() - at) / 1e6));
            } else {
                propagation.add(fleet.awaitPropagation(pushed[i], TIMEOUT_S));
                awaitAllWatching();
            }
        }
        if (perSecond > 0) {
            fleet.awaitPropagation(pushed[count - 1], TIMEOUT_S);
        }
        Sleep.ms(200); // the real ones' last
        double elapsedS = (System.nanoTime() - at) / 1e9;
        double hollowMs = ProcessUsage.cpuMsSince(hollow) / fleet.shape.proxies() - elapsedS * idle.hollowMs();
        double realMs = ProcessUsage.cpuMsSince(real) / Math.max(1, fleet.shape.real()) - elapsedS * idle.realMs();
        TrafficCounter.Total sum = total(TrafficCounter.difference(before, fleet.discovery.trafficByKind()));
        for (int i = 0; perSecond > 0 && i < count; i++) {
            propagation.add(fleet.awaitPropagation(pushed[i], TIMEOUT_S));
        }
        return new EventCost(
                hollowMs / count, realMs / count, (double) sum.bytes() / count / proxyCount(), propagation);
    }

    /** The real ones have come back too. */
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

    /** All kinds together. */
    private static TrafficCounter.Total total(Map<String, TrafficCounter.Total> kinds) {
        return kinds.values().stream().reduce(TrafficCounter.ZERO, (a, b) -> a.plus(b.messages(), b.bytes()));
    }
}
