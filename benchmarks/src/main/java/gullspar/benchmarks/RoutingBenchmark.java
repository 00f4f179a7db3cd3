package gullspar.benchmarks;

import gullspar.route.HeaderChanges;
import gullspar.route.HostTable;
import gullspar.route.PathTable;
import gullspar.route.Request;
import gullspar.route.Rewrite;
import gullspar.route.Route;
import gullspar.route.Router;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the time to find the route of a request; half of the routes are exact paths, half prefixes. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 5, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(2)
public class RoutingBenchmark {
    private static final int REQUESTS = 4096;

    /** Total number of routes, at most 100 per host. */
    @Param({"10", "1000", "10000"})
    public int routes;

    private Router router;
    private final Request[] requests = new Request[REQUESTS];
    private int lastRequest;

    /** Builds the router and generates random requests from a fixed seed. */
    @Setup
    public void build() {
        HostTable<Router.Host> hosts = new HostTable<>();
        int perHost = Math.min(100, routes);
        for (int h = 0; h < routes / perHost; h++) {
            PathTable<List<Route>> paths = new PathTable<>();
            for (int i = 0; i < perHost; i++) {
                Route r = new Route("r" + i, Set.of(), List.of(), new Route.PoolTarget("p", Route.RequestClass.BY_METHOD,
                        new Route.Limits(1_000_000_000L, 3, 0, 1 << 20, Set.of(), 0), Rewrite.NONE,
                        HeaderChanges.NONE, HeaderChanges.NONE), null);
                paths.add(i % 2 == 0 ? PathTable.Kind.EXACT : PathTable.Kind.PREFIX, "/shop/part" + i + "/list",
                        List.of(r), null);
            }
            hosts.add("host" + h + ".example.org", new Router.Host("host" + h, List.of(), paths));
        }
        router = new Router(hosts);
        Random random = new Random(5);
        for (int i = 0; i < REQUESTS; i++) {
            int part = random.nextInt(perHost);
            requests[i] = new Request("GET", "host" + random.nextInt(routes / perHost) + ".example.org",
                    "/shop/part" + part + "/list" + (part % 2 == 0 ? "" : "/item/17"), null, n -> List.of());
        }
    }

    /** Finds the routes of requests for random hosts and paths. */
    @Benchmark
    public Router.Result find() {
        lastRequest = lastRequest + 1 & REQUESTS - 1;
        return router.find(requests[lastRequest]);
    }
}
