import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import kit.Agent;
import kit.Backend;
import kit.Client;
import kit.Http;
import kit.Kit;

/** A proxy starts in a fleet of 3,200 backends, with a configuration whose keys are in alphabetical order. */
final class ReadyWithLongList {
    private static final int LISTED = Kit.TROUBLE ? 3200 : 14;
    private static final int READY_WITHIN_S = 30;

    public static void main(String[] args) {
        Kit.main(Path.of(args[0]), ReadyWithLongList::run);
    }

    private static boolean run(Kit kit) throws Exception {
        Backend backend = new Backend((c, r) -> {
            c.answer(r.header("Request-Id"));
            return true;
        });
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < LISTED; i++) {
            // one real backend in service, the others drain: none of them is sent anything
            entries.add(Agent.entry(
                    String.format("s-%08x", i * 0x9E3779B9),
                    backend.address(),
                    "chuy",
                    i / 4,
                    i == 0 ? "in_service" : "terminating",
                    0));
        }
        Agent agent = new Agent();
        agent.putAll(entries);
        String profiles = Kit.profile("stock-check", "idempotent", "all", 5000, 250, 600, 5);
        kit.setSortedKeys(true);
        kit.log("the configuration lists " + LISTED + " backends");
        Kit.Proxy proxy = kit.startUnready(
                "n1",
                Kit.freePort(),
                agent.address(),
                agent.list(),
                Kit.settings(profiles, 3, "\"chuy\",\"rivera\",\"melo\"", 1200, 500));
        long startNs = System.nanoTime();
        boolean ready = false;
        while (!ready && System.nanoTime() - startNs < READY_WITHIN_S * 1_000_000_000L) {
            if (!proxy.process().isAlive()) {
                kit.logOf(proxy);
                throw new IllegalStateException("the proxy has ended");
            }
            ready = Kit.isReady(proxy.port());
            Thread.sleep(50);
        }
        double tookS = (System.nanoTime() - startNs) / 1e9;
        kit.log((ready ? "ready after " : "NOT READY after ") + tookS + " s, processor time "
                + proxy.process().info().totalCpuDuration().orElse(null) + ", command "
                + proxy.process().info().command().orElse("?"));
        kit.logOf(proxy);
        if (ready) {
            try (Client c = new Client(proxy.port())) {
                c.write(Client.request("/stock-check", "id-1", null, 0.6, null, ""));
                Http.Message m = c.read(2000);
                kit.log("a request is answered " + m.status());
            }
        }
        return ready;
    }
}
