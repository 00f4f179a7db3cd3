package gullspar.rehearse.script;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Scope;
import gullspar.toml.Problem;
import gullspar.toml.ProblemsException;
import gullspar.toml.Range;
import gullspar.toml.TableReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/**
 * Reads a script (TOML 1.0) and reports all problems together: syntax errors, unknown keys, wrong types, values
 * out of bounds, unknown names, impossible times.
 */
public final class ScriptReader {
    /** The keys of [expect]; the value of each is the minimum share. */
    static final List<String> EXPECTATIONS = List.of("service", "worst_10s", "worst_class");

    private static final double MAX_DURATION_S = 24 * 3600;

    private final List<Problem> problems = new ArrayList<>();

    private ScriptReader() {}

    /** Reads a file; throws an IOException if the file cannot be read. */
    public static Script read(Path file) throws IOException, ProblemsException {
        return parse(Files.readString(file), file.toString());
    }

    /** Reads a text; each problem is prefixed with the name. */
    public static Script parse(String text, String name) throws ProblemsException {
        TomlParseResult toml = Toml.parse(text);
        ScriptReader r = new ScriptReader();
        toml.errors()
                .forEach(e -> r.problems.add(new Problem(
                        e.position().line(),
                        e.position().column(),
                        e.getMessage().lines().findFirst().orElse("not TOML"))));
        Script s = r.problems.isEmpty()
                ? r.script(new TableReader(toml, "", TomlPosition.positionAt(1, 1), r.problems))
                : null;
        if (!r.problems.isEmpty()) {
            throw new ProblemsException(name, r.problems);
        }
        return s;
    }

    private Script script(TableReader f) {
        String title = f.string("title", "untitled");
        double seconds = f.number("seconds", 1, MAX_DURATION_S);
        long seed = f.integer("seed", 1, 0, Integer.MAX_VALUE);
        List<String> sites = f.stringList("sites", List.of("here"));
        if (sites.isEmpty() || sites.size() > 250) {
            f.addProblem("sites", "must name 1 to 250 sites");
        }
        Range siteDelay = f.range("site_delay_ms", new Range(0.6, 0.6), 0, 10_000);
        Range localDelay = f.range("local_delay_ms", new Range(0.1, 0.1), 0, 10_000);
        Script.Proxies proxies = proxies(f.table("proxies"));
        List<Script.NodeKind> nodes =
                f.tables("nodes").stream().map(this::nodeKind).toList();
        List<Script.RequestClass> classes =
                f.tables("class").stream().map(this::requestClass).toList();
        if (nodes.isEmpty()) {
            f.addProblem("there are no [[nodes]]");
        }
        if (classes.isEmpty()) {
            f.addProblem("there is no [[class]]");
        }
        checkDistinct(f, "nodes", nodes.stream().map(Script.NodeKind::kind).toList());
        checkDistinct(
                f, "class", classes.stream().map(Script.RequestClass::name).toList());
        Script.Clients clients = clients(f.table("clients"));
        Script.Discovery discovery = discovery(f.table("discovery"));
        Script.Rules rules = rules(f.table("rules"));
        Script.Peers peers = f.has("peers") ? peers(f.table("peers")) : null;
        int fleet = nodes.stream().mapToInt(Script.NodeKind::count).sum();
        TargetNames names = new TargetNames(
                numberedNames("n", fleet),
                numberedNames("p", proxies.count()),
                new LinkedHashSet<>(
                        classes.stream().map(Script.RequestClass::name).toList()));
        List<Fault> faults = f.tables("fault").stream()
                .map(t -> fault(t, seconds, names, peers != null))
                .toList();
        Map<String, Double> expect = expect(f.table("expect"));
        Script.Search search = search(f.table("search"), peers != null);
        f.rejectUnknownKeys();
        return new Script(
                title,
                seconds,
                seed,
                sites,
                siteDelay,
                localDelay,
                proxies,
                nodes,
                classes,
                clients,
                discovery,
                rules,
                faults,
                expect,
                search,
                peers);
    }

    private static void checkDistinct(TableReader f, String key, List<String> names) {
        if (new LinkedHashSet<>(names).size() < names.size()) {
            f.addProblem(key, "have duplicate names");
        }
    }

    private static Set<String> numberedNames(String prefix, int count) {
        Set<String> names = new LinkedHashSet<>();
        for (int i = 1; i <= count; i++) {
            names.add(prefix + i);
        }
        return names;
    }

    private Script.Proxies proxies(TableReader f) {
        Script.Proxies p = new Script.Proxies(
                f.integer("count", 2, 1, 100),
                f.number("cores", 1, 0.05, 64),
                f.integer("memory_mb", 128, 96, 65_536),
                f.integer("sockets", 1024, 64, 1 << 20),
                f.integer("attempts", 5, 1, 100),
                f.bool("cancelling", true),
                f.number("retry_after_ms", 1000, 0, 60_000),
                f.number("connect_timeout_ms", 200, 1, 60_000),
                f.number("start_s", 2, 0, 60));
        f.rejectUnknownKeys();
        return p;
    }

    private Script.NodeKind nodeKind(TableReader f) {
        String kind = f.string("kind");
        int count = f.integer("count", 1, 10_000);
        int cores = f.integer("cores", 1, 1, 1024);
        Range speed = f.range("speed", new Range(1, 1), 0.001, 1000);
        int slots = f.integer("slots", 4 * cores, 1, 100_000);
        int queue = f.integer("queue", 50, 0, 1_000_000);
        Script.Cancelled cancelled = f.choice("cancelled", Script.Cancelled.class, Script.Cancelled.STOPS);
        int connections = f.integer("connections", 500, 1, 1_000_000);
        Range connect = f.range("connect_ms", new Range(1, 1), 0, 10_000);
        TableReader keys = f.table("keys");
        Range memory = keys.range("memory_s", new Range(0, 0), 0, 86_400);
        Range saves = keys.range("saves", new Range(0, 0), 0, 0.99);
        int maxKeys = keys.integer("most", 1000, 1, 10_000_000);
        keys.rejectUnknownKeys();
        TableReader report = f.table("report");
        Range period = report.range("period_ms", new Range(1000, 1000), 1, 60_000);
        Range delay = report.range("delay_ms", new Range(0, 0), 0, 60_000);
        double noise = report.number("noise", 0, 0, 1);
        report.rejectUnknownKeys();
        int bytes = f.integer("answer_bytes", 200, 0, 65_000);
        f.rejectUnknownKeys();
        return new Script.NodeKind(
                kind,
                count,
                cores,
                speed,
                slots,
                queue,
                cancelled,
                connections,
                connect,
                memory,
                saves,
                maxKeys,
                period,
                delay,
                noise,
                bytes);
    }

    private Script.RequestClass requestClass(TableReader f) {
        String name = f.string("name");
        if (!name.matches("[a-z0-9-]{1,40}")) {
            f.addProblem("name", "must be 1 to 40 of a to z, 0 to 9 and -");
        }
        Effect effect = f.choice("effect", Effect.class, null);
        Scope scope = f.choice("scope", Scope.class, Scope.ZONE);
        double window = f.number("window_ms", 0, 0, 86_400_000);
        if (effect == Effect.DEDUPLICATED && window <= 0) {
            f.addProblem("a deduplicated class needs window_ms, how long repeats are dropped");
        }
        double share = f.number("share", 0, 1);
        Range work = f.range("work_ms", 0.001, 60_000);
        double promise = f.number("promise_ms", 1, 600_000);
        double giveUp = f.number("give_up_ms", 1, 600_000);
        if (giveUp < promise) {
            f.addProblem("give_up_ms", "is below promise_ms");
        }
        double worth = f.number("worth", 1, 0.001, 1e6);
        int body = f.integer("body_bytes", effect == Effect.IDEMPOTENT ? 0 : 200, 0, 65_000);
        if (effect == Effect.IDEMPOTENT && body > 0) {
            f.addProblem("body_bytes", "is only for classes that are sent by POST");
        }
        f.rejectUnknownKeys();
        return new Script.RequestClass(name, effect, scope, window, share, work, promise, giveUp, worth, body);
    }

    private Script.Clients clients(TableReader f) {
        Script.Clients c = new Script.Clients(
                f.number("rate", 0.01, 100_000),
                f.range("patience", new Range(0.7, 1), 0.05, 1),
                f.integer("retries", 0, 0, 10),
                f.range("retry_wait_ms", new Range(50, 500), 0, 60_000),
                f.integer("keys", 1000, 0, 10_000_000),
                f.number("key_skew", 0.8, 0, 5),
                f.range("notice_s", new Range(1, 3), 0.05, 60));
        f.rejectUnknownKeys();
        return c;
    }

    private Script.Discovery discovery(TableReader f) {
        Script.Discovery d = new Script.Discovery(
                f.range("delay_ms", new Range(100, 1000), 0, 60_000),
                f.range("weight_period_ms", new Range(1000, 1000), 10, 600_000),
                f.range("notice_s", new Range(0.5, 2), 0, 60),
                f.number("answer_ms", 0, 0, 60_000));
        f.rejectUnknownKeys();
        return d;
    }

    private Script.Rules rules(TableReader f) {
        Script.Rules r = new Script.Rules(
                f.number("drain_grace_ms", 500, 1, 60_000),
                f.number("start_capacity", 0.3, 0.01, 1),
                f.number("cold_s", 9, 0.1, 600),
                f.number("tip_multiple", 3, 1, 100),
                f.number("fall_s", 1.5, 0.1, 60));
        f.rejectUnknownKeys();
        return r;
    }

    private Map<String, Double> expect(TableReader f) {
        Map<String, Double> expect = new LinkedHashMap<>();
        for (String name : EXPECTATIONS) {
            if (f.has(name)) {
                expect.put(name, f.number(name, 0, 1));
            }
        }
        f.rejectUnknownKeys();
        return expect;
    }

    private static Script.Peers peers(TableReader f) {
        Script.Peers p = new Script.Peers(
                f.number("interval_ms", 1000, 50, 60_000),
                f.number("window_s", 60, 1, 3600),
                f.number("quiet_s", 5, 0, 600),
                f.number("gone_s", 90, 0.1, 3600),
                f.number("agree_s", 60, 0.1, 3600),
                f.integer("bytes_per_s", 20_000, 100, 1 << 24),
                f.number("accusations_per_min", 6, 0, 1e6));
        f.rejectUnknownKeys();
        return p;
    }

    private Script.Search search(TableReader f, boolean peers) {
        List<FaultKind> kinds = new ArrayList<>();
        for (String name : f.stringList(
                "kinds",
                Stream.of(FaultKind.values())
                        .filter(k -> peers || !k.needsPeers())
                        .map(FaultKind::scriptName)
                        .toList())) {
            Stream.of(FaultKind.values())
                    .filter(k -> k.scriptName().equals(name))
                    .findFirst()
                    .ifPresentOrElse(
                            kinds::add,
                            () -> f.addProblem("kinds", "names '" + name + "', which is not a kind of fault"));
        }
        if (kinds.isEmpty()) {
            f.addProblem("kinds", "names no kind of fault to search");
        }
        Script.Search s = new Script.Search(
                List.copyOf(kinds),
                f.integer("most", 5, 1, 50),
                f.number("calm_s", 0, 0, MAX_DURATION_S),
                f.number("below", 0, 0, 1));
        f.rejectUnknownKeys();
        return s;
    }

    // ---- faults ----

    /** The names that a fault may have as targets. */
    private record TargetNames(Set<String> nodes, Set<String> proxies, Set<String> classes) {}

    private Fault fault(TableReader f, double seconds, TargetNames names, boolean peers) {
        FaultKind kind = f.choice("kind", FaultKind.class, null);
        if (kind.needsPeers() && !peers) {
            f.addProblem("kind", "affects the messages between proxies, and there is no [peers]");
        }
        double startS = f.number("at", 0, MAX_DURATION_S);
        if (startS >= seconds) {
            f.addProblem(
                    "at",
                    "is " + TableReader.formatNumber(startS) + ", but the day ends at "
                            + TableReader.formatNumber(seconds));
        }
        double durationS = 0;
        if (!kind.isMomentary()) {
            durationS = f.number("for", 0.001, MAX_DURATION_S);
            if (startS < seconds && startS + durationS > seconds) {
                f.addProblem(
                        "for",
                        "runs to " + TableReader.formatNumber(startS + durationS) + ", but the day ends at "
                                + TableReader.formatNumber(seconds));
            }
        }
        Map<String, Double> parameters = new LinkedHashMap<>();
        for (FaultKind.Parameter g : kind.parameters()) {
            parameters.put(g.name(), f.number(g.name(), g.defaultValue(), g.min(), g.max()));
        }
        Fault fault =
                switch (kind.target()) {
                    case NODES -> faultOnTargets(f, "nodes", names.nodes(), kind, startS, durationS, parameters);
                    case PROXIES -> faultOnTargets(f, "proxies", names.proxies(), kind, startS, durationS, parameters);
                    case CLASS -> new Fault(
                            kind,
                            startS,
                            durationS,
                            1,
                            checkName(f, "class", f.string("class"), names.classes()),
                            parameters);
                    case LINK -> new Fault(
                            kind,
                            startS,
                            durationS,
                            1,
                            List.of(linkEnd(f, "from", names), linkEnd(f, "to", names)),
                            parameters);
                    case DATAGRAMS -> new Fault(
                            kind,
                            startS,
                            durationS,
                            1,
                            List.of(proxyEnd(f, "from", names), proxyEnd(f, "to", names)),
                            parameters);
                    case FLEET -> new Fault(kind, startS, durationS, 0, List.of(), parameters);
                };
        f.rejectUnknownKeys();
        return fault;
    }

    /** A fault on a number of targets drawn at random, or on named ones. */
    private Fault faultOnTargets(
            TableReader f,
            String key,
            Set<String> known,
            FaultKind kind,
            double startS,
            double durationS,
            Map<String, Double> parameters) {
        if (f.isNumber(key) || !f.has(key)) {
            int count = f.integer(key, kind.minTargets(), kind.minTargets(), Math.max(kind.minTargets(), known.size()));
            return new Fault(kind, startS, durationS, count, List.of(), parameters);
        }
        List<String> named = f.stringList(key, List.of());
        named.forEach(n -> checkName(f, key, n, known));
        if (named.isEmpty()) {
            f.addProblem(key, "is empty; it must name at least one");
        } else if (named.size() < kind.minTargets()) {
            f.addProblem(key, "names one, but this fault needs two or more");
        }
        return new Fault(kind, startS, durationS, named.size(), named, parameters);
    }

    private static List<String> checkName(TableReader f, String key, String name, Set<String> known) {
        if (!name.isEmpty() && !known.contains(name)) {
            f.addProblem(key, "names '" + name + "', and there is only " + summarize(known));
        }
        return List.of(name);
    }

    private static String summarize(Set<String> names) {
        List<String> list = List.copyOf(names);
        return list.size() <= 6 ? String.join(", ", list) : list.get(0) + " to " + list.get(list.size() - 1);
    }

    /** One end of a link between proxies: one, or all. */
    private static String proxyEnd(TableReader f, String key, TargetNames names) {
        String end = f.string(key);
        if (!end.isEmpty() && !end.equals("proxies") && !names.proxies().contains(end)) {
            f.addProblem(key, "is '" + end + "', not a proxy or proxies");
        }
        return end;
    }

    /** One end of a link: a machine, or all of a kind. */
    private static String linkEnd(TableReader f, String key, TargetNames names) {
        String end = f.string(key);
        if (!end.isEmpty()
                && !List.of("nodes", "proxies", "clients", "discovery").contains(end)
                && !names.nodes().contains(end)
                && !names.proxies().contains(end)) {
            f.addProblem(key, "is '" + end + "', not a node, a proxy, nodes, proxies, clients or discovery");
        }
        return end;
    }
}
