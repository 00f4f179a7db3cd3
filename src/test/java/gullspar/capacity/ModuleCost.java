package gullspar.capacity;

import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.ListedServer;
import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Settings;
import gullspar.decide.Balancer.State;
import gullspar.decide.Balancer.Status;
import gullspar.decide.Policy;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Measures the decision module alone: a request from its coming to its answer by the number of ready servers,
 * its state, and many instances in one process. Run by {@code bench/scale/module.sh}; not a test.
 */
public final class ModuleCost {
    private static final int[] SERVERS = {21, 100, 600, 2000, 6600}, INSTANCES = {10, 100, 310};
    private static final int PROXIES = 640, MEAN_SERVICE = 21;
    /** A request each so often at one proxy of 640, of 150,000 a second; how long an answer takes. */
    private static final long GAP_NS = 4_270_000, PULSE_NS = 50_000_000, ANSWER_NS = 10_000_000;

    private static final long PULSE_TOKEN = (1L << 32) + 1;

    private final ResultsWriter results = new ResultsWriter("bench/scale/module.sh", List.of(7));

    private ModuleCost() {}

    public static void main(String[] args) throws IOException {
        ModuleCost m = new ModuleCost();
        for (int n : SERVERS) {
            m.servers(n, 1);
            m.servers(n, Inputs.ZONES.size());
        }
        for (int n : INSTANCES) {
            m.instances(n);
        }
        m.results.write(Path.of(args[0]));
    }

    /** One instance with its servers, in a time of its own. */
    private static final class One {
        private final NoActions actions = new NoActions();
        private final Policy module;
        private long now = 1_000_000_000_000L;
        private long pulse = now;
        private int ticket;

        One(int servers, int zones) {
            Settings s = Inputs.config(Inputs.settings(PROXIES, 0, "{}")).settings();
            module = new Policy(s, 7, now, actions);
            List<ListedServer> list = new ArrayList<>();
            for (int i = 0; i < servers; i++) {
                list.add(new ListedServer(i * 0x9e3779b1, i % 3, State.READY, 0, i / 5, i % zones, 1));
            }
            module.onServerList(now, ListKind.FULL, 1, list);
        }

        /** A request, and its answer with a load report. */
        Object request() {
            now += GAP_NS;
            pulse();
            module.onRequest(now, new Request(++ticket, 0, 0, 0, 600_000_000L, 0, false));
            int sends = actions.sends;
            now += 1000;
            module.onOutcome(
                    now,
                    new Outcome(
                            ticket,
                            0,
                            actions.server,
                            Status.OK,
                            ANSWER_NS,
                            true,
                            new Report(1 + ticket % 3, Double.NaN, 0.3 + ticket % 7 * 0.05, Double.NaN, 200, 0)));
            return sends;
        }

        void pulse() {
            while (now - pulse >= PULSE_NS) {
                pulse += PULSE_NS;
                module.onTimer(now, PULSE_TOKEN);
            }
        }

        Object idle() {
            now += PULSE_NS;
            module.onTimer(now, PULSE_TOKEN);
            return this;
        }
    }

    private void servers(int n, int zones) {
        One one = new One(n, zones);
        Cost.Of cost = Cost.step(one::request);
        if (one.actions.sends < one.ticket) {
            throw new IllegalStateException("of " + one.ticket + " requests " + one.actions.sends + " sent");
        }
        String in = zones == 1 ? "one zone" : zones + " zones";
        String id = zones == 1 ? "module.request" : "module.request.zones";
        for (double ns : cost.cpuNs()) {
            results.point(
                    id + ".cpu",
                    "processor time of the module for one request and its answer, " + in,
                    "ns",
                    "servers",
                    Map.of("proxies", PROXIES, "zones", zones),
                    6600,
                    n,
                    ns);
        }
        results.point(
                id + ".allocated",
                "bytes that the module allocates for one request, " + in,
                "B",
                "servers",
                Map.of("proxies", PROXIES, "zones", zones),
                0,
                n,
                cost.allocated());
        if (zones == 1) {
            results.point(
                    "module.heap",
                    "heap of one instance of the module",
                    "B",
                    "servers",
                    Map.of("proxies", PROXIES),
                    6600,
                    n,
                    Cost.kept(() -> new One(n, 1)));
        }
    }

    private void instances(int n) {
        results.point(
                "module.instances.heap",
                "heap of so many instances of the module, 21 servers each",
                "B",
                "services",
                Map.of("servers", MEAN_SERVICE),
                310,
                n,
                Cost.kept(() -> make(n)));
        List<One> all = make(n);
        all.forEach(One::request);
        for (double ns : Cost.step(() -> {
                    all.forEach(One::idle);
                    return all;
                })
                .cpuNs()) {
            results.point(
                    "module.instances.cpu",
                    "processor time of so many instances' pulses, of one " + "second",
                    "ns",
                    "services",
                    Map.of("servers", MEAN_SERVICE),
                    310,
                    n,
                    ns * 20);
        }
        int[] next = {0};
        for (double ns : Cost.step(() -> all.get(next[0]++ % n).request()).cpuNs()) {
            results.point(
                    "module.instances.request.cpu",
                    "processor time of a request that goes to one of so " + "many instances in turn",
                    "ns",
                    "services",
                    Map.of("servers", MEAN_SERVICE),
                    310,
                    n,
                    ns);
        }
    }

    private static List<One> make(int n) {
        List<One> all = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            all.add(new One(MEAN_SERVICE, 1));
        }
        return all;
    }
}
