package gullspar.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What a run does, one trial after the other. */
final class Plan {
    /** No trial of a full run begins later. */
    private static final int LAST_START_S = 540;

    private final long began = System.nanoTime();
    private final List<String> notRun = new ArrayList<>();
    private final Options options;
    private final Children children;
    private final Results results;

    Plan(Options options, Children children, Results results) {
        this.options = options;
        this.children = children;
        this.results = results;
    }

    void run() throws ScaleException, IOException {
        if (options.full()) {
            full();
        } else {
            small();
        }
    }

    private void small() throws ScaleException, IOException {
        // Its figures are none, so some of it goes on beside the rest.
        Both services = new Both(() -> {
            new Sites(options, children, results).services(new int[] {10}, 3);
            new Tenants(children, results).run(new int[] {100}, 2, 1);
        });
        new Likeness(options, children, results).run(1, 50, true);
        View view = View.start(children, results, 6, 200);
        Sweeps sweeps = new Sweeps(options, children, results);
        sweeps.backends(new int[] {40}, 8, 0);
        sweeps.changes(new int[] {10}, new Shape(4, 1, 0, 40, 0, 64));
        view.first();
        faults(new Shape(10, 2, 0, 50, 0, 64), 0.5);
        services.join();
        view.settled(30);
        view.rest(0.5);
    }

    /** In the order of what is wanted most: where time gets short, the rest is named as not run. */
    private void full() throws ScaleException, IOException {
        Sweeps sweeps = new Sweeps(options, children, results);
        for (int size : new int[] {100, 1000, 6600}) {
            unlessLate(size + " backends", () -> sweeps.backends(new int[] {size}, 40, 0));
        }
        for (int size : new int[] {40, 160, 640}) {
            unlessLate(size + " proxies", () -> sweeps.proxies(new int[] {size}, 100, 0));
        }
        List<View> views = new ArrayList<>();
        unlessLate("the view at 40, 160 and 640", () -> {
            for (int size : new int[] {40, 160, 640}) {
                views.add(View.start(children, results, size, 1000));
            }
        });
        unlessLate(
                "real beside hollow, with traffic", () -> new Likeness(options, children, results).run(8, 1000, false));
        for (View v : views) {
            v.first();
        }
        unlessLate("changes", () -> sweeps.changes(new int[] {1, 10, 30, 100, 300}, new Shape(40, 1, 0, 1000, 0, 300)));
        unlessLate("tenants", () -> new Tenants(children, results).run(new int[] {440, 4400, 44_000}, 8, 1));
        Sites sites = new Sites(options, children, results);
        unlessLate("services", () -> sites.services(new int[] {10, 100, 310}, 21));
        for (View v : views) {
            v.rest(10);
        }
        unlessLate("routes", () -> sites.routes(new int[] {240, 1200, 2400}, 10, 3));
        unlessLate("faults at 40", () -> faults(new Shape(40, 10, 0, 100, 0, 100), 6));
        unlessLate("faults at 160, 8 real", () -> faults(new Shape(160, 10, 8, 100, 0, 150), 6));
        unlessLate("faults at 640", () -> faults(new Shape(640, 10, 0, 100, 0, 300), 6));
        unlessLate("320 proxies and 6,600 backends", () -> sweeps.proxies(new int[] {40, 320}, 6600, 0));
        unlessLate("traffic at 100 and 6,600 backends, 24 real", () -> {
            sweeps.traffic(100, 24);
            sweeps.traffic(6600, 24);
        });
    }

    private void unlessLate(String what, Both.Work work) throws ScaleException, IOException {
        if ((System.nanoTime() - began) / 1e9 > LAST_START_S) {
            System.out.println("not run, for want of time: " + what);
            notRun.add(what);
        } else {
            work.run();
        }
        results.head("not_run", notRun);
        results.write(Path.of(options.out())); // what is there, should the rest fail
    }

    private void faults(Shape shape, double seconds) throws ScaleException, IOException {
        new Faults(options, children, results).run(shape, seconds);
    }
}
