package gullspar.route;

import java.util.List;
import java.util.Set;

/**
 * What becomes of a request that belongs to a place and fits the conditions. Times in ns, sizes in bytes;
 * methods empty: any. Either it goes to a pool, or it is answered here.
 */
public record Route(String name, Set<String> methods, List<Condition> conditions, ToPool pool, Answer answer) {
    /**
     * May a request run twice? BY_METHOD: GET, HEAD and OPTIONS may, nothing else (RFC 9110, section 9.2.1).
     */
    public enum Kind {
        BY_METHOD,
        SAFE,
        KEYED,
        UNSAFE
    }

    /**
     * To a pool: what kind of requests, how they change on the way there and their answers on the way back.
     */
    public record ToPool(
            String pool, Kind kind, Limits limits, Rewrite rewrite, HeaderChanges request, HeaderChanges answer) {}

    /**
     * A final answer begins within the deadline; in so many attempts at the most, each of at most attemptNs
     * (0: as long as the deadline leaves); with a body of at most so much. An answer with a status of retryOn
     * counts as a failed attempt. A keyed request's repeats are dropped for rememberedNs.
     */
    public record Limits(
            long deadlineNs, int attempts, long attemptNs, long bodyBytes, Set<Integer> retryOn, long rememberedNs) {
        public Limits {
            retryOn = Set.copyOf(retryOn);
        }
    }

    /** A fixed answer: a status, and a body or a place to go to, or neither. */
    public record Answer(int status, Template body, String type, Template location, HeaderChanges headers) {}

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
            return "its method is not "
                    + String.join(", ", methods.stream().sorted().toList());
        }
        for (Condition c : conditions) {
            if (c.fits(r) == null) {
                return "not so: " + c;
            }
        }
        return null;
    }

    /** What regular expressions caught of a request that fits: the last condition's, else the place's. */
    List<String> caught(Request r, List<String> byPlace) {
        List<String> groups = byPlace;
        for (Condition c : conditions) {
            List<String> own = c.fits(r);
            groups = own == null || own.isEmpty() ? groups : own;
        }
        return groups;
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
