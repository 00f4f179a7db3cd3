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
 * Measures the decision module alone: the cost of a request and its response by the number of ready servers,
 * the heap of an instance, and many instances in one process. Run by {@code bench/scale/module.sh}; not a test.
 */
public final class ModuleCost {
    private static final int[] SERVERS = {21, 100, 600, 2000, 6600}, INSTANCES = {10, 100, 310};
    private static final int PROXIES = 640, SERVERS_PER_SERVICE = 21;
    /** The request interval is that of one of 640 proxies that share 150,000 requests per second. */
    private static final long REQUEST_INTERVAL_NS = 4_270_000, HEARTBEAT_NS = 50_000_000, RESPONSE_TIME_NS = 10_000_000;

    private static final long HEARTBEAT_TIMER = (1L << 32) + 1;

    private final ResultsWriter results = new ResultsWriter("bench/scale/module.sh", List.of(7));

    private ModuleCost() {}

    public static void main(String[] args) throws IOException {
        ModuleCost measurement = new ModuleCost();
        for (int n : SERVERS) {
            measurement.measureServers(n, 1);
            measurement.measureServers(n, GeneratedInputs.ZONES.size());
        }
        for (int n : INSTANCES) {
            measurement.measureInstances(n);
        }
        measurement.results.write(Path.of(args[0]));
    }

    /** An instance of the module with its servers and its own virtual time. */
    private static final class Instance {
        private final SendRecorder actions = new SendRecorder();
        private final Policy module;
        private long now = 1_000_000_000_000L;
        private long heartbeat = now;
        private int lastTicket;

        Instance(int servers, int zones) {
            Settings settings = GeneratedInputs.parseConfig(GeneratedInputs.settings(PROXIES, 0, "{}"))
                    .settings();
            module = new Policy(settings, 7, now, actions);
            List<ListedServer> list = new ArrayList<>();
            for (int i = 0; i < servers; i++) {
                list.add(new ListedServer(i * 0x9e3779b1, i % 3, State.READY, 0, i / 5, i % zones, 1));
            }
            module.onServerList(now, ListKind.FULL, 1, list);
        }

        /** Handles a request and its response with a load report. */
        Object request() {
            now += REQUEST_INTERVAL_NS;
            heartbeat();
            module.onRequest(now, new Request(++lastTicket, 0, 0, 0, 600_000_000L, 0, false));
            int sends = actions.sends;
            now += 1000;
            module.onOutcome(
                    now,
                    new Outcome(
                            lastTicket,
                            0,
                            actions.lastServer,
                            Status.OK,
                            RESPONSE_TIME_NS,
                            true,
                            new Report(
                                    1 + lastTicket % 3, Double.NaN, 0.3 + lastTicket % 7 * 0.05, Double.NaN, 200, 0)));
            return sends;
        }

        void heartbeat() {
            while (now - heartbeat >= HEARTBEAT_NS) {
                heartbeat += HEARTBEAT_NS;
                module.onTimer(now, HEARTBEAT_TIMER);
            }
        }

        Object idleHeartbeat() {
            now += HEARTBEAT_NS;
            module.onTimer(now, HEARTBEAT_TIMER);
            return this;
        }
    }

    private void measureServers(int n, int zones) {
        Instance instance = new Instance(n, zones);
        CostMeter.Measurement cost = CostMeter.measure(instance::request);
        if (instance.actions.sends < instance.lastTicket) {
            throw new IllegalStateException(
                    "of " + instance.lastTicket + " requests, only " + instance.actions.sends + " were sent");
        }
        String zoneText = zones == 1 ? "one zone" : zones + " zones";
        String id = zones == 1 ? "module.request" : "module.request.zones";
        for (double ns : cost.cpuNs()) {
            results.addPoint(
                    id + ".cpu",
                    "processor time of the module for one request and its answer, " + zoneText,
                    "ns",
                    "servers",
                    Map.of("proxies", PROXIES, "zones", zones),
                    6600,
                    n,
                    ns);
        }
        results.addPoint(
                id + ".allocated",
                "bytes that the module allocates for one request, " + zoneText,
                "B",
                "servers",
                Map.of("proxies", PROXIES, "zones", zones),
                0,
                n,
                cost.allocatedBytes());
        if (zones == 1) {
            results.addPoint(
                    "module.heap",
                    "heap of one instance of the module",
                    "B",
                    "servers",
                    Map.of("proxies", PROXIES),
                    6600,
                    n,
                    CostMeter.retainedHeap(() -> new Instance(n, 1)));
        }
    }

    private void measureInstances(int n) {
        results.addPoint(
                "module.instances.heap",
                "heap of so many instances of the module, 21 servers each",
                "B",
                "services",
                Map.of("servers", SERVERS_PER_SERVICE),
                310,
                n,
                CostMeter.retainedHeap(() -> createInstances(n)));
        List<Instance> all = createInstances(n);
        all.forEach(Instance::request);
        for (double ns : CostMeter.measure(() -> {
                    all.forEach(Instance::idleHeartbeat);
                    return all;
                })
                .cpuNs()) {
            results.addPoint(
                    "module.instances.cpu",
                    "processor time of so many instances' pulses, of one second",
                    "ns",
                    "services",
                    Map.of("servers", SERVERS_PER_SERVICE),
                    310,
                    n,
                    ns * 20);
        }
        int[] next = {0};
        for (double ns :
                CostMeter.measure(() -> all.get(next[0]++ % n).request()).cpuNs()) {
            results.addPoint(
                    "module.instances.request.cpu",
                    "processor time of a request that goes to one of so many instances in turn",
                    "ns",
                    "services",
                    Map.of("servers", SERVERS_PER_SERVICE),
                    310,
                    n,
                    ns);
        }
    }

    private static List<Instance> createInstances(int n) {
        List<Instance> all = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            all.add(new Instance(SERVERS_PER_SERVICE, 1));
        }
        return all;
    }
}
