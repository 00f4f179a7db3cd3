package gullspar.scale;

import gullspar.proxy.config.Config;
import gullspar.scale.Results.SeriesInfo;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * Measures the latency that real proxies add to a request, against direct requests to the backends at the same
 * time, and the processor time of a request.
 */
final class LatencyTrial {
    private final Results results;
    private final Map<String, Object> fixed;
    private final String axis;
    private final long size;
    private final String prefix;

    LatencyTrial(Results results, String axis, long size, Map<String, Object> fixed) {
        this(results, "", axis, size, fixed);
    }

    /** prefix: prepended to all series ids. */
    LatencyTrial(Results results, String prefix, String axis, long size, Map<String, Object> fixed) {
        this.prefix = prefix;
        this.results = results;
        this.axis = axis;
        this.size = size;
        this.fixed = fixed;
    }

    /** perSecond: rate of requests to all proxies together; as many are sent directly. */
    void run(TestFleet fleet, double idleMs, double perSecond, double warmUpS, double seconds)
            throws ScaleException, IOException {
        run(
                fleet.realProxies.stream()
                        .map(r -> new Endpoint(r.child(), r.listen()))
                        .toList(),
                fleet.backends,
                new String[] {"/look/1"},
                idleMs,
                perSecond,
                warmUpS,
                seconds);
    }

    /** A real proxy and the address where it listens for clients. */
    record Endpoint(ChildProcess child, InetSocketAddress listen) {}

    /** urls: host and path of the requests, used in turn. */
    void run(
            List<Endpoint> endpoints,
            BackendStandIn backends,
            String[] urls,
            double idleMs,
            double perSecond,
            double warmUpS,
            double seconds)
            throws ScaleException, IOException {
        List<InetSocketAddress> proxies =
                endpoints.stream().map(Endpoint::listen).toList();
        List<InetSocketAddress> directAddresses = IntStream.range(0, 64)
                .mapToObj(i -> Config.parseAddress(backends.address(i)))
                .toList();
        try (OpenLoopClients load = new OpenLoopClients(urls)) {
            OpenLoopClients.Target proxied = load.new Target(proxies);
            OpenLoopClients.Target direct = load.new Target(directAddresses);
            load.run(List.of(direct), perSecond, 1, 0); // warms up the stand-ins
            long connectionsBefore = backends.connections();
            Map<Long, ProcessUsage.CpuTime> cpuBefore = new HashMap<>();
            for (Endpoint p : endpoints) {
                cpuBefore.put(p.child().pid(), ProcessUsage.cpuTime(p.child().pid()));
            }
            long startedNs = System.nanoTime();
            load.run(List.of(proxied, direct), perSecond, warmUpS, seconds);
            double elapsedS = (System.nanoTime() - startedNs) / 1e9;
            double cpuMs = ProcessUsage.cpuMsSince(cpuBefore) - idleMs * elapsedS * proxies.size();
            if (proxied.okResponses == 0 || proxied.failedRequests > 0 || direct.failedRequests > 0) {
                throw new ScaleException(
                        ScaleException.COUNT,
                        proxied.statuses + " responses by status, " + proxied.failedRequests
                                + " failed through the proxies, " + direct.failedRequests + " direct");
            }
            System.out.println("  responses by status " + proxied.statuses + ", direct " + direct.statuses);
            add(
                    "proxy.added.p50",
                    "latency that a proxy adds, median",
                    "ms",
                    addedMs(proxied.latency, direct.latency, 50));
            add("proxy.added.p99", "the same, 99 in 100", "ms", addedMs(proxied.latency, direct.latency, 99));
            add("proxy.added.p999", "the same, 999 in 1,000", "ms", addedMs(proxied.latency, direct.latency, 99.9));
            add(
                    "direct.p99",
                    "latency of the direct calls beside them, 99 in 100",
                    "ms",
                    direct.latency.getValueAtPercentile(99) / 1e3);
            add(
                    "proxy.refused",
                    "requests that were not answered 200, of 100",
                    "%",
                    100.0 * proxied.otherResponses / (proxied.otherResponses + proxied.okResponses));
            add(
                    "proxy.serving.cpu.request",
                    "processor time of a real proxy for a request",
                    "ms",
                    cpuMs / (perSecond * (warmUpS + seconds)));
            add(
                    "backend.connections",
                    "connections that the proxies made to all backends and the direct "
                            + "calls beside them, for a request",
                    "1",
                    (backends.connections() - connectionsBefore) / (perSecond * (warmUpS + seconds) * 2));
        }
    }

    private static double addedMs(Histogram proxied, Histogram direct, double percentile) {
        return (proxied.getValueAtPercentile(percentile) - direct.getValueAtPercentile(percentile)) / 1e3;
    }

    private void add(String id, String description, String unit, double value) {
        results.add(
                new SeriesInfo(prefix + id + "." + axis, description, unit, axis, new TreeMap<>(fixed)), size, value);
    }
}
