package gullspar.importer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.nginx.Problem;
import gullspar.proxy.Peer.Wire;
import gullspar.site.ProxyFixture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.api.parallel.ResourceLock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Compares a proxy that runs an imported configuration with the reference model of nginx, for each request. */
@Execution(ExecutionMode.CONCURRENT)
@ResourceLock("much of the machine")
class ReplayTest {
    private static final Path CASES = Path.of("src/test/resources/nginx");
    private static final int REQUEST_COUNT = 10_000, CLIENT_COUNT = 4;

    static Stream<Path> cases() throws IOException {
        try (Stream<Path> all = Files.list(CASES)) {
            return all.sorted().toList().stream();
        }
    }

    /** A proxy with the imported configuration, in which listeners and servers have local test addresses. */
    private static final class ImportedProxy implements AutoCloseable {
        final StubServers stubServers = new StubServers();
        final NginxModel model;
        final Map<Integer, InetSocketAddress> listeners = new HashMap<>();
        final ProxyFixture fixture;

        ImportedProxy(Path conf) throws Exception {
            model = new NginxModel(conf);
            List<Problem> problems = new ArrayList<>();
            Importer.Result result = Importer.read(List.of(conf), Map.of(), problems);
            assertEquals(List.of(), problems);
            assertEquals(
                    List.of(),
                    result.report().entries(result.directives()).stream()
                            .filter(e -> e.verdict() == Report.Verdict.NOT_TRANSLATABLE)
                            .toList());
            String toml = result.toml();
            int n = 0;
            for (int port : model.ports()) {
                listeners.put(port, new InetSocketAddress("127.0.0." + ++n, 0));
                toml = toml.replace("\"0.0.0.0:" + port + "\"", "\"127.0.0." + n + ":0\"");
            }
            for (String address : toml.lines()
                    .filter(l -> l.matches("address = \"1[0-9.]+:[1-9]\\d*\""))
                    .map(l -> l.split("\"")[1])
                    .distinct()
                    .toList()) {
                toml = toml.replace(
                        "address = \"" + address + "\"", "address = \"" + stubServers.addressOf(address) + "\"");
            }
            fixture = new ProxyFixture(toml);
        }

        Wire connect(int port) throws IOException {
            return Wire.to(fixture.proxy().address(listeners.get(port)));
        }

        @Override
        public void close() {
            fixture.close();
            stubServers.close();
        }
    }

    private static List<String> lines(Path file) throws IOException {
        return Files.exists(file) ? Files.readAllLines(file) : List.of();
    }

    /**
     * Returns random requests with the hosts and paths that the configuration names, variations of them, and the
     * paths and headers that the folder of the case adds.
     */
    private static List<NginxModel.Request> requests(Path folder, NginxModel model) throws IOException {
        List<String> hosts = new ArrayList<>(List.of(
                "unknown.test",
                "127.0.0.1",
                "img7.cdn.net",
                "shop.eu",
                "x.tenant.example.org",
                "alpha9",
                "Shop.Example.ORG:80",
                "two.net",
                "www.example.com"));
        List<String> paths = new ArrayList<>(List.of("/", "/a", "/a/b.php?x=1", "/x.JPG", "/a//b/./c/../d"));
        for (NginxModel.ConfigNode s : model.servers()) {
            NginxModel.serverNames(s).stream()
                    .filter(n -> n.matches("[\\w.*-]+"))
                    .forEach(n -> hosts.add(n.startsWith(".") ? "sub" + n : n.replace("*", "any")));
            addPaths(s, paths);
        }
        paths.addAll(lines(folder.resolve("paths")));
        List<String> headerLines = lines(folder.resolve("headers"));
        Random random = new Random(11);
        List<NginxModel.Request> requests = new ArrayList<>();
        for (int i = 0; i < REQUEST_COUNT; i++) {
            Map<String, String> headers = new HashMap<>();
            if (!headerLines.isEmpty() && random.nextInt(10) > 0) {
                String[] h = headerLines.get(random.nextInt(headerLines.size())).split(": ", 2);
                headers.put(h[0].toLowerCase(Locale.ROOT).replace('-', '_'), h[1]);
            }
            requests.add(new NginxModel.Request(
                    random.nextInt(4) == 0 ? "HEAD" : "GET",
                    hosts.get(random.nextInt(hosts.size())),
                    model.ports().get(random.nextInt(model.ports().size())),
                    paths.get(random.nextInt(paths.size())),
                    headers));
        }
        return requests;
    }

    private static void addPaths(NginxModel.ConfigNode block, List<String> paths) {
        for (NginxModel.ConfigNode l : block.children("location")) {
            String text = l.arg(l.args.size() - 1).replace(" ", "%20");
            if (text.startsWith("/")) {
                paths.addAll(List.of(text, text + "x", text + "/deep/a.png?q=1"));
            }
            addPaths(l, paths);
        }
    }

    /** A response: the address of the server that sent it, and the URI and Host that this server received. */
    private record Response(int status, String location, String server, String uri, String host) {}

    private static Response send(Wire w, NginxModel.Request r) throws IOException {
        StringBuilder s = new StringBuilder(r.method() + " " + r.uri() + " HTTP/1.1\r\nHost: " + r.host() + "\r\n");
        r.headers()
                .forEach((n, v) ->
                        s.append(n.replace('_', '-')).append(": ").append(v).append("\r\n"));
        w.write(s.append("\r\n").toString());
        String responseText = r.method().equals("HEAD") ? w.readUntil("\r\n\r\n") : w.read();
        Map<String, String> h = responseText
                .lines()
                .skip(1)
                .filter(l -> l.contains(": "))
                .collect(Collectors.toMap(
                        l -> l.substring(0, l.indexOf(':')).toLowerCase(Locale.ROOT),
                        l -> l.substring(l.indexOf(':') + 2),
                        (a, b) -> a));
        return new Response(
                Integer.parseInt(responseText.substring(9, 12)),
                h.get("location"),
                h.get("x-who"),
                h.get("x-uri"),
                h.get("x-host"));
    }

    /** Sends the requests on concurrent clients and returns the responses in the order of the requests. */
    private static List<Response> replay(ImportedProxy importedProxy, List<NginxModel.Request> requests)
            throws Exception {
        Response[] responses = new Response[requests.size()];
        List<Thread> threads = new ArrayList<>();
        List<Throwable> failures = new ArrayList<>();
        for (int c = 0; c < CLIENT_COUNT; c++) {
            int firstRequest = c;
            Thread t = new Thread(() -> {
                Map<Integer, Wire> connections = new HashMap<>();
                try {
                    for (int i = firstRequest; i < responses.length; i += CLIENT_COUNT) {
                        int port = requests.get(i).port();
                        if (!connections.containsKey(port)) {
                            connections.put(port, importedProxy.connect(port));
                        }
                        responses[i] = send(connections.get(port), requests.get(i));
                    }
                } catch (IOException | RuntimeException e) {
                    synchronized (failures) {
                        failures.add(e);
                    }
                }
            });
            t.start();
            threads.add(t);
        }
        for (Thread t : threads) {
            t.join();
        }
        assertEquals(List.of(), failures);
        return List.of(responses);
    }

    @ParameterizedTest
    @MethodSource("cases")
    void requestsAreRoutedAsByNginx(Path folder) throws Exception {
        try (ImportedProxy importedProxy = new ImportedProxy(folder.resolve("nginx.conf"))) {
            List<NginxModel.Request> requests = requests(folder, importedProxy.model);
            List<Response> responses = replay(importedProxy, requests);
            Map<String, Map<String, Integer>> actualCounts = new TreeMap<>();
            Map<String, Map<String, Integer>> expectedCounts = new TreeMap<>();
            for (int i = 0; i < requests.size(); i++) {
                NginxModel.Request request = requests.get(i);
                NginxModel.Outcome expected = importedProxy.model.evaluate(request);
                Response actual = responses.get(i);
                assertEquals(expected.status(), actual.status(), request + " should be " + expected + ", is " + actual);
                if (expected.upstream() == null) {
                    assertEquals(expected.location(), actual.location(), request.toString());
                    assertEquals(null, actual.server(), request + " should be " + expected);
                    continue;
                }
                assertEquals(expected.uri(), actual.uri(), request + " should be " + expected);
                assertEquals(expected.host(), actual.host(), request + " should be " + expected);
                List<NginxModel.UpstreamServer> servers = importedProxy.model.upstreams.get(expected.upstream());
                if (servers == null) {
                    assertEquals(expected.upstream(), actual.server(), request.toString());
                    continue;
                }
                assertTrue(
                        servers.stream().anyMatch(p -> p.address.equals(actual.server())),
                        request + " went to " + actual.server());
                actualCounts
                        .computeIfAbsent(expected.upstream(), u -> new TreeMap<>())
                        .merge(actual.server(), 1, Integer::sum);
                expectedCounts
                        .computeIfAbsent(expected.upstream(), u -> new TreeMap<>())
                        .merge(
                                importedProxy.model.selectUpstreamServer(expected.upstream(), i / 1e4).address,
                                1,
                                Integer::sum);
            }
            if (!folder.getFileName().toString().contains("least-conn")) {
                expectedCounts.forEach((u, shares) -> assertSharesClose(shares, actualCounts.get(u), u));
            }
        }
    }

    /** Asserts that the shares of the servers differ by at most 2 % of all requests. */
    private static void assertSharesClose(Map<String, Integer> expected, Map<String, Integer> actual, String upstream) {
        double total = expected.values().stream().mapToInt(n -> n).sum();
        Stream.concat(expected.keySet().stream(), actual.keySet().stream())
                .distinct()
                .forEach(server -> assertEquals(
                        expected.getOrDefault(server, 0) / total,
                        actual.getOrDefault(server, 0) / total,
                        0.02,
                        server + " of " + upstream + ": " + expected + " and " + actual));
    }

    /**
     * A server fails and recovers. After each change the test waits for a transition: the decision module detects
     * the failure by failed requests, and selects the server again when its fail timeout has passed.
     */
    @Test
    void sharesMatchNginxWhileServerFailsAndAfterRecovery() throws Exception {
        Path conf = CASES.resolve("28-fail-and-come-back/nginx.conf");
        try (ImportedProxy importedProxy = new ImportedProxy(conf)) {
            List<NginxModel.Request> requests = new ArrayList<>();
            for (int i = 0; i < 900; i++) {
                requests.add(new NginxModel.Request("GET", "a", 80, "/", Map.of()));
            }
            assertSharesClose(
                    modelCounts(importedProxy.model, 900, 0, null),
                    counts(replay(importedProxy, requests)),
                    "all servers are up");
            importedProxy.stubServers.stop("10.0.0.2:8080");
            awaitTransition(importedProxy, "10.0.0.2:8080", false);
            assertSharesClose(
                    modelCounts(importedProxy.model, 900, 100, "10.0.0.2:8080"),
                    counts(replay(importedProxy, requests)),
                    "one server is down");
            importedProxy.stubServers.start("10.0.0.2:8080");
            awaitTransition(importedProxy, "10.0.0.2:8080", true);
            assertSharesClose(
                    modelCounts(importedProxy.model, 900, 200, null),
                    counts(replay(importedProxy, requests)),
                    "the server has recovered");
        }
    }

    /** Sends requests until a server gets none of 100 in a row, or after its recovery until it gets one. */
    private static void awaitTransition(ImportedProxy importedProxy, String server, boolean recovery) throws Exception {
        try (Wire w = importedProxy.connect(80)) {
            int responsesWithout = 0;
            long deadlineNs = System.nanoTime() + 30_000_000_000L;
            while (recovery ? responsesWithout >= 0 : responsesWithout < 100) {
                Response response = send(w, new NginxModel.Request("GET", "a", 80, "/", Map.of()));
                assertEquals(200, response.status());
                responsesWithout = server.equals(response.server()) ? recovery ? -1 : 0 : responsesWithout + 1;
                assertTrue(System.nanoTime() < deadlineNs, "no transition within 30 s");
            }
        }
    }

    private static Map<String, Integer> counts(List<Response> responses) {
        return responses.stream().collect(Collectors.toMap(Response::server, o -> 1, Integer::sum));
    }

    /** Counts the requests to each server in the model, after 50 that are not counted; stoppedServer may be null. */
    private static Map<String, Integer> modelCounts(NginxModel m, int requests, double startS, String stoppedServer) {
        Map<String, Integer> counts = new TreeMap<>();
        for (int i = 0; i < requests + 50; i++) {
            double nowS = startS + i / 1e4;
            NginxModel.UpstreamServer server = m.selectUpstreamServer("app", nowS);
            if (server.address.equals(stoppedServer)) {
                NginxModel.recordFailure(server, nowS);
                server = m.selectUpstreamServer("app", nowS);
            } else {
                NginxModel.recordSuccess(server);
            }
            if (i >= 50) {
                counts.merge(server.address, 1, Integer::sum);
            }
        }
        return counts;
    }
}
