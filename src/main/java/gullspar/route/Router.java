package gullspar.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * Finds the route of a request: its host, its place by the path, and of the place's routes the first whose
 * method and conditions fit. Read only once it is built, and free of any state.
 */
public final class Router {
    /**
     * A virtual host: its name for people; routes that are looked at first, whatever the path; its places,
     * and of each place the routes in order.
     */
    public record Host(String name, List<Route> priorityRoutes, PathTable<List<Route>> paths) {}

    /**
     * What was found: the route, or null and the status that says why there is none (404 or 405); what the
     * place's regular expression caught, group 0 first; and with 405 the methods that are allowed.
     */
    public record Result(Route route, int status, List<String> groups, Set<String> allowedMethods) {}

    private final HostTable<Host> hosts;

    public Router(HostTable<Host> hosts) {
        this.hosts = hosts;
    }

    /** The route of a request. */
    public Result find(Request r) {
        return find(r, null);
    }

    /**
     * The same with the way to it, a line each, for people: what was looked at, and why it fits or does not.
     */
    public List<String> explain(Request r) {
        List<String> explanation = new ArrayList<>();
        find(r, explanation);
        return explanation;
    }

    private Result find(Request r, List<String> explanation) {
        HostTable.Match<Host> host = hosts.find(r.host());
        if (host == null) {
            addLine(explanation, () -> "no host fits '" + r.host() + "', and there is no default");
            return new Result(null, 404, List.of(), Set.of());
        }
        addLine(explanation, () -> "host " + host.host().name() + ": " + host.reason());
        for (Route route : host.host().priorityRoutes()) {
            String mismatch = route.mismatch(r);
            if (mismatch == null) {
                addLine(explanation, () -> "route " + route.name() + ", looked at first");
                return new Result(route, 200, route.capturedGroups(r, List.of()), Set.of());
            }
            addLine(explanation, () -> "not route " + route.name() + ": " + mismatch);
        }
        PathTable.Match<List<Route>> location = host.host().paths().find(r.path());
        if (location == null) {
            addLine(explanation, () -> "no place fits " + r.path());
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
