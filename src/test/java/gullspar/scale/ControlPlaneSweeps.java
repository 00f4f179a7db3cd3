package gullspar.scale;

import gullspar.scale.Results.SeriesInfo;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Sweeps that measure the control part of hollow proxies along one axis, with the other sizes small and fixed. */
final class ControlPlaneSweeps {
    private static final int PER_PROCESS = 40, HEAP_MB = 300, LARGE_HEAP_MB = 800;
    private static final double REQUESTS_PER_SECOND = 25, WARM_UP_S = 5, LOAD_S = 15;

    private final Options options;
    private final ChildProcesses children;
    private final Results results;

    ControlPlaneSweeps(Options options, ChildProcesses children, Results results) {
        this.options = options;
        this.children = children;
        this.results = results;
    }

    /** Sweeps the number of backends, with the given numbers of hollow and real proxies. */
    void backends(int[] sizes, int proxies, int real) throws ScaleException, IOException {
        for (int size : sizes) {
            measure(
                    new Series("backends", size, Map.of("proxies", proxies)),
                    new Shape(proxies, 1 + proxies / PER_PROCESS, real, size, 0, heapMb(size)));
        }
    }

    /** Sweeps the number of hollow proxies. */
    void proxies(int[] sizes, int backends, int real) throws ScaleException, IOException {
        for (int size : sizes) {
            measure(
                    new Series("proxies", size, Map.of("backends", backends)),
                    new Shape(size, Math.max(2, size / PER_PROCESS), real, backends, 0, heapMb(backends)));
        }
    }

    /** Measures real proxies alone, with traffic. */
    void traffic(int backends, int real) throws ScaleException, IOException {
        Series s = new Series("backends", backends, Map.of("real_proxies", real));
        System.out.println(s.axis + " " + backends + " " + s.fixed);
        try (TestFleet fleet = new TestFleet(children, new Shape(0, 0, real, backends, 0, 0), options.port())) {
            fleet.startProcesses().startProxies();
            Sleep.ms(2000);
            ControlPlaneMeter.IdleCost idleCost = new ControlPlaneMeter(fleet).measureIdle(6);
            s.addRealProxies(fleet, idleCost);
            new LatencyTrial(results, s.axis, s.size, s.fixed)
                    .run(fleet, idleCost.realMs(), REQUESTS_PER_SECOND * real, WARM_UP_S, LOAD_S);
        }
    }

    private static int heapMb(int backends) {
        return backends > 2000 ? LARGE_HEAP_MB : HEAP_MB;
    }

    /** Sweeps the number of changes in a burst, on one fleet. */
    void changes(int[] sizes, Shape shape) throws ScaleException, IOException {
        System.out.println("changes in one go: " + shape);
        try (TestFleet fleet = new TestFleet(children, shape, options.port())) {
            fleet.startProcesses().startProxies();
            ControlPlaneMeter meter = new ControlPlaneMeter(fleet);
            meter.measureFullLists(options.full() ? 4 : 1);
            meter.measureChanges(options.full() ? 200 : 2, 50);
            meter.measureIdle(options.full() ? 6 : 1);
            for (int size : sizes) {
                new Series("changes", size, Map.of("proxies", shape.proxies(), "backends", shape.backends()))
                        .addBurst(meter.measureBurst(size));
            }
            fleet.checkNoFailures();
        }
    }

    /**
     * Measures one size: warms up with full lists, weights and changes, then measures idle cost, events and
     * memory.
     */
    private void measure(Series s, Shape shape) throws ScaleException, IOException {
        boolean full = options.full();
        System.out.println(s.axis + " " + s.size + " " + s.fixed);
        try (TestFleet fleet = new TestFleet(children, shape, options.port())) {
            fleet.startProcesses();
            long heapBefore = fleet.hollowHeapBytes();
            long residentBefore = fleet.hollowResidentBytes();
            fleet.startProxies();
            ControlPlaneMeter meter = new ControlPlaneMeter(fleet);
            Map<String, TrafficCounter.Total> trafficBefore = fleet.discovery.trafficByKind();
            meter.measureFullLists(full ? 3 : 1);
            meter.measureWeights(full ? 3 : 1);
            meter.measureChanges(full ? 40 : 2, 20);
            ControlPlaneMeter.IdleCost idleCost = meter.measureIdle(full ? 6 : 1); // whole periods of the heartbeats
            s.addIdle(idleCost);
            s.addFullList(meter.measureFullLists(full ? 3 : 1));
            s.addChange(meter.measureChanges(full ? 60 : 6, 20));
            s.addWeights(meter.measureWeights(full ? 4 : 2));
            s.addMessageBytes(TrafficCounter.difference(trafficBefore, fleet.discovery.trafficByKind()));
            s.addMemory(
                    (fleet.hollowHeapBytes() - heapBefore) / 1024.0 / shape.proxies(),
                    (fleet.hollowResidentBytes() - residentBefore) / 1024.0 / shape.proxies());
            fleet.checkNoFailures();
        }
    }

    /** Adds the values of one fleet size to the results. */
    private final class Series {
        private final String axis;
        private final long size;
        private final Map<String, Object> fixed;

        Series(String axis, long size, Map<String, Object> fixed) {
            this.axis = axis;
            this.size = size;
            this.fixed = fixed;
        }

        /** Sweeps with a long list of backends get series names of their own. */
        private String suffix() {
            return fixed.get("backends") instanceof Integer b && b > 2000 ? ".before" + b : "";
        }

        private void add(String id, String unit, double value, String description) {
            results.add(
                    new SeriesInfo(id + "." + axis + suffix(), description, unit, axis, new TreeMap<>(fixed)),
                    size,
                    value);
        }

        void addIdle(ControlPlaneMeter.IdleCost idleCost) {
            add(
                    "proxy.control.cpu.rest",
                    "ms/s",
                    idleCost.hollowMs(),
                    "processor time of a proxy's control part at " + "rest");
            add("proxy.control.bytes.in.rest", "B/s", idleCost.bytes(), "bytes from discovery to a proxy at rest");
            add(
                    "proxy.control.messages.in.rest",
                    "1/s",
                    idleCost.messages(),
                    "messages from discovery to a proxy at rest");
        }

        /** Adds the figures of the real proxies before they get traffic. */
        void addRealProxies(TestFleet fleet, ControlPlaneMeter.IdleCost idleCost) throws IOException {
            double heap = 0;
            double resident = 0;
            for (RealProxy p : fleet.realProxies) {
                resident += ProcessUsage.residentBytes(p.child().pid()) / 1024.0 / fleet.realProxies.size();
                heap += p.heapBytes() / 1024.0 / fleet.realProxies.size();
            }
            add("proxy.real.cpu.rest", "ms/s", idleCost.realMs(), "processor time of a whole real process at rest");
            add("proxy.real.heap", "KB", heap, "heap of a real proxy after a collection");
            add(
                    "proxy.real.resident",
                    "KB",
                    resident,
                    "resident memory of a real proxy, its heap touched at " + "the start");
        }

        void addFullList(ControlPlaneMeter.EventCost cost) {
            add(
                    "proxy.control.cpu.whole",
                    "ms",
                    cost.hollowMs(),
                    "processor time of a proxy for a whole list, the watch opened anew included");
            add(
                    "known.whole.all",
                    "ms",
                    cost.propagation().getMaxValue() / 1e3,
                    "from the end of all watches until the "
                            + "last proxy has the whole list again, the worst of some");
        }

        void addChange(ControlPlaneMeter.EventCost cost) {
            Histogram propagation = cost.propagation();
            add(
                    "proxy.control.cpu.change",
                    "ms",
                    cost.hollowMs(),
                    "processor time of a proxy for one backend that comes or goes");
            add(
                    "known.change.p50",
                    "ms",
                    propagation.getValueAtPercentile(50) / 1e3,
                    "from a change at discovery " + "until a proxy knows it, median");
            add("known.change.p99", "ms", propagation.getValueAtPercentile(99) / 1e3, "the same, 99 in 100");
            add(
                    "known.change.all",
                    "ms",
                    propagation.getMaxValue() / 1e3,
                    "from a change at discovery until the last proxy knows it, the worst of all changes");
        }

        void addBurst(ControlPlaneMeter.EventCost cost) {
            add(
                    "proxy.control.cpu.burst",
                    "ms",
                    cost.hollowMs() * size,
                    "processor time of a proxy for so many changes in one go");
            add(
                    "proxy.control.bytes.burst",
                    "B",
                    cost.bytes() * size,
                    "bytes from discovery to a proxy for so many changes in one go");
            add(
                    "known.burst.all",
                    "ms",
                    cost.propagation().getMaxValue() / 1e3,
                    "from each of so many changes in one go until the last proxy knows it, the worst");
        }

        void addWeights(ControlPlaneMeter.EventCost cost) {
            add(
                    "proxy.control.cpu.weights",
                    "ms",
                    cost.hollowMs(),
                    "processor time of a proxy for all weights told anew at once");
            add(
                    "known.weights.all",
                    "ms",
                    cost.propagation().getMaxValue() / 1e3,
                    "from all weights told anew until the last proxy knows them, the worst of some");
        }

        void addMessageBytes(Map<String, TrafficCounter.Total> kinds) {
            for (String kind : new String[] {"change", "whole", "weights"}) {
                TrafficCounter.Total sum = kinds.getOrDefault(kind, TrafficCounter.ZERO);
                add(
                        "proxy.control.bytes." + kind,
                        "B",
                        (double) sum.bytes() / sum.messages(),
                        "bytes to a proxy of one message from discovery: " + kind);
            }
            TrafficCounter.Total watchRequests = kinds.getOrDefault("call", TrafficCounter.ZERO);
            add(
                    "proxy.control.bytes.out.call",
                    "B",
                    (double) watchRequests.bytes() / watchRequests.messages(),
                    "bytes from a proxy to discovery for a watch");
        }

        void addMemory(double heapKb, double residentKb) {
            add("proxy.control.heap", "KB", heapKb, "heap of a proxy's control part after a collection");
            add(
                    "proxy.control.resident",
                    "KB",
                    residentKb,
                    "resident memory that a hollow proxy adds to its " + "process, garbage and its thread included");
        }
    }
}
