package gullspar.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The trials of a run, in their order. */
final class RunPlan {
    /** No trial of a full run starts later than this, so that the last one ends within the run's time limit. */
    private static final int LAST_START_S = 540;

    private final long startedNs = System.nanoTime();
    private final List<String> notRun = new ArrayList<>();
    private final Options options;
    private final ChildProcesses children;
    private final Results results;

    RunPlan(Options options, ChildProcesses children, Results results) {
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
        // A small run checks that everything works; its figures do not count, so some trials run in parallel.
        BackgroundTask services = new BackgroundTask(() -> {
            new RoutesFileSweeps(options, children, results).services(new int[] {10}, 3);
            new TenantSweep(children, results).run(new int[] {100}, 2, 1);
        });
        new HollowComparison(options, children, results).run(1, 50, true);
        MemberFleet members = MemberFleet.start(children, results, 6, 200);
        ControlPlaneSweeps sweeps = new ControlPlaneSweeps(options, children, results);
        sweeps.backends(new int[] {40}, 8, 0);
        sweeps.changes(new int[] {10}, new Shape(4, 1, 0, 40, 0, 64));
        members.addStartTraffic();
        runFaults(new Shape(10, 2, 0, 50, 0, 64), 0.5);
        services.await();
        members.awaitFullView(30);
        members.addIdleAndStop(0.5);
    }

    /** Runs the most important trials first; those left when time runs out are reported as not run. */
    private void full() throws ScaleException, IOException {
        ControlPlaneSweeps sweeps = new ControlPlaneSweeps(options, children, results);
        for (int size : new int[] {100, 1000, 6600}) {
            runIfTimeIsLeft(size + " backends", () -> sweeps.backends(new int[] {size}, 40, 0));
        }
        for (int size : new int[] {40, 160, 640}) {
            runIfTimeIsLeft(size + " proxies", () -> sweeps.proxies(new int[] {size}, 100, 0));
        }
        List<MemberFleet> memberFleets = new ArrayList<>();
        runIfTimeIsLeft("the view at 40, 160 and 640", () -> {
            for (int size : new int[] {40, 160, 640}) {
                memberFleets.add(MemberFleet.start(children, results, size, 1000));
            }
        });
        runIfTimeIsLeft("real beside hollow, with traffic", () -> new HollowComparison(options, children, results)
                .run(8, 1000, false));
        for (MemberFleet v : memberFleets) {
            v.addStartTraffic();
        }
        runIfTimeIsLeft(
                "changes", () -> sweeps.changes(new int[] {1, 10, 30, 100, 300}, new Shape(40, 1, 0, 1000, 0, 300)));
        runIfTimeIsLeft("tenants", () -> new TenantSweep(children, results).run(new int[] {440, 4400, 44_000}, 8, 1));
        RoutesFileSweeps routesFiles = new RoutesFileSweeps(options, children, results);
        runIfTimeIsLeft("services", () -> routesFiles.services(new int[] {10, 100, 310}, 21));
        for (MemberFleet v : memberFleets) {
            v.addIdleAndStop(10);
        }
        runIfTimeIsLeft("routes", () -> routesFiles.routes(new int[] {240, 1200, 2400}, 10, 3));
        runIfTimeIsLeft("faults at 40", () -> runFaults(new Shape(40, 10, 0, 100, 0, 100), 6));
        runIfTimeIsLeft("faults at 160, 8 real", () -> runFaults(new Shape(160, 10, 8, 100, 0, 150), 6));
        runIfTimeIsLeft("faults at 640", () -> runFaults(new Shape(640, 10, 0, 100, 0, 300), 6));
        runIfTimeIsLeft("320 proxies and 6,600 backends", () -> sweeps.proxies(new int[] {40, 320}, 6600, 0));
        runIfTimeIsLeft("traffic at 100 and 6,600 backends, 24 real", () -> {
            sweeps.traffic(100, 24);
            sweeps.traffic(6600, 24);
        });
    }

    private void runIfTimeIsLeft(String trialName, BackgroundTask.ThrowingRunnable trial)
            throws ScaleException, IOException {
        if ((System.nanoTime() - startedNs) / 1e9 > LAST_START_S) {
            System.out.println("not run, time limit reached: " + trialName);
            notRun.add(trialName);
        } else {
            trial.run();
        }
        results.setProperty("not_run", notRun);
        results.write(Path.of(options.out())); // keeps the results so far if a later trial fails
    }

    private void runFaults(Shape shape, double seconds) throws ScaleException, IOException {
        new FaultTrials(options, children, results).run(shape, seconds);
    }
}
