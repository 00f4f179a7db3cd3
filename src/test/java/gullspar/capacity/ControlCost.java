package gullspar.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import gullspar.config.Site;
import gullspar.config.SiteReader;
import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.ListedServer;
import gullspar.decide.Policy;
import gullspar.proxy.backend.Backends;
import gullspar.proxy.client.TenantLookup;
import gullspar.proxy.config.Config;
import gullspar.proxy.config.Json;
import gullspar.proxy.discovery.Discovery;
import gullspar.proxy.discovery.ListUpdate;
import gullspar.proxy.discovery.ListedBackend;
import gullspar.proxy.http.MemoryBudget;
import gullspar.proxy.io.Clock;
import gullspar.proxy.io.DescriptorLimits;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.Transport;
import gullspar.route.Request;
import gullspar.route.Router;
import gullspar.toml.ProblemsException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Measures the bytes, processor time and heap that lists, list changes, settings and operators' files cost a
 * proxy. Run by {@code bench/scale/control.sh}; not a test.
 */
public final class ControlCost {
    private static final int[] BACKENDS = {100, 1000, 3000, 6600},
            TENANTS = {430, 4400, 44_000},
            ROUTES = {60, 240, 800, 2400};
    private static final int PROXIES = 640;

    private final ResultsWriter results;
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final Platform platform = new Platform(loop, Clock.system(), Transport.tcp(loop), line -> {});

    private ControlCost(ResultsWriter results) {
        this.results = results;
    }

    public static void main(String[] args) throws IOException {
        ResultsWriter results = new ResultsWriter("bench/scale/control.sh " + args[1], List.of(1));
        ControlCost measurement = new ControlCost(results);
        switch (args[1]) {
            case "lists" -> measurement.measureLists();
            case "tenants" -> measurement.measureTenants();
            case "routes" -> measurement.measureRoutes();
            default -> throw new IllegalArgumentException(args[1]);
        }
        results.write(Path.of(args[0]));
        System.exit(0);
    }

    // ---- lists ----

    /** What a proxy keeps for its list: names and ids, the module's servers, and the connections to backends. */
    private final class ListState {
        private final Config config;
        private Discovery discovery;
        private final Policy module;
        private final Backends backends;
        private long now = 1_800_000_000_000_000_000L;

        ListState(byte[] list) {
            config = GeneratedInputs.parseConfig(
                    GeneratedInputs.settings(PROXIES, 0, new String(list, StandardCharsets.UTF_8)));
            discovery = new Discovery(platform, Discovery.source(config), null);
            module = new Policy(config.settings(), 7, now, new SendRecorder());
            backends = new Backends(platform, new DescriptorLimits(1024).backends, MemoryBudget.unlimited(), config);
        }

        /** Passes an update to the module and to the connections, as the proxy does. */
        ListState apply(ListUpdate update, ListKind kind) {
            now += 1_000_000;
            List<ListedServer> members =
                    update.list().stream().map(ListedBackend::server).toList();
            module.onServerList(now, kind, 1, members);
            backends.update(new ListUpdate(kind, 1, update.list()));
            return this;
        }
    }

    private void measureLists() {
        for (int n : BACKENDS) {
            measureList(n);
        }
        for (int changes : new int[] {1, 10, 100, 825, 6600}) {
            results.addPoint(
                    "list.change.bytes",
                    "bytes of one line with so many changed backends",
                    "B",
                    "changes",
                    Map.of(),
                    6600,
                    changes,
                    GeneratedInputs.list(changes, false, 42, changes).length);
        }
        results.addPoint(
                "limit.backend.descriptors",
                "descriptors for backends, of 1,024",
                "",
                "descriptors",
                Map.of(),
                0,
                1024,
                new DescriptorLimits(1024).backends.limit());
    }

    private void measureList(int n) {
        byte[] full = GeneratedInputs.list(n, true, 41, 1);
        byte[] change = GeneratedInputs.list(1, false, 42, 2);
        addPoint("list.whole.bytes", "bytes of a whole list", "B", "backends", n, full.length);
        ListState state = new ListState(full);
        ListUpdate fullUpdate = state.discovery.knownList();
        state.apply(fullUpdate, ListKind.FULL);
        measureCpu("list.whole.read.cpu", "processor time to read a whole list", n, () -> readList(state, full));
        measureCpu(
                "list.whole.apply.cpu",
                "processor time of the module and the connections' side for a whole list",
                n,
                () -> state.apply(fullUpdate, ListKind.FULL));
        Json json = new Json();
        measureCpu("list.change.read.cpu", "processor time to read one change", n, () -> parseLine(json, change));
        ListUpdate oneChange =
                new ListUpdate(ListKind.DELTA, 42, fullUpdate.list().subList(0, 1));
        measureCpu(
                "list.change.apply.cpu",
                "processor time of the module and the connections' side for one change",
                n,
                () -> state.apply(oneChange, ListKind.DELTA));
        addPoint(
                "list.whole.allocated",
                "bytes allocated to read and apply a whole list",
                "B",
                "backends",
                n,
                CostMeter.measure(() -> {
                            ListUpdate update = readList(state, full);
                            return state.apply(update, ListKind.FULL);
                        })
                        .allocatedBytes());
        long retained = CostMeter.retainedHeap(() -> {
                    ListState newState = new ListState(GeneratedInputs.list(0, true, 1, 1));
                    newState.discovery = discovery(newState.config, parseLine(new Json(), full));
                    ListUpdate update = newState.discovery.knownList();
                    return newState.apply(update, ListKind.FULL);
                })
                - CostMeter.retainedHeap(() -> new ListState(GeneratedInputs.list(0, true, 1, 1)));
        addPoint(
                "list.heap",
                "heap kept of the list of the start: its tree and names, the module's "
                        + "servers, the connections' side",
                "B",
                "backends",
                n,
                retained);
    }

    private ListUpdate readList(ListState state, byte[] full) {
        return discovery(state.config, parseLine(new Json(), full)).knownList();
    }

    private Discovery discovery(Config config, JsonNode list) {
        return new Discovery(
                platform, new Discovery.Source(config.discovery(), false, list, config.kinds(), config.zones()), null);
    }

    private static JsonNode parseLine(Json json, byte[] bytes) {
        try {
            json.add(bytes);
            JsonNode value = json.next();
            json.next(); // consumes the end of the line
            return value;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- tenants ----

    private void measureTenants() {
        for (int n : TENANTS) {
            byte[] file = GeneratedInputs.settings(PROXIES, n, "{}");
            addPoint(
                    "tenants.file.bytes",
                    "bytes of a configuration with so many tenants",
                    "B",
                    "tenants",
                    n,
                    file.length);
            measureCpu(
                    "tenants.read.cpu",
                    "processor time to read a configuration",
                    "tenants",
                    n,
                    () -> GeneratedInputs.parseConfig(file));
            addPoint(
                    "tenants.heap",
                    "heap kept of a configuration",
                    "B",
                    "tenants",
                    n,
                    CostMeter.retainedHeap(
                            () -> GeneratedInputs.parseConfig(GeneratedInputs.settings(PROXIES, n, "{}"))));
            TenantLookup lookup = new TenantLookup(GeneratedInputs.parseConfig(file));
            SplittableRandom random = new SplittableRandom(1);
            measureCpu(
                    "tenants.lookup.cpu",
                    "processor time to find what a request asks, its tenant among them",
                    "tenants",
                    n,
                    () -> lookup.indexOf(GeneratedInputs.tenantName(random.nextInt(n))));
        }
    }

    // ---- routes ----

    private void measureRoutes() {
        for (int n : ROUTES) {
            String file = GeneratedInputs.routesFile(n, 0, "127.0.0.1:8080", "x");
            addPoint(
                    "routes.file.bytes",
                    "bytes of an operators' file, servers from discovery",
                    "B",
                    "routes",
                    n,
                    file.length());
            addPoint(
                    "routes.file.servers.bytes",
                    "bytes of an operators' file with 21 servers a pool",
                    "B",
                    "routes",
                    n,
                    GeneratedInputs.routesFile(n, 21, "127.0.0.1:8080", "x").length());
            measureCpu(
                    "routes.read.cpu", "processor time to read an operators' file", "routes", n, () -> parseSite(file));
            addPoint(
                    "routes.read.allocated",
                    "bytes allocated to read an operators' file",
                    "B",
                    "routes",
                    n,
                    CostMeter.measure(() -> parseSite(file)).allocatedBytes());
            addPoint(
                    "routes.heap",
                    "heap kept of an operators' file",
                    "B",
                    "routes",
                    n,
                    CostMeter.retainedHeap(() -> parseSite(GeneratedInputs.routesFile(n, 0, "127.0.0.1:8080", "x"))));
            Router router = parseSite(file).router(8080);
            SplittableRandom random = new SplittableRandom(1);
            measureCpu("routes.lookup.cpu", "processor time to find a request's route", "routes", n, () -> {
                int route = random.nextInt(n);
                return router.find(new Request(
                        "GET", "shop" + route / 10 + ".example.org", "/r" + route + "/item", null, name -> List.of()));
            });
        }
    }

    private static Site parseSite(String file) {
        try {
            return SiteReader.parse(file, "routes");
        } catch (ProblemsException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- points ----

    private void measureCpu(String id, String description, int size, Supplier<Object> step) {
        measureCpu(id, description, "backends", size, step);
    }

    private void measureCpu(String id, String description, String axis, int size, Supplier<Object> step) {
        for (double ns : CostMeter.measure(step).cpuNs()) {
            addPoint(id, description, "ns", axis, size, ns);
        }
    }

    private void addPoint(String id, String description, String unit, String axis, int size, double value) {
        int heldOut =
                switch (axis) {
                    case "backends" -> BACKENDS[BACKENDS.length - 1];
                    case "tenants" -> TENANTS[TENANTS.length - 1];
                    default -> ROUTES[ROUTES.length - 1];
                };
        results.addPoint(
                id,
                description,
                unit,
                axis,
                axis.equals("backends") ? Map.of("proxies", PROXIES) : Map.of(),
                heldOut,
                size,
                value);
    }
}
