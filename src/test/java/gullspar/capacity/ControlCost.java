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
 * Measures what lists, changes of lists, settings and operators' files cost one proxy: bytes, processor time,
 * heap. Run by {@code bench/scale/control.sh}; not a test.
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
        ControlCost c = new ControlCost(results);
        switch (args[1]) {
            case "lists" -> c.lists();
            case "tenants" -> c.tenants();
            case "routes" -> c.routes();
            default -> throw new IllegalArgumentException(args[1]);
        }
        results.write(Path.of(args[0]));
        System.exit(0);
    }

    // ---- lists ----

    /** What a proxy keeps of its list: names and numbers, the module's servers, the backends' side. */
    private final class Known {
        private final Config config;
        private Discovery discovery;
        private final Policy module;
        private final Backends backends;
        private long now = 1_800_000_000_000_000_000L;

        Known(byte[] list) {
            config = Inputs.config(Inputs.settings(PROXIES, 0, new String(list, StandardCharsets.UTF_8)));
            discovery = new Discovery(platform, Discovery.source(config), null);
            module = new Policy(config.settings(), 7, now, new NoActions());
            backends = new Backends(platform, new DescriptorLimits(1024).backends, config);
        }

        /** As a list that comes: to the module and to the connections' side. */
        Known take(ListUpdate news, ListKind kind) {
            now += 1_000_000;
            List<ListedServer> members =
                    news.list().stream().map(ListedBackend::member).toList();
            module.onServerList(now, kind, 1, members);
            backends.update(new ListUpdate(kind, 1, news.list()));
            return this;
        }
    }

    private void lists() {
        for (int n : BACKENDS) {
            list(n);
        }
        for (int changes : new int[] {1, 10, 100, 825, 6600}) {
            results.point(
                    "list.change.bytes",
                    "bytes of one line with so many changed backends",
                    "B",
                    "changes",
                    Map.of(),
                    6600,
                    changes,
                    Inputs.list(changes, false, 42, changes).length);
        }
        results.point(
                "limit.backend.descriptors",
                "descriptors for backends, of 1,024",
                "",
                "descriptors",
                Map.of(),
                0,
                1024,
                new DescriptorLimits(1024).backends.limit());
    }

    private void list(int n) {
        byte[] whole = Inputs.list(n, true, 41, 1);
        byte[] change = Inputs.list(1, false, 42, 2);
        point("list.whole.bytes", "bytes of a whole list", "B", "backends", n, whole.length);
        Known known = new Known(whole);
        ListUpdate all = known.discovery.knownList();
        known.take(all, ListKind.FULL);
        cpu("list.whole.read.cpu", "processor time to read a whole list", n, () -> read(known, whole));
        cpu(
                "list.whole.apply.cpu",
                "processor time of the module and the connections' side for a whole list",
                n,
                () -> known.take(all, ListKind.FULL));
        Json json = new Json();
        cpu("list.change.read.cpu", "processor time to read one change", n, () -> parse(json, change));
        ListUpdate one = new ListUpdate(ListKind.DELTA, 42, all.list().subList(0, 1));
        cpu(
                "list.change.apply.cpu",
                "processor time of the module and the connections' side for one change",
                n,
                () -> known.take(one, ListKind.DELTA));
        point(
                "list.whole.allocated",
                "bytes allocated to read and apply a whole list",
                "B",
                "backends",
                n,
                Cost.step(() -> {
                            ListUpdate news = read(known, whole);
                            return known.take(news, ListKind.FULL);
                        })
                        .allocated());
        long kept = Cost.kept(() -> {
                    Known k = new Known(Inputs.list(0, true, 1, 1));
                    k.discovery = discovery(k.config, parse(new Json(), whole));
                    ListUpdate news = k.discovery.knownList();
                    return k.take(news, ListKind.FULL);
                })
                - Cost.kept(() -> new Known(Inputs.list(0, true, 1, 1)));
        point(
                "list.heap",
                "heap kept of the list of the start: its tree and names, the module's "
                        + "servers, the connections' side",
                "B",
                "backends",
                n,
                kept);
    }

    private ListUpdate read(Known known, byte[] whole) {
        return discovery(known.config, parse(new Json(), whole)).knownList();
    }

    private Discovery discovery(Config config, JsonNode list) {
        return new Discovery(
                platform, new Discovery.Source(config.discovery(), false, list, config.kinds(), config.zones()), null);
    }

    private static JsonNode parse(Json json, byte[] bytes) {
        try {
            json.add(bytes);
            JsonNode value = json.next();
            json.next(); // the end of the line
            return value;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- tenants ----

    private void tenants() {
        for (int n : TENANTS) {
            byte[] file = Inputs.settings(PROXIES, n, "{}");
            point(
                    "tenants.file.bytes",
                    "bytes of a configuration with so many tenants",
                    "B",
                    "tenants",
                    n,
                    file.length);
            cpu("tenants.read.cpu", "processor time to read a configuration", "tenants", n, () -> Inputs.config(file));
            point(
                    "tenants.heap",
                    "heap kept of a configuration",
                    "B",
                    "tenants",
                    n,
                    Cost.kept(() -> Inputs.config(Inputs.settings(PROXIES, n, "{}"))));
            TenantLookup lookup = new TenantLookup(Inputs.config(file));
            SplittableRandom random = new SplittableRandom(1);
            cpu(
                    "tenants.lookup.cpu",
                    "processor time to find what a request asks, its tenant among them",
                    "tenants",
                    n,
                    () -> lookup.place(Inputs.tenant(random.nextInt(n))));
        }
    }

    // ---- routes ----

    private void routes() {
        for (int n : ROUTES) {
            String file = Inputs.routes(n, 0, "127.0.0.1:8080", "x");
            point(
                    "routes.file.bytes",
                    "bytes of an operators' file, servers from discovery",
                    "B",
                    "routes",
                    n,
                    file.length());
            point(
                    "routes.file.servers.bytes",
                    "bytes of an operators' file with 21 servers a pool",
                    "B",
                    "routes",
                    n,
                    Inputs.routes(n, 21, "127.0.0.1:8080", "x").length());
            cpu("routes.read.cpu", "processor time to read an operators' file", "routes", n, () -> site(file));
            point(
                    "routes.read.allocated",
                    "bytes allocated to read an operators' file",
                    "B",
                    "routes",
                    n,
                    Cost.step(() -> site(file)).allocated());
            point(
                    "routes.heap",
                    "heap kept of an operators' file",
                    "B",
                    "routes",
                    n,
                    Cost.kept(() -> site(Inputs.routes(n, 0, "127.0.0.1:8080", "x"))));
            Router router = site(file).router(8080);
            SplittableRandom random = new SplittableRandom(1);
            cpu("routes.lookup.cpu", "processor time to find a request's route", "routes", n, () -> {
                int r = random.nextInt(n);
                return router.find(new Request(
                        "GET", "shop" + r / 10 + ".example.org", "/r" + r + "/item", null, name -> List.of()));
            });
        }
    }

    private static Site site(String file) {
        try {
            return SiteReader.parse(file, "routes");
        } catch (ProblemsException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- points ----

    private void cpu(String id, String what, int n, Supplier<Object> step) {
        cpu(id, what, "backends", n, step);
    }

    private void cpu(String id, String what, String axis, int n, Supplier<Object> step) {
        for (double ns : Cost.step(step).cpuNs()) {
            point(id, what, "ns", axis, n, ns);
        }
    }

    private void point(String id, String what, String unit, String axis, int n, double value) {
        int heldOut =
                switch (axis) {
                    case "backends" -> BACKENDS[BACKENDS.length - 1];
                    case "tenants" -> TENANTS[TENANTS.length - 1];
                    default -> ROUTES[ROUTES.length - 1];
                };
        results.point(
                id,
                what,
                unit,
                axis,
                axis.equals("backends") ? Map.of("proxies", PROXIES) : Map.of(),
                heldOut,
                n,
                value);
    }
}
