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

/** What the daemon does with an imported configuration, request by request, against the reference model. */
@Execution(ExecutionMode.CONCURRENT)
@ResourceLock("much of the machine")
class ReplayTest {
    private static final Path CASES = Path.of("src/test/resources/nginx");
    private static final int REQUESTS = 10_000, CLIENTS = 4;

    static Stream<Path> cases() throws IOException {
        try (Stream<Path> all = Files.list(CASES)) {
            return all.sorted().toList().stream();
        }
    }

    /** A configuration as it is served here: listeners and servers have other addresses. */
    private static final class Setting implements AutoCloseable {
        final StandIns standIns = new StandIns();
        final NginxModel model;
        final Map<Integer, InetSocketAddress> listeners = new HashMap<>();
        final ProxyFixture served;

        Setting(Path conf) throws Exception {
            model = new NginxModel(conf);
            List<Problem> problems = new ArrayList<>();
            Importer.Imported made = Importer.read(List.of(conf), Map.of(), problems);
            assertEquals(List.of(), problems);
            assertEquals(
                    List.of(),
                    made.report().entries(made.directives()).stream()
                            .filter(e -> e.verdict() == Report.Verdict.NOT_TRANSLATABLE)
                            .toList());
            String toml = made.toml();
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
                toml = toml.replace("address = \"" + address + "\"", "address = \"" + standIns.at(address) + "\"");
            }
            served = new ProxyFixture(toml);
        }

        Wire connect(int port) throws IOException {
            return Wire.to(served.proxy().address(listeners.get(port)));
        }

        @Override
        public void close() {
            served.close();
            standIns.close();
        }
    }

    private static List<String> lines(Path file) throws IOException {
        return Files.exists(file) ? Files.readAllLines(file) : List.of();
    }

    /** Requests round all that the configuration names: hosts, paths, and what the case adds to them. */
    private static List<NginxModel.Asked> requests(Path folder, NginxModel model) throws IOException {
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
        for (NginxModel.Node s : model.servers()) {
            NginxModel.names(s).stream()
                    .filter(n -> n.matches("[\\w.*-]+"))
                    .forEach(n -> hosts.add(n.startsWith(".") ? "sub" + n : n.replace("*", "any")));
            paths(s, paths);
        }
        paths.addAll(lines(folder.resolve("paths")));
        List<String> headers = lines(folder.resolve("headers"));
        Random random = new Random(11);
        List<NginxModel.Asked> all = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            Map<String, String> own = new HashMap<>();
            if (!headers.isEmpty() && random.nextInt(10) > 0) {
                String[] h = headers.get(random.nextInt(headers.size())).split(": ", 2);
                own.put(h[0].toLowerCase(Locale.ROOT).replace('-', '_'), h[1]);
            }
            all.add(new NginxModel.Asked(
                    random.nextInt(4) == 0 ? "HEAD" : "GET",
                    hosts.get(random.nextInt(hosts.size())),
                    model.ports().get(random.nextInt(model.ports().size())),
                    paths.get(random.nextInt(paths.size())),
                    own));
        }
        return all;
    }

    private static void paths(NginxModel.Node block, List<String> paths) {
        for (NginxModel.Node l : block.all("location")) {
            String text = l.arg(l.args.size() - 1).replace(" ", "%20");
            if (text.startsWith("/")) {
                paths.addAll(List.of(text, text + "x", text + "/deep/a.png?q=1"));
            }
            paths(l, paths);
        }
    }

    /** What came of a request: who answered, and what the server was asked. */
    private record Seen(int status, String location, String who, String uri, String host) {}

    private static Seen ask(Wire w, NginxModel.Asked r) throws IOException {
        StringBuilder s = new StringBuilder(r.method() + " " + r.uri() + " HTTP/1.1\r\nHost: " + r.host() + "\r\n");
        r.headers()
                .forEach((n, v) ->
                        s.append(n.replace('_', '-')).append(": ").append(v).append("\r\n"));
        w.write(s.append("\r\n").toString());
        String answer = r.method().equals("HEAD") ? w.until("\r\n\r\n") : w.read();
        Map<String, String> h = answer.lines()
                .skip(1)
                .filter(l -> l.contains(": "))
                .collect(Collectors.toMap(
                        l -> l.substring(0, l.indexOf(':')).toLowerCase(Locale.ROOT),
                        l -> l.substring(l.indexOf(':') + 2),
                        (a, b) -> a));
        return new Seen(
                Integer.parseInt(answer.substring(9, 12)),
                h.get("location"),
                h.get("x-who"),
                h.get("x-uri"),
                h.get("x-host"));
    }

    /** All answers, in the order of the requests; several clients ask side by side. */
    private static List<Seen> replay(Setting s, List<NginxModel.Asked> requests) throws Exception {
        Seen[] seen = new Seen[requests.size()];
        List<Thread> threads = new ArrayList<>();
        List<Throwable> wrong = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int me = c;
            Thread t = new Thread(() -> {
                Map<Integer, Wire> wires = new HashMap<>();
                try {
                    for (int i = me; i < seen.length; i += CLIENTS) {
                        int port = requests.get(i).port();
                        if (!wires.containsKey(port)) {
                            wires.put(port, s.connect(port));
                        }
                        seen[i] = ask(wires.get(port), requests.get(i));
                    }
                } catch (IOException | RuntimeException e) {
                    synchronized (wrong) {
                        wrong.add(e);
                    }
                }
            });
            t.start();
            threads.add(t);
        }
        for (Thread t : threads) {
            t.join();
        }
        assertEquals(List.of(), wrong);
        return List.of(seen);
    }

    @ParameterizedTest
    @MethodSource("cases")
    void everyRequestGoesWhereNginxSendsIt(Path folder) throws Exception {
        try (Setting s = new Setting(folder.resolve("nginx.conf"))) {
            List<NginxModel.Asked> requests = requests(folder, s.model);
            List<Seen> seen = replay(s, requests);
            Map<String, Map<String, Integer>> got = new TreeMap<>();
            Map<String, Map<String, Integer>> want = new TreeMap<>();
            for (int i = 0; i < requests.size(); i++) {
                NginxModel.Asked r = requests.get(i);
                NginxModel.Done d = s.model.done(r);
                Seen o = seen.get(i);
                assertEquals(d.status(), o.status(), r + " should be " + d + ", is " + o);
                if (d.upstream() == null) {
                    assertEquals(d.location(), o.location(), r.toString());
                    assertEquals(null, o.who(), r + " should be " + d);
                    continue;
                }
                assertEquals(d.uri(), o.uri(), r + " should be " + d);
                assertEquals(d.host(), o.host(), r + " should be " + d);
                List<NginxModel.Peer> peers = s.model.upstreams.get(d.upstream());
                if (peers == null) {
                    assertEquals(d.upstream(), o.who(), r.toString());
                    continue;
                }
                assertTrue(peers.stream().anyMatch(p -> p.address.equals(o.who())), r + " went to " + o.who());
                got.computeIfAbsent(d.upstream(), u -> new TreeMap<>()).merge(o.who(), 1, Integer::sum);
                want.computeIfAbsent(d.upstream(), u -> new TreeMap<>())
                        .merge(s.model.pick(d.upstream(), i / 1e4).address, 1, Integer::sum);
            }
            if (!folder.getFileName().toString().contains("least-conn")) {
                want.forEach((u, shares) -> near(shares, got.get(u), u));
            }
        }
    }

    /** The same shares, within two in a hundred of all. */
    private static void near(Map<String, Integer> want, Map<String, Integer> got, String upstream) {
        double all = want.values().stream().mapToInt(n -> n).sum();
        Stream.concat(want.keySet().stream(), got.keySet().stream())
                .distinct()
                .forEach(who -> assertEquals(
                        want.getOrDefault(who, 0) / all,
                        got.getOrDefault(who, 0) / all,
                        0.02,
                        who + " of " + upstream + ": " + want + " and " + got));
    }

    /**
     * Servers fail and come back. Around each change there is a transition: the module finds out by failures,
     * and a server that is back is taken up once its time is over.
     */
    @Test
    void sharesAreTheSameWhileServersAreGoneAndOnceTheyAreBack() throws Exception {
        Path conf = CASES.resolve("28-fail-and-come-back/nginx.conf");
        try (Setting s = new Setting(conf)) {
            List<NginxModel.Asked> some = new ArrayList<>();
            for (int i = 0; i < 900; i++) {
                some.add(new NginxModel.Asked("GET", "a", 80, "/", Map.of()));
            }
            near(model(s.model, 900, 0, null), counts(replay(s, some)), "all are there");
            s.standIns.stop("10.0.0.2:8080");
            transition(s, "10.0.0.2:8080", false);
            near(model(s.model, 900, 100, "10.0.0.2:8080"), counts(replay(s, some)), "one is gone");
            s.standIns.start("10.0.0.2:8080");
            transition(s, "10.0.0.2:8080", true);
            near(model(s.model, 900, 200, null), counts(replay(s, some)), "it is back");
        }
    }

    /** Asks on until a server is not asked any more for a while, or is again. */
    private static void transition(Setting s, String who, boolean back) throws Exception {
        try (Wire w = s.connect(80)) {
            int without = 0;
            long until = System.nanoTime() + 30_000_000_000L;
            while (back ? without >= 0 : without < 100) {
                Seen o = ask(w, new NginxModel.Asked("GET", "a", 80, "/", Map.of()));
                assertEquals(200, o.status());
                without = who.equals(o.who()) ? back ? -1 : 0 : without + 1;
                assertTrue(System.nanoTime() < until, "it stays as it was");
            }
        }
    }

    private static Map<String, Integer> counts(List<Seen> seen) {
        return seen.stream().collect(Collectors.toMap(Seen::who, o -> 1, Integer::sum));
    }

    /** What the model picks in so many requests from a time on, with one that answers nothing. */
    private static Map<String, Integer> model(NginxModel m, int requests, double from, String gone) {
        Map<String, Integer> counts = new TreeMap<>();
        for (int i = 0; i < requests + 50; i++) {
            double now = from + i / 1e4;
            NginxModel.Peer p = m.pick("app", now);
            if (p.address.equals(gone)) {
                NginxModel.failed(p, now);
                p = m.pick("app", now);
            } else {
                NginxModel.answered(p);
            }
            if (i >= 50) {
                counts.merge(p.address, 1, Integer::sum);
            }
        }
        return counts;
    }
}
