package gullspar.scale;

import gullspar.scale.Results.About;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** The control part of hollow proxies along one axis, the others held small. */
final class Sweeps {
    private static final int PER_PROCESS = 40, HEAP_MB = 300, LARGE_HEAP_MB = 800;
    private static final double REQUESTS = 25, WARM_S = 5, LOAD_S = 15;

    private final Options options;
    private final Children children;
    private final Results results;

    Sweeps(Options options, Children children, Results results) {
        this.options = options;
        this.children = children;
        this.results = results;
    }

    /** proxies: hollow ones; real: those beside them. */
    void backends(int[] sizes, int proxies, int real) throws ScaleException, IOException {
        for (int size : sizes) {
            trial(
                    new Series("backends", size, Map.of("proxies", proxies)),
                    new Shape(proxies, 1 + proxies / PER_PROCESS, real, size, 0, heapMb(size)));
        }
    }

    void proxies(int[] sizes, int backends, int real) throws ScaleException, IOException {
        for (int size : sizes) {
            trial(
                    new Series("proxies", size, Map.of("backends", backends)),
                    new Shape(size, Math.max(2, size / PER_PROCESS), real, backends, 0, heapMb(backends)));
        }
    }

    /** Real ones with traffic, and nothing else. */
    void traffic(int backends, int real) throws ScaleException, IOException {
        Series s = new Series("backends", backends, Map.of("real_proxies", real));
        System.out.println(s.axis + " " + backends + " " + s.fixed);
        try (Trial t = new Trial(children, new Shape(0, 0, real, backends, 0, 0), options.port())) {
            t.processes().proxies();
            Pause.ms(2000);
            Control.Rest rest = new Control(t).rest(6);
            s.real(t, rest);
            new Latency(results, s.axis, s.size, s.fixed).run(t, rest.realMs(), REQUESTS * real, WARM_S, LOAD_S);
        }
    }

    private static int heapMb(int backends) {
        return backends > 2000 ? LARGE_HEAP_MB : HEAP_MB;
    }

    /** Changes in one go, at one trial of that shape. */
    void changes(int[] sizes, Shape shape) throws ScaleException, IOException {
        System.out.println("changes in one go: " + shape);
        try (Trial t = new Trial(children, shape, options.port())) {
            t.processes().proxies();
            Control c = new Control(t);
            c.wholes(options.full() ? 4 : 1);
            c.changes(options.full() ? 200 : 2, 50);
            c.rest(options.full() ? 6 : 1);
            for (int size : sizes) {
                new Series("changes", size, Map.of("proxies", shape.proxies(), "backends", shape.backends()))
                        .burst(c.burst(size));
            }
            t.sound();
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
            c.wholes(full ? 3 : 1);
            c.weights(full ? 3 : 1);
            c.changes(full ? 40 : 2, 20);
            Control.Rest rest = c.rest(full ? 6 : 1); // whole periods of the beats
            s.rest(rest);
            s.whole(c.wholes(full ? 3 : 1));
            s.change(c.changes(full ? 60 : 6, 20));
            s.weights(c.weights(full ? 4 : 2));
            s.bytes(Tally.since(before, t.discovery.kinds()));
            s.memory(
                    (t.hollowHeap() - heap) / 1024.0 / shape.proxies(),
                    (t.hollowResident() - resident) / 1024.0 / shape.proxies());
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

        /** Sweeps before a long list have names of their own. */
        private String suffix() {
            return fixed.get("backends") instanceof Integer b && b > 2000 ? ".before" + b : "";
        }

        private void add(String id, String unit, double value, String what) {
            results.add(new About(id + "." + axis + suffix(), what, unit, axis, new TreeMap<>(fixed)), size, value);
        }

        void rest(Control.Rest r) {
            add(
                    "proxy.control.cpu.rest",
                    "ms/s",
                    r.hollowMs(),
                    "processor time of a proxy's control part at " + "rest");
            add("proxy.control.bytes.in.rest", "B/s", r.bytes(), "bytes from discovery to a proxy at rest");
            add("proxy.control.messages.in.rest", "1/s", r.messages(), "messages from discovery to a proxy at rest");
        }

        /** The real ones beside them, before they have traffic. */
        void real(Trial t, Control.Rest r) throws IOException {
            double heap = 0;
            double resident = 0;
            for (RealProxy p : t.real) {
                resident += Accounts.residentBytes(p.child().pid()) / 1024.0 / t.real.size();
                heap += p.heap() / 1024.0 / t.real.size();
            }
            add("proxy.real.cpu.rest", "ms/s", r.realMs(), "processor time of a whole real process at rest");
            add("proxy.real.heap", "KB", heap, "heap of a real proxy after a collection");
            add(
                    "proxy.real.resident",
                    "KB",
                    resident,
                    "resident memory of a real proxy, its heap touched at " + "the start");
        }

        void whole(Control.Cost c) {
            add(
                    "proxy.control.cpu.whole",
                    "ms",
                    c.hollowMs(),
                    "processor time of a proxy for a whole list, the watch opened anew included");
            add(
                    "known.whole.all",
                    "ms",
                    c.known().getMaxValue() / 1e3,
                    "from the end of all watches until the "
                            + "last proxy has the whole list again, the worst of some");
        }

        void change(Control.Cost c) {
            Histogram known = c.known();
            add(
                    "proxy.control.cpu.change",
                    "ms",
                    c.hollowMs(),
                    "processor time of a proxy for one backend that comes or goes");
            add(
                    "known.change.p50",
                    "ms",
                    known.getValueAtPercentile(50) / 1e3,
                    "from a change at discovery " + "until a proxy knows it, median");
            add("known.change.p99", "ms", known.getValueAtPercentile(99) / 1e3, "the same, 99 in 100");
            add(
                    "known.change.all",
                    "ms",
                    known.getMaxValue() / 1e3,
                    "from a change at discovery until the last proxy knows it, the worst of all changes");
        }

        void burst(Control.Cost c) {
            add(
                    "proxy.control.cpu.burst",
                    "ms",
                    c.hollowMs() * size,
                    "processor time of a proxy for so many changes in one go");
            add(
                    "proxy.control.bytes.burst",
                    "B",
                    c.bytes() * size,
                    "bytes from discovery to a proxy for so many changes in one go");
            add(
                    "known.burst.all",
                    "ms",
                    c.known().getMaxValue() / 1e3,
                    "from each of so many changes in one go until the last proxy knows it, the worst");
        }

        void weights(Control.Cost c) {
            add(
                    "proxy.control.cpu.weights",
                    "ms",
                    c.hollowMs(),
                    "processor time of a proxy for all weights told anew at once");
            add(
                    "known.weights.all",
                    "ms",
                    c.known().getMaxValue() / 1e3,
                    "from all weights told anew until the last proxy knows them, the worst of some");
        }

        void bytes(Map<String, Tally.Sum> kinds) {
            for (String kind : new String[] {"change", "whole", "weights"}) {
                Tally.Sum sum = kinds.getOrDefault(kind, Tally.NONE);
                add(
                        "proxy.control.bytes." + kind,
                        "B",
                        (double) sum.bytes() / sum.messages(),
                        "bytes to a proxy of one message from discovery: " + kind);
            }
            Tally.Sum calls = kinds.getOrDefault("call", Tally.NONE);
            add(
                    "proxy.control.bytes.out.call",
                    "B",
                    (double) calls.bytes() / calls.messages(),
                    "bytes from a proxy to discovery for a watch");
        }

        void memory(double heapKb, double residentKb) {
            add("proxy.control.heap", "KB", heapKb, "heap of a proxy's control part after a collection");
            add(
                    "proxy.control.resident",
                    "KB",
                    residentKb,
                    "resident memory that a hollow proxy adds to its " + "process, garbage and its thread included");
        }
    }
}
