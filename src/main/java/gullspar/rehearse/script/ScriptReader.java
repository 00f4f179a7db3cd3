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
        ScriptReader reader = new ScriptReader();
        toml.errors()
                .forEach(e -> reader.problems.add(new Problem(
                        e.position().line(),
                        e.position().column(),
                        e.getMessage().lines().findFirst().orElse("not TOML"))));
        Script script = reader.problems.isEmpty()
                ? reader.script(new TableReader(toml, "", TomlPosition.positionAt(1, 1), reader.problems))
                : null;
        if (!reader.problems.isEmpty()) {
            throw new ProblemsException(name, reader.problems);
        }
        return script;
    }

    private Script script(TableReader table) {
        String title = table.string("title", "untitled");
        double seconds = table.number("seconds", 1, MAX_DURATION_S);
        long seed = table.integer("seed", 1, 0, Integer.MAX_VALUE);
        List<String> sites = table.stringList("sites", List.of("here"));
        if (sites.isEmpty() || sites.size() > 250) {
            table.addProblem("sites", "must name 1 to 250 sites");
        }
        Range siteDelay = table.range("site_delay_ms", new Range(0.6, 0.6), 0, 10_000);
        Range localDelay = table.range("local_delay_ms", new Range(0.1, 0.1), 0, 10_000);
        Script.Proxies proxies = proxies(table.table("proxies"));
        List<Script.NodeKind> nodes =
                table.tables("nodes").stream().map(this::nodeKind).toList();
        List<Script.RequestClass> classes =
                table.tables("class").stream().map(this::requestClass).toList();
        if (nodes.isEmpty()) {
            table.addProblem("there are no [[nodes]]");
        }
        if (classes.isEmpty()) {
            table.addProblem("there is no [[class]]");
        }
        checkDistinct(table, "nodes", nodes.stream().map(Script.NodeKind::kind).toList());
        checkDistinct(
                table, "class", classes.stream().map(Script.RequestClass::name).toList());
        Script.Clients clients = clients(table.table("clients"));
        Script.Discovery discovery = discovery(table.table("discovery"));
        Script.Rules rules = rules(table.table("rules"));
        Script.Peers peers = table.has("peers") ? peers(table.table("peers")) : null;
        int fleet = nodes.stream().mapToInt(Script.NodeKind::count).sum();
        TargetNames names = new TargetNames(
                numberedNames("n", fleet),
                numberedNames("p", proxies.count()),
                new LinkedHashSet<>(
                        classes.stream().map(Script.RequestClass::name).toList()));
        List<Fault> faults = table.tables("fault").stream()
                .map(t -> fault(t, seconds, names, peers != null))
                .toList();
        Map<String, Double> expect = expect(table.table("expect"));
        Script.Search search = search(table.table("search"), peers != null);
        table.rejectUnknownKeys();
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

    private static void checkDistinct(TableReader table, String key, List<String> names) {
        if (new LinkedHashSet<>(names).size() < names.size()) {
            table.addProblem(key, "have duplicate names");
        }
    }

    private static Set<String> numberedNames(String prefix, int count) {
        Set<String> names = new LinkedHashSet<>();
        for (int i = 1; i <= count; i++) {
            names.add(prefix + i);
        }
        return names;
    }

    private Script.Proxies proxies(TableReader table) {
        Script.Proxies p = new Script.Proxies(
                table.integer("count", 2, 1, 100),
                table.number("cores", 1, 0.05, 64),
                table.integer("memory_mb", 128, 96, 65_536),
                table.integer("sockets", 1024, 64, 1 << 20),
                table.integer("attempts", 5, 1, 100),
                table.bool("cancelling", true),
                table.number("retry_after_ms", 1000, 0, 60_000),
                table.number("connect_timeout_ms", 200, 1, 60_000),
                table.number("start_s", 2, 0, 60));
        table.rejectUnknownKeys();
        return p;
    }

    private Script.NodeKind nodeKind(TableReader table) {
        String kind = table.string("kind");
        int count = table.integer("count", 1, 10_000);
        int cores = table.integer("cores", 1, 1, 1024);
        Range speed = table.range("speed", new Range(1, 1), 0.001, 1000);
        int slots = table.integer("slots", 4 * cores, 1, 100_000);
        int queue = table.integer("queue", 50, 0, 1_000_000);
        Script.Cancelled cancelled = table.choice("cancelled", Script.Cancelled.class, Script.Cancelled.STOPS);
        int connections = table.integer("connections", 500, 1, 1_000_000);
        Range connect = table.range("connect_ms", new Range(1, 1), 0, 10_000);
        TableReader keys = table.table("keys");
        Range memory = keys.range("memory_s", new Range(0, 0), 0, 86_400);
        Range saves = keys.range("saves", new Range(0, 0), 0, 0.99);
        int maxKeys = keys.integer("most", 1000, 1, 10_000_000);
        keys.rejectUnknownKeys();
        TableReader report = table.table("report");
        Range period = report.range("period_ms", new Range(1000, 1000), 1, 60_000);
        Range delay = report.range("delay_ms", new Range(0, 0), 0, 60_000);
        double noise = report.number("noise", 0, 0, 1);
        report.rejectUnknownKeys();
        int bytes = table.integer("answer_bytes", 200, 0, 65_000);
        table.rejectUnknownKeys();
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

    private Script.RequestClass requestClass(TableReader table) {
        String name = table.string("name");
        if (!name.matches("[a-z0-9-]{1,40}")) {
            table.addProblem("name", "must be 1 to 40 of a to z, 0 to 9 and -");
        }
        Effect effect = table.choice("effect", Effect.class, null);
        Scope scope = table.choice("scope", Scope.class, Scope.ZONE);
        double window = table.number("window_ms", 0, 0, 86_400_000);
        if (effect == Effect.DEDUPLICATED && window <= 0) {
            table.addProblem("a deduplicated class needs window_ms, how long repeats are dropped");
        }
        double share = table.number("share", 0, 1);
        Range work = table.range("work_ms", 0.001, 60_000);
        double latencyTarget = table.number("promise_ms", 1, 600_000);
        double giveUp = table.number("give_up_ms", 1, 600_000);
        if (giveUp < latencyTarget) {
            table.addProblem("give_up_ms", "is below promise_ms");
        }
        double worth = table.number("worth", 1, 0.001, 1e6);
        int body = table.integer("body_bytes", effect == Effect.IDEMPOTENT ? 0 : 200, 0, 65_000);
        if (effect == Effect.IDEMPOTENT && body > 0) {
            table.addProblem("body_bytes", "is only for classes that are sent by POST");
        }
        table.rejectUnknownKeys();
        return new Script.RequestClass(name, effect, scope, window, share, work, latencyTarget, giveUp, worth, body);
    }

    private Script.Clients clients(TableReader table) {
        Script.Clients c = new Script.Clients(
                table.number("rate", 0.01, 100_000),
                table.range("patience", new Range(0.7, 1), 0.05, 1),
                table.integer("retries", 0, 0, 10),
                table.range("retry_wait_ms", new Range(50, 500), 0, 60_000),
                table.integer("keys", 1000, 0, 10_000_000),
                table.number("key_skew", 0.8, 0, 5),
                table.range("notice_s", new Range(1, 3), 0.05, 60));
        table.rejectUnknownKeys();
        return c;
    }

    private Script.Discovery discovery(TableReader table) {
        Script.Discovery d = new Script.Discovery(
                table.range("delay_ms", new Range(100, 1000), 0, 60_000),
                table.range("weight_period_ms", new Range(1000, 1000), 10, 600_000),
                table.range("notice_s", new Range(0.5, 2), 0, 60),
                table.number("answer_ms", 0, 0, 60_000));
        table.rejectUnknownKeys();
        return d;
    }

    private Script.Rules rules(TableReader table) {
        Script.Rules r = new Script.Rules(
                table.number("drain_grace_ms", 500, 1, 60_000),
                table.number("start_capacity", 0.3, 0.01, 1),
                table.number("cold_s", 9, 0.1, 600),
                table.number("tip_multiple", 3, 1, 100),
                table.number("fall_s", 1.5, 0.1, 60));
        table.rejectUnknownKeys();
        return r;
    }

    private Map<String, Double> expect(TableReader table) {
        Map<String, Double> expect = new LinkedHashMap<>();
        for (String name : EXPECTATIONS) {
            if (table.has(name)) {
                expect.put(name, table.number(name, 0, 1));
            }
        }
        table.rejectUnknownKeys();
        return expect;
    }

    private static Script.Peers peers(TableReader table) {
        Script.Peers p = new Script.Peers(
                table.number("interval_ms", 1000, 50, 60_000),
                table.number("window_s", 60, 1, 3600),
                table.number("quiet_s", 5, 0, 600),
                table.number("gone_s", 90, 0.1, 3600),
                table.number("agree_s", 60, 0.1, 3600),
                table.integer("bytes_per_s", 20_000, 100, 1 << 24),
                table.number("accusations_per_min", 6, 0, 1e6));
        table.rejectUnknownKeys();
        return p;
    }

    private Script.Search search(TableReader table, boolean peers) {
        List<FaultKind> kinds = new ArrayList<>();
        for (String name : table.stringList(
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
                            () -> table.addProblem("kinds", "names '" + name + "', which is not a kind of fault"));
        }
        if (kinds.isEmpty()) {
            table.addProblem("kinds", "names no kind of fault to search");
        }
        Script.Search search = new Script.Search(
                List.copyOf(kinds),
                table.integer("most", 5, 1, 50),
                table.number("calm_s", 0, 0, MAX_DURATION_S),
                table.number("below", 0, 0, 1));
        table.rejectUnknownKeys();
        return search;
    }

    // ---- faults ----

    /** The names that a fault may have as targets. */
    private record TargetNames(Set<String> nodes, Set<String> proxies, Set<String> classes) {}

    private Fault fault(TableReader table, double seconds, TargetNames names, boolean peers) {
        FaultKind kind = table.choice("kind", FaultKind.class, null);
        if (kind.needsPeers() && !peers) {
            table.addProblem("kind", "affects the messages between proxies, and there is no [peers]");
        }
        double startS = table.number("at", 0, MAX_DURATION_S);
        if (startS >= seconds) {
            table.addProblem(
                    "at",
                    "is " + TableReader.formatNumber(startS) + ", but the day ends at "
                            + TableReader.formatNumber(seconds));
        }
        double durationS = 0;
        if (!kind.isMomentary()) {
            durationS = table.number("for", 0.001, MAX_DURATION_S);
            if (startS < seconds && startS + durationS > seconds) {
                table.addProblem(
                        "for",
                        "runs to " + TableReader.formatNumber(startS + durationS) + ", but the day ends at "
                                + TableReader.formatNumber(seconds));
            }
        }
        Map<String, Double> parameters = new LinkedHashMap<>();
        for (FaultKind.Parameter parameter : kind.parameters()) {
            parameters.put(
                    parameter.name(),
                    table.number(parameter.name(), parameter.defaultValue(), parameter.min(), parameter.max()));
        }
        Fault fault =
                switch (kind.target()) {
                    case NODES -> faultOnTargets(table, "nodes", names.nodes(), kind, startS, durationS, parameters);
                    case PROXIES -> faultOnTargets(
                            table, "proxies", names.proxies(), kind, startS, durationS, parameters);
                    case CLASS -> new Fault(
                            kind,
                            startS,
                            durationS,
                            1,
                            checkName(table, "class", table.string("class"), names.classes()),
                            parameters);
                    case LINK -> new Fault(
                            kind,
                            startS,
                            durationS,
                            1,
                            List.of(linkEnd(table, "from", names), linkEnd(table, "to", names)),
                            parameters);
                    case DATAGRAMS -> new Fault(
                            kind,
                            startS,
                            durationS,
                            1,
                            List.of(proxyEnd(table, "from", names), proxyEnd(table, "to", names)),
                            parameters);
                    case FLEET -> new Fault(kind, startS, durationS, 0, List.of(), parameters);
                };
        table.rejectUnknownKeys();
        return fault;
    }

    /** A fault on a number of targets drawn at random, or on named ones. */
    private Fault faultOnTargets(
            TableReader table,
            String key,
            Set<String> known,
            FaultKind kind,
            double startS,
            double durationS,
            Map<String, Double> parameters) {
        if (table.isNumber(key) || !table.has(key)) {
            int count =
                    table.integer(key, kind.minTargets(), kind.minTargets(), Math.max(kind.minTargets(), known.size()));
            return new Fault(kind, startS, durationS, count, List.of(), parameters);
        }
        List<String> named = table.stringList(key, List.of());
        named.forEach(n -> checkName(table, key, n, known));
        if (named.isEmpty()) {
            table.addProblem(key, "is empty; it must name at least one");
        } else if (named.size() < kind.minTargets()) {
            table.addProblem(key, "names one, but this fault needs two or more");
        }
        return new Fault(kind, startS, durationS, named.size(), named, parameters);
    }

    private static List<String> checkName(TableReader table, String key, String name, Set<String> known) {
        if (!name.isEmpty() && !known.contains(name)) {
            table.addProblem(key, "names '" + name + "', and there is only " + summarize(known));
        }
        return List.of(name);
    }

    private static String summarize(Set<String> names) {
        List<String> list = List.copyOf(names);
        return list.size() <= 6 ? String.join(", ", list) : list.get(0) + " to " + list.get(list.size() - 1);
    }

    /** One end of a link between proxies: one, or all. */
    private static String proxyEnd(TableReader table, String key, TargetNames names) {
        String end = table.string(key);
        if (!end.isEmpty() && !end.equals("proxies") && !names.proxies().contains(end)) {
            table.addProblem(key, "is '" + end + "', not a proxy or proxies");
        }
        return end;
    }

    /** One end of a link: a machine, or all of a kind. */
    private static String linkEnd(TableReader table, String key, TargetNames names) {
        String end = table.string(key);
        if (!end.isEmpty()
                && !List.of("nodes", "proxies", "clients", "discovery").contains(end)
                && !names.nodes().contains(end)
                && !names.proxies().contains(end)) {
            table.addProblem(key, "is '" + end + "', not a node, a proxy, nodes, proxies, clients or discovery");
        }
        return end;
    }
}
