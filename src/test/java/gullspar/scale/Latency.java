package gullspar.scale;

import gullspar.proxy.config.Config;
import gullspar.scale.Results.About;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/** What real proxies add to a request, against direct calls in the same seconds, and what one costs them. */
final class Latency {
    private final Results results;
    private final Map<String, Object> fixed;
    private final String axis;
    private final long size;
    private final String prefix;

    Latency(Results results, String axis, long size, Map<String, Object> fixed) {
        this(results, "", axis, size, fixed);
    }

    /** prefix: what all names of its series begin with. */
    Latency(Results results, String prefix, String axis, long size, Map<String, Object> fixed) {
        this.prefix = prefix;
        this.results = results;
        this.axis = axis;
        this.size = size;
        this.fixed = fixed;
    }

    /** perSecond: requests to all proxies together, and as many direct ones. */
    void run(Trial t, double restMs, double perSecond, double warmS, double seconds)
            throws ScaleException, IOException {
        run(
                t.real.stream().map(r -> new Place(r.child(), r.listen())).toList(),
                t.backends,
                new String[] {"/look/1"},
                restMs,
                perSecond,
                warmS,
                seconds);
    }

    /** One real proxy, and where clients find it. */
    record Place(Child child, InetSocketAddress listen) {}

    /** urls: host and path, asked for in turn. */
    void run(
            List<Place> places,
            BackendStandIn backends,
            String[] urls,
            double restMs,
            double perSecond,
            double warmS,
            double seconds)
            throws ScaleException, IOException {
        List<InetSocketAddress> proxies = places.stream().map(Place::listen).toList();
        List<InetSocketAddress> direct = IntStream.range(0, 64)
                .mapToObj(i -> Config.parseAddress(backends.address(i)))
                .toList();
        try (OpenLoop load = new OpenLoop(urls)) {
            OpenLoop.Side through = load.new Side(proxies);
            OpenLoop.Side straight = load.new Side(direct);
            load.run(List.of(straight), perSecond, 1, 0); // the stand-ins warm up
            long connections = backends.connections();
            Map<Long, Accounts.Booked> before = new HashMap<>();
            for (Place p : places) {
                before.put(p.child().pid(), Accounts.booked(p.child().pid()));
            }
            long at = System.nanoTime();
            load.run(List.of(through, straight), perSecond, warmS, seconds);
            double passed = (System.nanoTime() - at) / 1e9;
            double ms = Accounts.ms(before) - restMs * passed * proxies.size();
            if (through.answered == 0 || through.broken > 0 || straight.broken > 0) {
                throw new ScaleException(
                        ScaleException.COUNT,
                        through.statuses + " answered, " + through.broken + " broken through the proxies, "
                                + straight.broken + " direct");
            }
            System.out.println("  answers by status " + through.statuses + ", direct " + straight.statuses);
            add(
                    "proxy.added.p50",
                    "latency that a proxy adds, median",
                    "ms",
                    added(through.latency, straight.latency, 50));
            add("proxy.added.p99", "the same, 99 in 100", "ms", added(through.latency, straight.latency, 99));
            add("proxy.added.p999", "the same, 999 in 1,000", "ms", added(through.latency, straight.latency, 99.9));
            add(
                    "direct.p99",
                    "latency of the direct calls beside them, 99 in 100",
                    "ms",
                    straight.latency.getValueAtPercentile(99) / 1e3);
            add(
                    "proxy.refused",
                    "requests that were not answered 200, of 100",
                    "%",
                    100.0 * through.others / (through.others + through.answered));
            add(
                    "proxy.serving.cpu.request",
                    "processor time of a real proxy for a request",
                    "ms",
                    ms / (perSecond * (warmS + seconds)));
            add(
                    "backend.connections",
                    "connections that the proxies made to all backends and the direct "
                            + "calls beside them, for a request",
                    "1",
                    (backends.connections() - connections) / (perSecond * (warmS + seconds) * 2));
        }
    }

    private static double added(Histogram through, Histogram straight, double percentile) {
        return (through.getValueAtPercentile(percentile) - straight.getValueAtPercentile(percentile)) / 1e3;
    }

    private void add(String id, String what, String unit, double value) {
        results.add(new About(prefix + id + "." + axis, what, unit, axis, new TreeMap<>(fixed)), size, value);
    }
}
