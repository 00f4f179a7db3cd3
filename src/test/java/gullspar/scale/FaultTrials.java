package gullspar.scale;

import gullspar.scale.DiscoveryStandIn.PushedVersion;
import gullspar.scale.Results.SeriesInfo;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/**
 * Measures faults and the recovery from them: a tenth of the proxies killed and restarted, a zone cut off from
 * discovery and reconnected, discovery stopped and restarted.
 */
final class FaultTrials {
    private static final int TIMEOUT_S = 60;

    private final Options options;
    private final ChildProcesses children;
    private final Results results;
    private Shape shape;
    private TestFleet fleet;

    FaultTrials(Options options, ChildProcesses children, Results results) {
        this.options = options;
        this.children = children;
        this.results = results;
    }

    /**
     * Runs all faults on one fleet; each lasts {@code durationS}. The tenth is one of its ten hollow processes.
     */
    void run(Shape fleetShape, double durationS) throws ScaleException, IOException {
        shape = fleetShape;
        System.out.println("faults: " + fleetShape);
        try (TestFleet started = new TestFleet(children, fleetShape, options.port())) {
            started.startProcesses().startProxies();
            fleet = started;
            new ControlPlaneMeter(started).measureFullLists(1);
            killTenth(durationS);
            cutOffZone(durationS);
            stopDiscovery(durationS);
            started.checkNoFailures();
        }
    }

    private void killTenth(double durationS) throws ScaleException, IOException {
        fleet.killProcess(0);
        addPropagation("tenth.killed", fleet.discovery.pushChange(shape.backends(), true));
        Sleep.ms((long) (durationS * 1000));
        fleet.discovery.pushChange(shape.backends(), false);
        long restartedNs = System.nanoTime();
        PushedVersion pushed = new PushedVersion(fleet.discovery.version(), restartedNs);
        fleet.restartProcess(0);
        add(
                "tenth.back.known",
                "from the start of a tenth of the proxies until the last has the list, its "
                        + "runtime's start included",
                "ms",
                fleet.awaitPropagation(pushed, TIMEOUT_S).getMaxValue() / 1e3);
        addPeakTraffic("tenth.back", restartedNs);
    }

    private void cutOffZone(double durationS) throws ScaleException {
        Map<String, TrafficCounter.Total> before = fleet.discovery.trafficByKind();
        fleet.discovery.setCutOff(1, true);
        PushedVersion pushed = fleet.discovery.pushChange(shape.backends(), true);
        Sleep.ms((long) (durationS * 1000));
        long reconnectedNs = System.nanoTime();
        fleet.discovery.setCutOff(1, false);
        add(
                "zone.back.known",
                "from the end of a zone's cut until the last proxy knows what changed in it",
                "ms",
                fleet.awaitPropagation(new PushedVersion(pushed.version(), reconnectedNs), TIMEOUT_S)
                                .getMaxValue()
                        / 1e3);
        Sleep.ms(1500);
        addPeakTraffic("zone.back", reconnectedNs);
        TrafficCounter.Total watchRequests = TrafficCounter.difference(before, fleet.discovery.trafficByKind())
                .getOrDefault("call", TrafficCounter.ZERO);
        add("zone.back.calls", "watches opened during the cut and after it, of all", "1", watchRequests.messages());
    }

    private void stopDiscovery(double durationS) throws ScaleException, IOException {
        long connects = fleet.discoveryConnects();
        Map<Long, ProcessUsage.CpuTime> cpuBefore = fleet.hollowCpuTimes();
        fleet.discovery.setDown(true);
        Sleep.ms((long) (durationS * 1000));
        double cpuMs = ProcessUsage.cpuMsSince(cpuBefore);
        add(
                "discovery.gone.connects",
                "connections that a proxy tries in a second while it is gone",
                "1/s",
                (fleet.discoveryConnects() - connects) / durationS / shape.proxies());
        add(
                "discovery.gone.cpu",
                "processor time of a proxy while discovery is gone",
                "ms/s",
                cpuMs / durationS / shape.proxies());
        connects = fleet.discoveryConnects();
        long restartedNs = System.nanoTime();
        fleet.discovery.setDown(false);
        PushedVersion pushed = fleet.discovery.pushChange(shape.backends(), false);
        add(
                "discovery.back.known",
                "from discovery's return until the last proxy knows a change since",
                "ms",
                fleet.awaitPropagation(new PushedVersion(pushed.version(), restartedNs), TIMEOUT_S)
                                .getMaxValue()
                        / 1e3);
        Sleep.ms(1500);
        add(
                "discovery.back.reconnects",
                "connections that all proxies make when discovery is back",
                "1",
                fleet.discoveryConnects() - connects);
        addPeakTraffic("discovery.back", restartedNs);
        if (fleet.discovery.watchCount() < shape.proxies() + shape.real()) {
            throw new ScaleException(
                    ScaleException.COUNT,
                    "only " + fleet.discovery.watchCount() + " of " + (shape.proxies() + shape.real())
                            + " proxies watch discovery again");
        }
    }

    private void addPropagation(String fault, PushedVersion pushed) throws ScaleException {
        add(
                fault + ".known",
                "from a change at discovery until the last living proxy knows it, a tenth just " + "killed",
                "ms",
                fleet.awaitPropagation(pushed, TIMEOUT_S).getMaxValue() / 1e3);
    }

    private void addPeakTraffic(String fault, long fromNs) {
        add(
                fault + ".worst",
                "bytes between discovery and all proxies in the worst second after it",
                "B/s",
                fleet.discovery.peakBytesPerSecond(fromNs));
    }

    private void add(String id, String description, String unit, double value) {
        results.add(
                new SeriesInfo(
                        "fault." + id,
                        description,
                        unit,
                        "proxies",
                        new TreeMap<>(Map.of("backends", shape.backends()))),
                shape.proxies(),
                value);
    }
}
