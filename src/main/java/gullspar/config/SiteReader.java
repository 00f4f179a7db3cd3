package gullspar.config;

import gullspar.route.Hosts;
import gullspar.route.Paths;
import gullspar.route.Route;
import gullspar.route.Router;
import gullspar.toml.Blocks;
import gullspar.toml.Fields;
import gullspar.toml.Problem;
import gullspar.toml.ProblemsException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;

/**
 * Reads an operator's file (TOML 1.0, docs/routing.md) and finds all that is wrong with it in one reading.
 */
public final class SiteReader {
    /** How the path of a route is meant. */
    private enum Match {
        PREFIX,
        PREFIX_ENDS,
        EXACT,
        REGEX,
        REGEX_ANY_CASE
    }

    /** What is known of a listener while the hosts are read. */
    private static final class Listening {
        private final InetSocketAddress address;
        private final Hosts<Router.Host> hosts = new Hosts<>();
        private boolean otherwise;

        Listening(InetSocketAddress address) {
            this.address = address;
        }
    }

    private static final int DEEPEST = 20;

    private final List<Problem> problems = new ArrayList<>();
    private final Map<String, Listening> listeners = new LinkedHashMap<>();
    /** Where no listener can be read, hosts are still looked at. */
    private final Listening nowhere = new Listening(null);

    private final PoolReader pools = new PoolReader();
    private RouteReader routes;

    private SiteReader() {}

    /** Reads a file; an IOException if that is not possible at all. */
    public static Site read(Path file) throws IOException, ProblemsException {
        return parse(Files.readString(file), file.toString());
    }

    /** The same, of a text that is mostly as the one that these blocks have read before. */
    public static Site parse(String text, String name, Blocks blocks) throws ProblemsException {
        SiteReader r = new SiteReader();
        Fields f = blocks.read(text, r.problems);
        if (f == null) {
            return parse(text, name);
        }
        Site s = r.site(f);
        if (!r.problems.isEmpty()) {
            throw new ProblemsException(name, r.problems);
        }
        return s;
    }

    /** Reads a text; the name stands before each problem. */
    public static Site parse(String text, String name) throws ProblemsException {
        TomlParseResult toml = Toml.parse(text);
        SiteReader r = new SiteReader();
        toml.errors()
                .forEach(e -> r.problems.add(new Problem(
                        e.position().line(),
                        e.position().column(),
                        e.getMessage().lines().findFirst().orElse("not TOML"))));
        Site s = r.problems.isEmpty() ? r.site(new Fields(toml, "", TomlPosition.positionAt(1, 1), r.problems)) : null;
        if (!r.problems.isEmpty()) {
            throw new ProblemsException(name, r.problems);
        }
        return s;
    }

    private Site site(Fields f) {
        for (Fields l : f.tables("listener")) {
            InetSocketAddress at = Values.address(l, "address");
            if (at != null && listeners.putIfAbsent(l.text("address"), new Listening(at)) != null) {
                l.wrong("address", "is that of another listener");
            }
            l.noOthers();
        }
        if (!f.has("listener")) {
            f.wrong("there is no [[listener]]");
        }
        f.tables("pool").forEach(pools::read);
        routes = new RouteReader(pools.pools().keySet());
        List<Fields> hosts = f.tables("host");
        hosts.forEach(this::host);
        if (hosts.isEmpty()) {
            f.wrong("there is no [[host]]");
        }
        Site.Limits limits = limits(f.table("limits"));
        Site.Forwarded forwarded = f.choice("forwarded", Site.Forwarded.class, Site.Forwarded.REPLACE);
        OperatorsFile operators = OperatorsFile.read(f);
        f.noOthers();
        return new Site(
                listeners.values().stream()
                        .map(l -> new Site.Listener(l.address, new Router(l.hosts)))
                        .toList(),
                Map.copyOf(pools.pools()),
                limits,
                forwarded,
                operators);
    }

    private static Site.Limits limits(Fields f) {
        Site.Limits limits = new Site.Limits(
                f.whole("sockets", 1024, 16, 1 << 20),
                (long) (f.number("bodies_mb", 16, 0, 1e6) * (1 << 20)),
                Values.seconds(f, "request_s", 60, 0.001),
                Values.seconds(f, "idle_s", 75, 0.001),
                Values.seconds(f, "stall_s", 60, 0.001),
                Values.seconds(f, "drain_s", 30, 0),
                Values.seconds(f, "retry_after_s", 1, 0));
        f.noOthers();
        return limits;
    }

    // ---- hosts and routes ----

    private void host(Fields f) {
        List<String> names = f.texts("names", List.of());
        boolean isDefault = f.flag("default", false);
        List<Route> first = new ArrayList<>();
        for (Fields r : f.tables("first")) {
            first.add(routes.read(r, "(first)", null));
            r.noOthers();
        }
        Router.Host host = new Router.Host(names.isEmpty() ? "(default)" : names.get(0), first, routes(f, 0));
        List<Listening> at = new ArrayList<>();
        for (String l : f.texts("listeners", List.copyOf(listeners.keySet()))) {
            if (listeners.containsKey(l)) {
                at.add(listeners.get(l));
            } else {
                f.wrong("listeners", "holds '" + l + "', where nobody listens");
            }
        }
        if (listeners.isEmpty()) {
            at.add(nowhere);
        }
        names.forEach(name -> name(f, name, host, at));
        if (names.isEmpty() && !isDefault) {
            f.wrong("a host with no names that is not the default");
        }
        if (isDefault && at.stream().anyMatch(l -> l.otherwise)) {
            f.wrong("default", "is said of another host already");
        } else if (isDefault) {
            at.forEach(l -> {
                l.otherwise = true;
                l.hosts.otherwise(host);
            });
        }
        f.noOthers();
    }

    private static void name(Fields f, String name, Router.Host host, List<Listening> at) {
        if (name.startsWith("~")) {
            Pattern p = Values.pattern(f, "names", name.substring(1), 0);
            if (p != null) {
                at.forEach(l -> l.hosts.add(p, host));
            }
            return;
        }
        try {
            boolean fresh = true;
            for (Listening l : at) {
                fresh &= l.hosts.add(name, host);
            }
            if (!fresh) {
                f.wrong("names", "holds '" + name + "', which another host has");
            }
        } catch (IllegalArgumentException e) {
            f.wrong("names", "holds a name that cannot be: " + e.getMessage());
        }
    }

    /** The places of a host or of a route: routes of one place stand together, in their order. */
    private Paths<List<Route>> routes(Fields f, int depth) {
        Paths<List<Route>> paths = new Paths<>();
        Map<String, List<Route>> byPlace = new LinkedHashMap<>();
        for (Fields r : f.tables("route")) {
            String path = r.text("path");
            Match match = r.choice("match", Match.class, Match.PREFIX);
            Paths<List<Route>> nested = null;
            if (r.has("route") && depth >= DEEPEST) {
                r.wrong("route", "is nested more than " + DEEPEST + " deep");
            } else if (r.has("route")) {
                nested = routes(r, depth + 1);
            }
            boolean regex = match == Match.REGEX || match == Match.REGEX_ANY_CASE;
            Route route = routes.read(r, path, regex ? null : path);
            r.noOthers();
            // A prefix is one place, whether it ends the search or not.
            String place = (match == Match.PREFIX_ENDS ? Match.PREFIX : match) + " " + path;
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

    private void add(
            Paths<List<Route>> paths,
            Fields r,
            Match match,
            String path,
            List<Route> routes,
            Paths<List<Route>> nested) {
        switch (match) {
            case EXACT -> paths.add(Paths.Kind.EXACT, path, routes, nested);
            case PREFIX -> paths.add(Paths.Kind.PREFIX, path, routes, nested);
            case PREFIX_ENDS -> paths.add(Paths.Kind.PREFIX_ENDS, path, routes, nested);
            default -> {
                Pattern p = Values.pattern(r, "path", path, match == Match.REGEX ? 0 : Pattern.CASE_INSENSITIVE);
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
}
