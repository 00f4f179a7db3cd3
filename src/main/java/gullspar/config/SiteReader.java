package gullspar.config;

import gullspar.route.Condition;
import gullspar.route.Hosts;
import gullspar.route.Members;
import gullspar.route.Paths;
import gullspar.route.Rewrite;
import gullspar.route.Route;
import gullspar.route.Router;
import gullspar.toml.Fields;
import gullspar.toml.Problem;
import gullspar.toml.ProblemsException;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/**
 * Reads an operator's file (TOML 1.0, docs/routing.md) and finds all that is wrong with it in one reading.
 */
public final class SiteReader {
    /** How the path of a route is meant. */
    private enum Match { PREFIX, PREFIX_ENDS, EXACT, REGEX, REGEX_ANY_CASE }

    private static final int DEEPEST = 20;
    private static final double LONGEST_S = 24 * 3600;

    private final List<Problem> problems = new ArrayList<>();
    private final Map<String, Site.Pool> pools = new LinkedHashMap<>();

    private SiteReader() { }

    /** Reads a file; an IOException if that is not possible at all. */
    public static Site read(Path file) throws IOException, ProblemsException {
        return parse(Files.readString(file), file.toString());
    }

    /** Reads a text; the name stands before each problem. */
    public static Site parse(String text, String name) throws ProblemsException {
        TomlParseResult toml = Toml.parse(text);
        SiteReader r = new SiteReader();
        toml.errors().forEach(e -> r.problems.add(new Problem(e.position().line(), e.position().column(),
                e.getMessage().lines().findFirst().orElse("not TOML"))));
        Site s = r.problems.isEmpty()
                ? r.site(new Fields(toml, "", TomlPosition.positionAt(1, 1), r.problems)) : null;
        if (!r.problems.isEmpty()) {
            throw new ProblemsException(name, r.problems);
        }
        return s;
    }

    private Site site(Fields f) {
        List<InetSocketAddress> listeners = new ArrayList<>();
        List<Fields> listening = f.tables("listener");
        for (Fields l : listening) {
            InetSocketAddress at = address(l, "address");
            listeners.addAll(at == null ? List.of() : List.of(at));
            l.noOthers();
        }
        if (listening.isEmpty()) {
            f.wrong("there is no [[listener]]");
        }
        f.tables("pool").forEach(this::pool);
        Hosts<Router.Host> hosts = new Hosts<>();
        boolean otherwise = false;
        List<Fields> all = f.tables("host");
        for (Fields h : all) {
            otherwise |= host(h, hosts, otherwise);
        }
        if (all.isEmpty()) {
            f.wrong("there is no [[host]]");
        }
        f.noOthers();
        return new Site(List.copyOf(listeners), new Router(hosts), Map.copyOf(pools));
    }

    /** An IP address and a port: no names are looked up. */
    private static InetSocketAddress address(Fields f, String key) {
        String text = f.text(key);
        int colon = text.lastIndexOf(':');
        InetAddress ip = colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0,
                colon));
        String port = text.substring(colon + 1);
        if (ip != null && port.matches("\\d{1,5}") && Integer.parseInt(port) <= 65_535) {
            return new InetSocketAddress(ip, Integer.parseInt(port));
        }
        if (!text.isEmpty()) {
            f.wrong(key, "is '" + text + "', not an IP address and a port");
        }
        return null;
    }

    // ---- pools ----

    private void pool(Fields f) {
        String name = f.text("name");
        List<Members.Declared> servers = new ArrayList<>();
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        for (Fields s : f.tables("server")) {
            InetSocketAddress at = address(s, "address");
            String server = s.text("name", s.text("address", ""));
            Members.Declared d = new Members.Declared(server, s.number("weight", 1, 0.001, 1e6),
                    s.flag("backup", false), s.flag("down", false), s.whole("max_failures", 1, 0, 1_000_000),
                    ns(s.number("fail_s", 10, 0, LONGEST_S)), ns(s.number("slow_start_s", 0, 0, LONGEST_S)));
            s.noOthers();
            if (addresses.putIfAbsent(server, at == null ? new InetSocketAddress(0) : at) != null) {
                s.wrong("a second server '" + server + "' in this pool");
            }
            servers.add(d);
        }
        if (servers.isEmpty()) {
            f.wrong("a pool with no [[pool.server]]");
        }
        f.noOthers();
        if (!name.isEmpty() && pools.putIfAbsent(name, new Site.Pool(name, servers, addresses)) != null) {
            f.wrong("name", "is that of another pool: '" + name + "'");
        }
    }

    private static long ns(double seconds) {
        return (long) (seconds * 1e9);
    }

    // ---- hosts and routes ----

    /** True if it is the default. */
    private boolean host(Fields f, Hosts<Router.Host> hosts, boolean otherwise) {
        List<String> names = f.texts("names", List.of());
        boolean isDefault = f.flag("default", false);
        Router.Host host = new Router.Host(names.isEmpty() ? "(default)" : names.get(0), routes(f, 0));
        for (String name : names) {
            if (name.startsWith("~")) {
                Pattern p = pattern(f, "names", name.substring(1), 0);
                if (p != null) {
                    hosts.add(p, host);
                }
                continue;
            }
            try {
                if (!hosts.add(name, host)) {
                    f.wrong("names", "holds '" + name + "', which another host has");
                }
            } catch (IllegalArgumentException e) {
                f.wrong("names", "holds a name that cannot be: " + e.getMessage());
            }
        }
        if (names.isEmpty() && !isDefault) {
            f.wrong("a host with no names that is not the default");
        }
        if (isDefault && otherwise) {
            f.wrong("default", "is said of another host already");
        } else if (isDefault) {
            hosts.otherwise(host);
        }
        f.noOthers();
        return isDefault;
    }

    /** The places of a host or of a route: routes of one place stand together, in their order. */
    private Paths<List<Route>> routes(Fields f, int depth) {
        Paths<List<Route>> paths = new Paths<>();
        Map<String, List<Route>> byPlace = new LinkedHashMap<>();
        Set<String> nestedAt = new HashSet<>();
        for (Fields r : f.tables("route")) {
            String path = r.text("path");
            Match match = r.choice("match", Match.class, Match.PREFIX);
            Paths<List<Route>> nested = null;
            if (r.has("route") && depth >= DEEPEST) {
                r.wrong("route", "is nested more than " + DEEPEST + " deep");
            } else if (r.has("route")) {
                nested = routes(r, depth + 1);
            }
            Route route = route(r, path, match);
            r.noOthers();
            String place = match + " " + path;
            List<Route> there = byPlace.get(place);
            if (there == null) {
                there = new ArrayList<>();
                byPlace.put(place, there);
                add(paths, r, match, path, there, nested);
            } else if (nested != null) {
                r.wrong("route", "belongs to the first route of this path");
            }
            there.add(route);
        }
        return paths;
    }

    private void add(Paths<List<Route>> paths, Fields r, Match match, String path, List<Route> routes,
            Paths<List<Route>> nested) {
        switch (match) {
            case EXACT -> paths.add(Paths.Kind.EXACT, path, routes, nested);
            case PREFIX -> paths.add(Paths.Kind.PREFIX, path, routes, nested);
            case PREFIX_ENDS -> paths.add(Paths.Kind.PREFIX_ENDS, path, routes, nested);
            default -> {
                Pattern p = pattern(r, "path", path, match == Match.REGEX ? 0 : Pattern.CASE_INSENSITIVE);
                if (p != null) {
                    paths.add(p, routes, nested);
                }
                return;
            }
        }
        if (!path.startsWith("/")) {
            r.wrong("path", "does not begin with /");
        }
    }

    private static Pattern pattern(Fields f, String key, String text, int flags) {
        try {
            return Pattern.compile(text, flags);
        } catch (PatternSyntaxException e) {
            f.wrong(key, "holds no regular expression: " + e.getDescription() + " in '" + text + "'");
            return null;
        }
    }

    private Route route(Fields r, String path, Match match) {
        String name = r.text("name", path);
        Set<String> methods = new HashSet<>(r.texts("methods", List.of()));
        List<Condition> conditions = new ArrayList<>();
        for (Fields c : r.tables("header")) {
            String header = c.text("name");
            if (c.has("pattern")) {
                Pattern p = pattern(c, "pattern", c.text("pattern"), 0);
                conditions.add(new Condition(header, null, p == null ? Pattern.compile("") : p));
            } else {
                conditions.add(new Condition(header, c.has("value") ? c.text("value") : null, null));
            }
            c.noOthers();
        }
        boolean toPool = r.has("pool");
        boolean answered = r.has("answer");
        if (toPool == answered) {
            r.wrong(toPool ? "a route goes to a pool or is answered, not both"
                    : "a route needs a pool to go to, or an answer");
        }
        Route.ToPool pool = toPool ? toPool(r, path, match) : null;
        Route.Answer answer = answered ? answer(r.table("answer")) : null;
        boolean both = toPool && answered;
        return new Route(name, methods, conditions, both ? null : pool, pool == null && answer == null
                ? new Route.Answer(500, "", null) : answer);
    }

    private Route.ToPool toPool(Fields r, String path, Match match) {
        String pool = r.text("pool");
        if (!pool.isEmpty() && !pools.containsKey(pool)) {
            r.wrong("pool", "is '" + pool + "', and there is no such pool");
        }
        Rewrite rewrite = Rewrite.NONE;
        if (r.has("rewrite")) {
            Fields w = r.table("rewrite");
            if (w.has("pattern")) {
                Pattern p = pattern(w, "pattern", w.text("pattern"), 0);
                rewrite = p == null ? rewrite : Rewrite.pattern(p, w.text("to"));
            } else if (match == Match.PREFIX || match == Match.PREFIX_ENDS || match == Match.EXACT) {
                rewrite = Rewrite.prefix(path, w.text("to"));
            } else {
                w.wrong("a route with a regular expression is rewritten by a pattern");
            }
            w.noOthers();
        }
        return new Route.ToPool(pool, r.choice("class", Route.Kind.class, Route.Kind.BY_METHOD),
                ns(r.number("deadline_ms", 60_000, 1, LONGEST_S * 1000) / 1000), r.whole("attempts", 3, 1,
                        100),
                (long) (r.number("body_kb", 1024, 0, 1e9) * 1024), rewrite);
    }

    private static Route.Answer answer(Fields a) {
        Route.Answer answer = new Route.Answer(a.whole("status", 200, 599), a.text("body", ""),
                a.text("location", null));
        a.noOthers();
        return answer;
    }
}
