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
    public record Host(String name, List<Route> first, Paths<List<Route>> paths) {}

    /**
     * What was found: the route, or null and the status that says why there is none (404 or 405); what the
     * place's regular expression caught, group 0 first; and with 405 the methods that are allowed.
     */
    public record Found(Route route, int status, List<String> groups, Set<String> allowed) {}

    private final Hosts<Host> hosts;

    public Router(Hosts<Host> hosts) {
        this.hosts = hosts;
    }

    /** The route of a request. */
    public Found find(Request r) {
        return find(r, null);
    }

    /**
     * The same with the way to it, a line each, for people: what was looked at, and why it fits or does not.
     */
    public List<String> explain(Request r) {
        List<String> why = new ArrayList<>();
        find(r, why);
        return why;
    }

    private Found find(Request r, List<String> why) {
        Hosts.Found<Host> host = hosts.find(r.host());
        if (host == null) {
            say(why, () -> "no host fits '" + r.host() + "', and there is no default");
            return new Found(null, 404, List.of(), Set.of());
        }
        say(why, () -> "host " + host.host().name() + ": " + host.why());
        for (Route route : host.host().first()) {
            String unfit = route.unfit(r);
            if (unfit == null) {
                say(why, () -> "route " + route.name() + ", looked at first");
                return new Found(route, 200, route.caught(r, List.of()), Set.of());
            }
            say(why, () -> "not route " + route.name() + ": " + unfit);
        }
        Paths.Found<List<Route>> place = host.host().paths().find(r.path());
        if (place == null) {
            say(why, () -> "no place fits " + r.path());
            return new Found(null, 404, List.of(), Set.of());
        }
        say(why, () -> "place " + place.kind().name().toLowerCase(Locale.ROOT).replace('_', '-') + " " + place.text());
        boolean method = false;
        for (Route route : place.target()) {
            String unfit = route.unfit(r);
            if (unfit == null) {
                say(why, () -> "route " + route.name());
                return new Found(route, 200, route.caught(r, place.groups()), Set.of());
            }
            say(why, () -> "not route " + route.name() + ": " + unfit);
            method |= route.takesMethod(r.method());
        }
        Set<String> allowed = new TreeSet<>();
        if (!method) {
            place.target().forEach(route -> allowed.addAll(route.methods()));
        }
        return new Found(null, method ? 404 : 405, place.groups(), allowed);
    }

    private static void say(List<String> why, Supplier<String> line) {
        if (why != null) {
            why.add(line.get());
        }
    }
}
