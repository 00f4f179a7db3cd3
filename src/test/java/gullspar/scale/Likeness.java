package gullspar.scale;

import java.io.IOException;
import java.util.Map;

/** The same control figures of real and of hollow proxies, side by side before one discovery. */
final class Likeness {
    private static final String SHARED = "a real one compiles for itself, and finds its caches cold, where "
            + "hollow ones come one after the other";
    private final Options options;
    private final Children children;
    private final Results results;

    Likeness(Options options, Children children, Results results) {
        this.options = options;
        this.children = children;
        this.results = results;
    }

    /** An empty process of hollow ones beside them says what a runtime costs with nothing to do. */
    void run(int each, int backends, boolean quick) throws ScaleException, IOException {
        Shape shape = new Shape(each, 1, each, backends, 0, 256);
        System.out.println("real beside hollow: " + shape);
        try (Trial t = new Trial(children, shape, options.port());
                Trial empty = new Trial(children, new Shape(0, 1, 0, 1, 0, 64), 0)) {
            t.processes();
            double heap = t.hollowHeap();
            t.proxies();
            heap = t.hollowHeap() - heap;
            empty.processes();
            Control c = new Control(t);
            c.wholes(quick ? 1 : 20);
            c.changes(quick ? 4 : 500, quick ? 20 : 100);
            Map<Long, Accounts.Booked> idle = empty.hollowCpu();
            long at = System.nanoTime();
            Control.Rest rest = c.rest(quick ? 2 : 15);
            double runtime = Accounts.ms(idle) / ((System.nanoTime() - at) / 1e9);
            Control.Cost whole = c.wholes(quick ? 1 : 10);
            Control.Cost change = c.changes(quick ? 4 : 300, quick ? 20 : 50);
            Control.Cost weights = c.weights(quick ? 1 : 20);
            results.alike(
                    "processor time of a runtime with nothing to do",
                    "ms/s",
                    runtime,
                    runtime,
                    "measured in an empty process");
            results.alike(
                    "processor time at rest, less that of the runtime",
                    "ms/s",
                    rest.realMs() - runtime,
                    rest.hollowMs() - runtime / each,
                    "hollow ones share their runtime");
            results.alike("processor time of a whole list", "ms", whole.realMs(), whole.hollowMs(), SHARED);
            results.alike("processor time of a change", "ms", change.realMs(), change.hollowMs(), SHARED);
            results.alike("processor time of all weights", "ms", weights.realMs(), weights.hollowMs(), SHARED);
            double real = 0;
            double resident = 0;
            for (RealProxy r : t.real) {
                real += r.heap() / (double) each;
                resident += Accounts.residentBytes(r.child().pid()) / (double) each;
            }
            real -= empty.hollowHeap();
            results.alike(
                    "heap after a collection, less that of an empty process",
                    "KB",
                    real / 1024,
                    heap / each / 1024,
                    "what a process holds once: the warm-up, the operators' port, " + "tables");
            results.alike(
                    "resident memory",
                    "KB",
                    resident / 1024,
                    t.hollowResident() / 1024.0 / each,
                    "a real one has a runtime and a heap of its own, touched at the start");
            new Latency(results, "backends", backends, Map.of("proxies", 2 * each))
                    .run(t, rest.realMs(), quick ? 40 : 200, quick ? 0.5 : 5, quick ? 1 : 10);
            t.sound();
            if (t.real.get(0).members() < backends) {
                throw new ScaleException(
                        ScaleException.COUNT,
                        "a real proxy lists " + t.real.get(0).members() + " of " + backends);
            }
        }
    }
}
