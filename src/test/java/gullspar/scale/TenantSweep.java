package gullspar.scale;

import gullspar.scale.Results.SeriesInfo;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.TreeMap;

/** Sweeps the number of tenants in a proxy's settings: size of the configuration, memory, and cost of a reload. */
final class TenantSweep {
    private static final int RELOADS = 5, BACKENDS = 100, TIMEOUT_S = 60;

    private final ChildProcesses children;
    private final Results results;
    private long size;

    TenantSweep(ChildProcesses children, Results results) {
        this.children = children;
        this.results = results;
    }

    void run(int[] sizes, int hollow, int real) throws ScaleException, IOException {
        for (int s : sizes) {
            size = s;
            System.out.println("tenants " + s);
            try (TestFleet fleet = new TestFleet(children, new Shape(hollow, 1, real, BACKENDS, s, 300), 0)) {
                fleet.startProcesses();
                long heap = fleet.hollowHeapBytes();
                fleet.startProxies();
                add(
                        "proxy.control.heap",
                        "KB",
                        (fleet.hollowHeapBytes() - heap) / 1024.0 / hollow,
                        "heap of a proxy's control part after a collection");
                measureReloads(fleet, real);
                fleet.checkNoFailures();
            }
        }
    }

    private void measureReloads(TestFleet fleet, int real) throws ScaleException, IOException {
        double residentKb = 0;
        double cpuMs = 0;
        double slowestMs = 0;
        double configBytes = 0;
        for (RealProxy r : fleet.realProxies) {
            residentKb += ProcessUsage.residentBytes(r.child().pid()) / 1024.0 / real;
            configBytes = Files.size(r.config());
            Map<Long, ProcessUsage.CpuTime> cpuBefore =
                    Map.of(r.child().pid(), ProcessUsage.cpuTime(r.child().pid()));
            for (int i = 0; i < RELOADS; i++) {
                Files.copy(r.config(), r.config().resolveSibling("next"), StandardCopyOption.REPLACE_EXISTING);
                Files.move(r.config().resolveSibling("next"), r.config(), StandardCopyOption.ATOMIC_MOVE);
                long sentNs = System.nanoTime();
                r.child().sendHangup();
                r.child().awaitLine("a new configuration", TIMEOUT_S);
                slowestMs = Math.max(slowestMs, (System.nanoTime() - sentNs) / 1e6);
            }
            cpuMs += ProcessUsage.cpuMsSince(cpuBefore) / RELOADS / real;
        }
        add("proxy.config.bytes", "B", configBytes, "a proxy's configuration file");
        add("proxy.resident", "KB", residentKb, "resident memory of a real proxy");
        add("proxy.config.reload.cpu", "ms", cpuMs, "processor time of a real proxy for a SIGHUP");
        add(
                "proxy.config.reload.known",
                "ms",
                slowestMs,
                "from SIGHUP until the configuration is in force, " + "the " + "slowest");
    }

    private void add(String id, String unit, double value, String description) {
        results.add(
                new SeriesInfo(
                        id + ".tenants", description, unit, "tenants", new TreeMap<>(Map.of("backends", BACKENDS))),
                size,
                value);
    }
}
