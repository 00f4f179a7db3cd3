package gullspar.scale;

import gullspar.proxy.config.Config;
import gullspar.scale.Results.SeriesInfo;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Sweeps over services and routes in an operator's file, which a real proxy serves as plain HTTP (serve --config).
 */
final class RoutesFileSweeps {
    private static final int HEAP_MB = 192,
            EXPECTED_MB = 260,
            ROUTES_PER_HOST = 100,
            RELOADS = 5,
            START_TIMEOUT_S = 120;
    private static final double REQUESTS_PER_SECOND = 100, WARM_UP_S = 4, LOAD_S = 8;

    private final Options options;
    private final ChildProcesses children;
    private final Results results;

    RoutesFileSweeps(Options options, ChildProcesses children, Results results) {
        this.options = options;
        this.children = children;
        this.results = results;
    }

    /** Sweeps the number of services, with one route to each and the given number of servers in each. */
    void services(int[] sizes, int servers) throws ScaleException, IOException {
        for (int size : sizes) {
            measure("services", size, size, servers, size, Map.of("servers_a_service", servers));
        }
    }

    /** Sweeps the number of routes. */
    void routes(int[] sizes, int services, int servers) throws ScaleException, IOException {
        for (int size : sizes) {
            measure(
                    "routes",
                    size,
                    services,
                    servers,
                    size,
                    Map.of("services", services, "servers_a_service", servers));
        }
    }

    private static String url(int route) {
        return "h" + route / ROUTES_PER_HOST + ".example/r" + route + "/x";
    }

    private static String routesFile(String listen, BackendStandIn backends, int services, int servers, int routes) {
        StringBuilder f = new StringBuilder("[[listener]]\naddress = \"" + listen + "\"\n");
        for (int s = 0; s < services; s++) {
            f.append("[[pool]]\nname = \"s").append(s).append("\"\n");
            for (int b = 0; b < servers; b++) {
                f.append("[[pool.server]]\nname = " + "\"s")
                        .append(s)
                        .append('-')
                        .append(b)
                        .append("\"\naddress = \"")
                        .append(backends.address(s * servers + b))
                        .append("\"\n");
            }
        }
        for (int r = 0; r < routes; r++) {
            if (r % ROUTES_PER_HOST == 0) {
                f.append("[[host]]\nnames = [\"h").append(r / ROUTES_PER_HOST).append(".example\"]\n");
            }
            f.append("[[host.route]]\npath = \"/r")
                    .append(r)
                    .append("/\"\npool = \"s")
                    .append(r % services)
                    .append("\"\n");
        }
        return f.toString();
    }

    private void measure(String axis, long size, int services, int servers, int routes, Map<String, Object> fixed)
            throws ScaleException, IOException {
        System.out.println(axis + " " + size + " " + fixed);
        String listen = Ports.free(1).get(0);
        InetSocketAddress address = Config.parseAddress(listen);
        List<ChildProcess> processes = new ArrayList<>();
        try (BackendStandIn backends = new BackendStandIn()) {
            Path config = Files.writeString(
                    children.folder().resolve("site.toml"), routesFile(listen, backends, services, servers, routes));
            long startedNs = System.nanoTime();
            ChildProcess c = children.start("real site proxy", EXPECTED_MB, command(config), Map.of());
            processes.add(c);
            c.awaitLine("listening on", START_TIMEOUT_S);
            Series s = new Series(axis, size, fixed);
            s.add("site.file.bytes", "B", Files.size(config), "an operator's file");
            s.add(
                    "site.start.cpu",
                    "ms",
                    ProcessUsage.cpuMsSince(Map.of(c.pid(), ProcessUsage.ZERO)),
                    "processor time of a start, the runtime's included");
            s.add("site.start.known", "ms", (System.nanoTime() - startedNs) / 1e6, "from a start until it listens");
            measureReloads(s, c);
            Map<Long, ProcessUsage.CpuTime> cpuBefore = Map.of(c.pid(), ProcessUsage.cpuTime(c.pid()));
            long idleFromNs = System.nanoTime();
            Sleep.ms(options.full() ? 5000 : 500);
            double idleMsPerSecond = ProcessUsage.cpuMsSince(cpuBefore) / ((System.nanoTime() - idleFromNs) / 1e9);
            s.add("site.cpu.rest", "ms/s", idleMsPerSecond, "processor time at rest");
            String[] urls = new String[routes];
            for (int r = 0; r < routes; r++) {
                urls[r] = url(r);
            }
            new LatencyTrial(results, "site.", axis, size, fixed)
                    .run(
                            List.of(new LatencyTrial.Endpoint(c, address)),
                            backends,
                            urls,
                            idleMsPerSecond,
                            options.full() ? REQUESTS_PER_SECOND : 20,
                            options.full() ? WARM_UP_S : 0.5,
                            options.full() ? LOAD_S : 1);
            s.add("site.resident", "KB", ProcessUsage.residentBytes(c.pid()) / 1024.0, "resident memory, after load");
            s.add(
                    "site.heap",
                    "KB",
                    new RealProxy(c, address, address, config).heapBytes() / 1024.0,
                    "heap after a collection, after load");
        } finally {
            children.stop(processes);
        }
    }

    private static List<String> command(Path config) {
        return RealProxy.DEPLOYED
                ? List.of(
                        "java",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xss512k",
                        "-Xmx" + HEAP_MB + "m",
                        "-jar",
                        "target/gullspar.jar",
                        "serve",
                        "--config",
                        config.toString())
                : ChildProcess.javaCommand(HEAP_MB, "gullspar.Main", "serve", "--config", config.toString());
    }

    private void measureReloads(Series s, ChildProcess c) throws ScaleException, IOException {
        Map<Long, ProcessUsage.CpuTime> cpuBefore = Map.of(c.pid(), ProcessUsage.cpuTime(c.pid()));
        double slowestMs = 0;
        for (int i = 0; i < RELOADS; i++) {
            long sentNs = System.nanoTime();
            c.sendHangup();
            c.awaitLine("a new configuration", START_TIMEOUT_S);
            slowestMs = Math.max(slowestMs, (System.nanoTime() - sentNs) / 1e6);
        }
        s.add("site.reload.cpu", "ms", ProcessUsage.cpuMsSince(cpuBefore) / RELOADS, "processor time for a SIGHUP");
        s.add("site.reload.known", "ms", slowestMs, "from SIGHUP until the file is in force, the slowest");
    }

    /** Adds the values of one size to the results. */
    private final class Series {
        private final String axis;
        private final long size;
        private final Map<String, Object> fixed;

        Series(String axis, long size, Map<String, Object> fixed) {
            this.axis = axis;
            this.size = size;
            this.fixed = fixed;
        }

        void add(String id, String unit, double value, String description) {
            results.add(new SeriesInfo(id + "." + axis, description, unit, axis, new TreeMap<>(fixed)), size, value);
        }
    }
}
