package gullspar.route;

import java.util.List;
import java.util.Set;

/**
 * What becomes of a request that belongs to a place and fits the conditions. Times in ns, sizes in bytes;
 * methods empty: any. Either it goes to a pool, or it is answered here.
 */
public record Route(String name, Set<String> methods, List<Condition> conditions, ToPool pool,
        Answer answer) {
    /**
     * May a request run twice? BY_METHOD: GET, HEAD and OPTIONS may, nothing else (RFC 9110, section 9.2.1).
     */
    public enum Kind { BY_METHOD, SAFE, KEYED, UNSAFE }

    /** To a pool, within that time, in so many attempts at the most, with a body of at most that. */
    public record ToPool(String pool, Kind kind, long deadlineNs, int attempts, long bodyBytes,
            Rewrite rewrite) { }

    /** A fixed answer: a status, and a body or a place to go to, or neither. */
    public record Answer(int status, String body, String location) { }

    public Route {
        methods = Set.copyOf(methods);
        conditions = List.copyOf(conditions);
        if ((pool == null) == (answer == null)) {
            throw new IllegalArgumentException("a route goes to a pool or is answered: " + name);
        }
    }

    /** Why a request does not fit; null if it does. */
    String unfit(Request r) {
        if (!methods.isEmpty() && !methods.contains(r.method())) {
            return "its method is not " + String.join(", ", methods.stream().sorted().toList());
        }
        for (Condition c : conditions) {
            if (!c.fits(r)) {
                return "not so: " + c;
            }
        }
        return null;
    }

    boolean takesMethod(String method) {
        return methods.isEmpty() || methods.contains(method);
    }

    /** The kind of a request of that method on this route. */
    public static Kind kind(Kind declared, String method) {
        if (declared != Kind.BY_METHOD) {
            return declared;
        }
        return switch (method) {
            case "GET", "HEAD", "OPTIONS" -> Kind.SAFE;
            default -> Kind.UNSAFE;
        };
    }
}
