package gullspar.scale;

import gullspar.scale.Results.About;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** The control part of hollow proxies along one axis, the others held small. */
final class Sweeps {
    private static final int PER_PROCESS = 40, HEAP_MB = 700;
    private static final double REQUESTS = 25, WARM_S = 5, LOAD_S = 15;

    private final Options options;
    private final Children children;
    private final Results results;

    Sweeps(Options options, Children children, Results results) {
        this.options = options;
        this.children = children;
        this.results = results;
    }

    /** proxies: hollow ones; real: those beside them, with traffic at the end. */
    void backends(int[] sizes, int proxies, int real) throws ScaleException, IOException {
        for (int size : sizes) {
            trial(new Series("backends", size, Map.of("proxies", proxies)),
                    new Shape(proxies, 2, real, size, 0, HEAP_MB));
        }
    }

    void proxies(int[] sizes, int backends, int real) throws ScaleException, IOException {
        for (int size : sizes) {
            trial(new Series("proxies", size, Map.of("backends", backends)),
                    new Shape(size, Math.max(2, size / PER_PROCESS), real, backends, 0, HEAP_MB));
        }
    }

    /** One size: whole lists, which also warm all up, then rest, changes, weights, memory, traffic. */
    private void trial(Series s, Shape shape) throws ScaleException, IOException {
        boolean full = options.full();
        System.out.println(s.axis + " " + s.size + " " + s.fixed);
        try (Trial t = new Trial(children, shape, options.port())) {
            t.processes();
            long heap = t.hollowHeap();
            long resident = t.hollowResident();
            t.proxies();
            Control c = new Control(t);
            Map<String, Tally.Sum> before = t.discovery.kinds();
            c.wholes(full ? 4 : 1);
            c.weights(full ? 4 : 1);
            c.changes(full ? 40 : 2, 20);
            Control.Rest rest = c.rest(full ? 6 : 1);
            s.rest(rest);
            s.whole(c.wholes(full ? 4 : 1));
            s.change(c.changes(full ? 60 : 6, 20));
            s.weights(c.weights(full ? 8 : 2));
            s.bytes(Tally.since(before, t.discovery.kinds()));
            s.memory((t.hollowHeap() - heap) / 1024.0 / shape.proxies(),
                    (t.hollowResident() - resident) / 1024.0 / shape.proxies());
            if (shape.real() > 0) {
                new Latency(results, s.axis, s.size, s.fixed).run(t, rest.realMs(), REQUESTS * shape.real(),
                        WARM_S, LOAD_S);
            }
            t.sound();
        }
    }

    /** Where the values of one trial go. */
    private final class Series {
        private final String axis;
        private final long size;
        private final Map<String, Object> fixed;

        Series(String axis, long size, Map<String, Object> fixed) {
            this.axis = axis;
            this.size = size;
            this.fixed = fixed;
        }

        private void add(String id, String unit, double value, String what) {
            results.add(new About(id + "." + axis, what, unit, axis, new TreeMap<>(fixed)), size, value);
        }

        void rest(Control.Rest r) {
            add("proxy.control.cpu.rest", "ms/s", r.hollowMs(), "processor time of a proxy's control part at "
                    + "rest");
            add("proxy.control.bytes.in.rest", "B/s", r.bytes(), "bytes from discovery to a proxy at rest");
            add("proxy.control.messages.in.rest", "1/s", r.messages(),
                    "messages from discovery to a proxy at rest");
        }

        void whole(Control.Cost c) {
            add("proxy.control.cpu.whole", "ms", c.hollowMs(),
                    "processor time of a proxy for a whole list, the watch opened anew included");
            add("known.whole.all", "ms", c.known().getMaxValue() / 1e3,
                    "from the end of all watches until the "
                    + "last proxy has the whole list again, the worst of some");
        }

        void change(Control.Cost c) {
            Histogram known = c.known();
            add("proxy.control.cpu.change", "ms", c.hollowMs(),
                    "processor time of a proxy for one backend that comes or goes");
            add("known.change.p50", "ms", known.getValueAtPercentile(50) / 1e3, "from a change at discovery "
                    + "until a proxy knows it, median");
            add("known.change.p99", "ms", known.getValueAtPercentile(99) / 1e3, "the same, 99 in 100");
            add("known.change.all", "ms", known.getMaxValue() / 1e3,
                    "from a change at discovery until the last proxy knows it, the worst of all changes");
        }

        void weights(Control.Cost c) {
            add("proxy.control.cpu.weights", "ms", c.hollowMs(),
                    "processor time of a proxy for all weights told anew at once");
            add("known.weights.all", "ms", c.known().getMaxValue() / 1e3,
                    "from all weights told anew until the last proxy knows them, the worst of some");
        }

        void bytes(Map<String, Tally.Sum> kinds) {
            for (String kind : new String[] {"change", "whole", "weights"}) {
                Tally.Sum sum = kinds.getOrDefault(kind, Tally.NONE);
                add("proxy.control.bytes." + kind, "B", (double) sum.bytes() / sum.messages(),
                        "bytes to a proxy of one message from discovery: " + kind);
            }
            Tally.Sum calls = kinds.getOrDefault("call", Tally.NONE);
            add("proxy.control.bytes.out.call", "B", (double) calls.bytes() / calls.messages(),
                    "bytes from a proxy to discovery for a watch");
        }

        void memory(double heapKb, double residentKb) {
            add("proxy.control.heap", "KB", heapKb, "heap of a proxy's control part after a collection");
            add("proxy.control.resident", "KB", residentKb, "resident memory that a hollow proxy adds to its "
                    + "process, garbage and its thread included");
        }
    }
}
