package gullspar.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * Finds the route of a request: its host, its location by the path, and the first route of the location whose
 * methods and conditions match. Immutable once built.
 */
public final class Router {
    /**
     * A virtual host: its display name; the routes that are checked before all others, whatever the path; and
     * its locations, each with its routes in order.
     */
    public record Host(String name, List<Route> priorityRoutes, PathTable<List<Route>> paths) {}

    /**
     * The route with status 200, or null with the reason as status (404 or 405); the groups of the regular
     * expression that matched, group 0 first; and with 405 the allowed methods.
     */
    public record Result(Route route, int status, List<String> groups, Set<String> allowedMethods) {}

    private final HostTable<Host> hosts;

    public Router(HostTable<Host> hosts) {
        this.hosts = hosts;
    }

    /** Finds the route of a request; the result is never null. */
    public Result find(Request r) {
        return find(r, null);
    }

    /** Explains the search, one line for each step: what was checked, and why it matches or does not. */
    public List<String> explain(Request r) {
        List<String> explanation = new ArrayList<>();
        find(r, explanation);
        return explanation;
    }

    /** Adds a line to the explanation for each step, unless it is null. */
    private Result find(Request r, List<String> explanation) {
        HostTable.Match<Host> host = hosts.find(r.host());
        if (host == null) {
            addLine(explanation, () -> "no host matches '" + r.host() + "', and there is no default");
            return new Result(null, 404, List.of(), Set.of());
        }
        addLine(explanation, () -> "host " + host.host().name() + ": " + host.reason());
        for (Route route : host.host().priorityRoutes()) {
            String mismatch = route.mismatch(r);
            if (mismatch == null) {
                addLine(explanation, () -> "route " + route.name() + ", checked before all paths");
                return new Result(route, 200, route.capturedGroups(r, List.of()), Set.of());
            }
            addLine(explanation, () -> "not route " + route.name() + ": " + mismatch);
        }
        PathTable.Match<List<Route>> location = host.host().paths().find(r.path());
        if (location == null) {
            addLine(explanation, () -> "no place matches " + r.path());
            return new Result(null, 404, List.of(), Set.of());
        }
        addLine(
                explanation,
                () -> "place " + location.kind().name().toLowerCase(Locale.ROOT).replace('_', '-') + " "
                        + location.text());
        boolean methodAccepted = false;
        for (Route route : location.target()) {
            String mismatch = route.mismatch(r);
            if (mismatch == null) {
                addLine(explanation, () -> "route " + route.name());
                return new Result(route, 200, route.capturedGroups(r, location.groups()), Set.of());
            }
            addLine(explanation, () -> "not route " + route.name() + ": " + mismatch);
            methodAccepted |= route.acceptsMethod(r.method());
        }
        Set<String> allowed = new TreeSet<>();
        if (!methodAccepted) {
            location.target().forEach(route -> allowed.addAll(route.methods()));
        }
        return new Result(null, methodAccepted ? 404 : 405, location.groups(), allowed);
    }

    private static void addLine(List<String> explanation, Supplier<String> line) {
        if (explanation != null) {
            explanation.add(line.get());
        }
    }
}
