package gullspar.scale;

import gullspar.scale.Results.About;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.TreeMap;

/** What tenants in a proxy's settings cost it: its configuration, memory, and reading it again. */
final class Tenants {
    private static final int RELOADS = 5, BACKENDS = 100, WITHIN_S = 60;

    private final Children children;
    private final Results results;
    private long size;

    Tenants(Children children, Results results) {
        this.children = children;
        this.results = results;
    }

    void run(int[] sizes, int hollow, int real) throws ScaleException, IOException {
        for (int s : sizes) {
            size = s;
            System.out.println("tenants " + s);
            try (Trial t = new Trial(children, new Shape(hollow, 1, real, BACKENDS, s, 300), 0)) {
                t.processes();
                long heap = t.hollowHeap();
                t.proxies();
                add(
                        "proxy.control.heap",
                        "KB",
                        (t.hollowHeap() - heap) / 1024.0 / hollow,
                        "heap of a proxy's control part after a collection");
                reloads(t, real);
                t.sound();
            }
        }
    }

    private void reloads(Trial t, int real) throws ScaleException, IOException {
        double resident = 0;
        double ms = 0;
        double slowest = 0;
        double bytes = 0;
        for (RealProxy r : t.real) {
            resident += Accounts.residentBytes(r.child().pid()) / 1024.0 / real;
            bytes = Files.size(r.config());
            Map<Long, Accounts.Booked> before =
                    Map.of(r.child().pid(), Accounts.booked(r.child().pid()));
            for (int i = 0; i < RELOADS; i++) {
                Files.copy(r.config(), r.config().resolveSibling("next"), StandardCopyOption.REPLACE_EXISTING);
                Files.move(r.config().resolveSibling("next"), r.config(), StandardCopyOption.ATOMIC_MOVE);
                long at = System.nanoTime();
                r.child().hangUp();
                r.child().await("a new configuration", WITHIN_S);
                slowest = Math.max(slowest, (System.nanoTime() - at) / 1e6);
            }
            ms += Accounts.ms(before) / RELOADS / real;
        }
        add("proxy.config.bytes", "B", bytes, "a proxy's configuration file");
        add("proxy.resident", "KB", resident, "resident memory of a real proxy");
        add("proxy.config.reload.cpu", "ms", ms, "processor time of a real proxy for a SIGHUP");
        add(
                "proxy.config.reload.known",
                "ms",
                slowest,
                "from SIGHUP until the configuration is in force, " + "the " + "slowest");
    }

    private void add(String id, String unit, double value, String what) {
        results.add(
                new About(id + ".tenants", what, unit, "tenants", new TreeMap<>(Map.of("backends", BACKENDS))),
                size,
                value);
    }
}
