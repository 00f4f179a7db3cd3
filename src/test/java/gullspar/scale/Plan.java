package gullspar.scale;

import java.io.IOException;

/** What a run does, one trial after the other. */
final class Plan {
    private final Options options;
    private final Children children;
    private final Results results;

    Plan(Options options, Children children, Results results) {
        this.options = options;
        this.children = children;
        this.results = results;
    }

    void run() throws ScaleException, IOException {
        Sweeps sweeps = new Sweeps(options, children, results);
        if (options.full()) {
            new Likeness(options, children, results).run(8, 1000, false);
            sweeps.backends(new int[] {100, 1000, 6600}, 40, 8);
            sweeps.proxies(new int[] {40, 160, 640}, 100, 8);
            faults(new Shape(40, 10, 4, 100, 0, 200), 6);
            faults(new Shape(160, 10, 4, 100, 0, 200), 6);
        } else {
            new Likeness(options, children, results).run(1, 50, true);
            sweeps.backends(new int[] {40}, 8, 0);
            faults(new Shape(10, 2, 0, 50, 0, 64), 0.5);
        }
    }

    private void faults(Shape shape, double seconds) throws ScaleException, IOException {
        new Faults(options, children, results).run(shape, seconds);
    }
}
