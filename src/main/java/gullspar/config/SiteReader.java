package gullspar.config;

import gullspar.route.HostTable;
import gullspar.route.PathTable;
import gullspar.route.Route;
import gullspar.route.Router;
import gullspar.toml.BlockParser;
import gullspar.toml.Problem;
import gullspar.toml.ProblemsException;
import gullspar.toml.TableReader;
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

/** Reads the operators' file (TOML 1.0, docs/routing.md) and reports all its problems at once. */
public final class SiteReader {
    /** How the path of a route is matched. */
    private enum PathKind {
        PREFIX,
        PREFIX_ENDS,
        EXACT,
        REGEX,
        REGEX_ANY_CASE
    }

    /** A listener while its hosts are read. */
    private static final class ListenerBuilder {
        private final InetSocketAddress address;
        private final HostTable<Router.Host> hosts = new HostTable<>();
        private boolean hasDefault;

        ListenerBuilder(InetSocketAddress address) {
            this.address = address;
        }
    }

    private static final int MAX_ROUTE_DEPTH = 20;

    private final List<Problem> problems = new ArrayList<>();
    private final Map<String, ListenerBuilder> listeners = new LinkedHashMap<>();
    /** Takes the hosts if no listener could be read, so that their problems are still reported. */
    private final ListenerBuilder placeholderListener = new ListenerBuilder(null);

    private final PoolReader pools = new PoolReader();
    private RouteReader routes;

    private SiteReader() {}

    /** Throws IOException if the file cannot be read. */
    public static Site read(Path file) throws IOException, ProblemsException {
        return parse(Files.readString(file), file.toString());
    }

    /** Parses a new version of a text, reusing the unchanged blocks that the parser has cached. */
    public static Site parse(String text, String name, BlockParser blocks) throws ProblemsException {
        SiteReader r = new SiteReader();
        TableReader f = blocks.read(text, r.problems);
        if (f == null) {
            return parse(text, name);
        }
        Site s = r.readSite(f);
        if (!r.problems.isEmpty()) {
            throw new ProblemsException(name, r.problems);
        }
        return s;
    }

    /** Parses a text; each problem is prefixed with the name. */
    public static Site parse(String text, String name) throws ProblemsException {
        TomlParseResult toml = Toml.parse(text);
        SiteReader r = new SiteReader();
        toml.errors()
                .forEach(e -> r.problems.add(new Problem(
                        e.position().line(),
                        e.position().column(),
                        e.getMessage().lines().findFirst().orElse("not TOML"))));
        Site s = r.problems.isEmpty()
                ? r.readSite(new TableReader(toml, "", TomlPosition.positionAt(1, 1), r.problems))
                : null;
        if (!r.problems.isEmpty()) {
            throw new ProblemsException(name, r.problems);
        }
        return s;
    }

    private Site readSite(TableReader f) {
        for (TableReader l : f.tables("listener")) {
            InetSocketAddress address = FieldParsers.address(l, "address");
            if (address != null && listeners.putIfAbsent(l.string("address"), new ListenerBuilder(address)) != null) {
                l.addProblem("address", "is already used by another listener");
            }
            l.rejectUnknownKeys();
        }
        if (!f.has("listener")) {
            f.addProblem("there is no [[listener]]");
        }
        f.tables("pool").forEach(pools::read);
        routes = new RouteReader(pools.pools().keySet());
        List<TableReader> hosts = f.tables("host");
        hosts.forEach(this::readHost);
        if (hosts.isEmpty()) {
            f.addProblem("there is no [[host]]");
        }
        Site.Limits limits = readLimits(f.table("limits"));
        Site.Forwarded forwarded = f.choice("forwarded", Site.Forwarded.class, Site.Forwarded.REPLACE);
        OperatorsFile operators = OperatorsFile.read(f);
        f.rejectUnknownKeys();
        return new Site(
                listeners.values().stream()
                        .map(l -> new Site.Listener(l.address, new Router(l.hosts)))
                        .toList(),
                Map.copyOf(pools.pools()),
                limits,
                forwarded,
                operators);
    }

    private static Site.Limits readLimits(TableReader f) {
        Site.Limits limits = new Site.Limits(
                f.integer("sockets", 1024, 16, 1 << 20),
                (long) (f.number("bodies_mb", 16, 0, 1e6) * (1 << 20)),
                FieldParsers.secondsAsNs(f, "request_s", 60, 0.001),
                FieldParsers.secondsAsNs(f, "idle_s", 75, 0.001),
                FieldParsers.secondsAsNs(f, "stall_s", 60, 0.001),
                FieldParsers.secondsAsNs(f, "drain_s", 30, 0),
                FieldParsers.secondsAsNs(f, "retry_after_s", 1, 0));
        f.rejectUnknownKeys();
        return limits;
    }

    // ---- hosts and routes ----

    private void readHost(TableReader f) {
        List<String> names = f.stringList("names", List.of());
        boolean isDefault = f.bool("default", false);
        List<Route> priorityRoutes = new ArrayList<>();
        for (TableReader r : f.tables("first")) {
            priorityRoutes.add(routes.read(r, "(first)", null));
            r.rejectUnknownKeys();
        }
        Router.Host host = new Router.Host(names.isEmpty() ? "(default)" : names.get(0), priorityRoutes, routes(f, 0));
        List<ListenerBuilder> targets = new ArrayList<>();
        for (String l : f.stringList("listeners", List.copyOf(listeners.keySet()))) {
            if (listeners.containsKey(l)) {
                targets.add(listeners.get(l));
            } else {
                f.addProblem("listeners", "holds '" + l + "', which is not the address of a [[listener]]");
            }
        }
        if (listeners.isEmpty()) {
            targets.add(placeholderListener);
        }
        names.forEach(name -> addName(f, name, host, targets));
        if (names.isEmpty() && !isDefault) {
            f.addProblem("a host with no names must have default = true");
        }
        if (isDefault && targets.stream().anyMatch(l -> l.hasDefault)) {
            f.addProblem("default", "is already set for another host of the same listener");
        } else if (isDefault) {
            targets.forEach(l -> {
                l.hasDefault = true;
                l.hosts.defaultHost(host);
            });
        }
        f.rejectUnknownKeys();
    }

    private static void addName(TableReader f, String name, Router.Host host, List<ListenerBuilder> targets) {
        if (name.startsWith("~")) {
            Pattern p = FieldParsers.pattern(f, "names", name.substring(1), 0);
            if (p != null) {
                targets.forEach(l -> l.hosts.add(p, host));
            }
            return;
        }
        try {
            boolean isNew = true;
            for (ListenerBuilder l : targets) {
                isNew &= l.hosts.add(name, host);
            }
            if (!isNew) {
                f.addProblem("names", "holds '" + name + "', which another host already has");
            }
        } catch (IllegalArgumentException e) {
            f.addProblem("names", "holds an invalid name: " + e.getMessage());
        }
    }

    /** Reads the locations of a host or of a route; routes of one location are grouped, in their order. */
    private PathTable<List<Route>> routes(TableReader f, int depth) {
        PathTable<List<Route>> paths = new PathTable<>();
        Map<String, List<Route>> byLocation = new LinkedHashMap<>();
        for (TableReader r : f.tables("route")) {
            String path = r.string("path");
            PathKind match = r.choice("match", PathKind.class, PathKind.PREFIX);
            PathTable<List<Route>> nested = null;
            if (r.has("route") && depth >= MAX_ROUTE_DEPTH) {
                r.addProblem("route", "is nested more than " + MAX_ROUTE_DEPTH + " levels deep");
            } else if (r.has("route")) {
                nested = routes(r, depth + 1);
            }
            boolean regex = match == PathKind.REGEX || match == PathKind.REGEX_ANY_CASE;
            Route route = routes.read(r, path, regex ? null : path);
            r.rejectUnknownKeys();
            // A prefix is one location, whether it ends the search or not.
            String locationKey = (match == PathKind.PREFIX_ENDS ? PathKind.PREFIX : match) + " " + path;
            List<Route> locationRoutes = byLocation.get(locationKey);
            if (locationRoutes == null) {
                locationRoutes = new ArrayList<>();
                byLocation.put(locationKey, locationRoutes);
                addLocation(paths, r, match, path, locationRoutes, nested);
            } else if (nested != null) {
                r.addProblem("route", "must be nested in the first route of this path");
            }
            locationRoutes.add(route);
        }
        return paths;
    }

    private void addLocation(
            PathTable<List<Route>> paths,
            TableReader r,
            PathKind match,
            String path,
            List<Route> routes,
            PathTable<List<Route>> nested) {
        switch (match) {
            case EXACT -> paths.add(PathTable.Kind.EXACT, path, routes, nested);
            case PREFIX -> paths.add(PathTable.Kind.PREFIX, path, routes, nested);
            case PREFIX_ENDS -> paths.add(PathTable.Kind.PREFIX_ENDS, path, routes, nested);
            default -> {
                Pattern p =
                        FieldParsers.pattern(r, "path", path, match == PathKind.REGEX ? 0 : Pattern.CASE_INSENSITIVE);
                if (p != null) {
                    paths.add(p, routes, nested);
                }
                return;
            }
        }
        if (!path.startsWith("/")) {
            r.addProblem("path", "does not begin with /");
        }
    }
}
