package gullspar.scale;

import java.io.IOException;
import java.util.Map;

/**
 * Measures the same control figures of real and hollow proxies at one discovery. The comparison shows how far
 * figures of hollow proxies hold for real ones.
 */
final class HollowComparison {
    private static final String COMPILATION_DIFFERENCE =
            "a real one compiles for itself, and finds its caches cold, where "
                    + "hollow ones come one after the other";
    private final Options options;
    private final ChildProcesses children;
    private final Results results;

    HollowComparison(Options options, ChildProcesses children, Results results) {
        this.options = options;
        this.children = children;
        this.results = results;
    }

    /** An empty hollow process beside them shows what an idle Java runtime costs. */
    void run(int proxiesOfEachKind, int backends, boolean quick) throws ScaleException, IOException {
        Shape shape = new Shape(proxiesOfEachKind, 1, proxiesOfEachKind, backends, 0, 256);
        System.out.println("real beside hollow: " + shape);
        try (TestFleet fleet = new TestFleet(children, shape, options.port());
                TestFleet empty = new TestFleet(children, new Shape(0, 1, 0, 1, 0, 64), 0)) {
            fleet.startProcesses();
            double heap = fleet.hollowHeapBytes();
            fleet.startProxies();
            heap = fleet.hollowHeapBytes() - heap;
            empty.startProcesses();
            ControlPlaneMeter meter = new ControlPlaneMeter(fleet);
            meter.measureFullLists(quick ? 1 : 20);
            meter.measureChanges(quick ? 4 : 500, quick ? 20 : 100);
            Map<Long, ProcessUsage.CpuTime> emptyCpuBefore = empty.hollowCpuTimes();
            long idleFromNs = System.nanoTime();
            ControlPlaneMeter.IdleCost idleCost = meter.measureIdle(quick ? 2 : 15);
            double idleRuntimeMs = ProcessUsage.cpuMsSince(emptyCpuBefore) / ((System.nanoTime() - idleFromNs) / 1e9);
            ControlPlaneMeter.EventCost fullList = meter.measureFullLists(quick ? 1 : 10);
            ControlPlaneMeter.EventCost change = meter.measureChanges(quick ? 4 : 300, quick ? 20 : 50);
            ControlPlaneMeter.EventCost weights = meter.measureWeights(quick ? 1 : 20);
            results.addComparison(
                    "processor time of a runtime with nothing to do",
                    "ms/s",
                    idleRuntimeMs,
                    idleRuntimeMs,
                    "measured in an empty process");
            results.addComparison(
                    "processor time at rest, less that of the runtime",
                    "ms/s",
                    idleCost.realMs() - idleRuntimeMs,
                    idleCost.hollowMs() - idleRuntimeMs / proxiesOfEachKind,
                    "hollow ones share their runtime");
            results.addComparison(
                    "processor time of a whole list",
                    "ms",
                    fullList.realMs(),
                    fullList.hollowMs(),
                    COMPILATION_DIFFERENCE);
            results.addComparison(
                    "processor time of a change", "ms", change.realMs(), change.hollowMs(), COMPILATION_DIFFERENCE);
            results.addComparison(
                    "processor time of all weights",
                    "ms",
                    weights.realMs(),
                    weights.hollowMs(),
                    COMPILATION_DIFFERENCE);
            double real = 0;
            double resident = 0;
            for (RealProxy r : fleet.realProxies) {
                real += r.heapBytes() / (double) proxiesOfEachKind;
                resident += ProcessUsage.residentBytes(r.child().pid()) / (double) proxiesOfEachKind;
            }
            real -= empty.hollowHeapBytes();
            results.addComparison(
                    "heap after a collection, less that of an empty process",
                    "KB",
                    real / 1024,
                    heap / proxiesOfEachKind / 1024,
                    "what a process holds once: the warm-up, the operators' port, " + "tables");
            results.addComparison(
                    "resident memory",
                    "KB",
                    resident / 1024,
                    fleet.hollowResidentBytes() / 1024.0 / proxiesOfEachKind,
                    "a real one has a runtime and a heap of its own, touched at the start");
            new LatencyTrial(results, "backends", backends, Map.of("proxies", 2 * proxiesOfEachKind))
                    .run(fleet, idleCost.realMs(), quick ? 40 : 200, quick ? 0.5 : 5, quick ? 1 : 10);
            fleet.checkNoFailures();
            if (fleet.realProxies.get(0).listedBackends() < backends) {
                throw new ScaleException(
                        ScaleException.COUNT,
                        "a real proxy lists " + fleet.realProxies.get(0).listedBackends() + " of " + backends);
            }
        }
    }
}
