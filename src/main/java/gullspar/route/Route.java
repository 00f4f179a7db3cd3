package gullspar.route;

import java.util.List;
import java.util.Set;

/**
 * What becomes of a request that belongs to a place and fits the conditions. Times in ns, sizes in bytes;
 * methods empty: any. Either it goes to a pool, or it is answered here.
 */
public record Route(
        String name, Set<String> methods, List<Condition> conditions, PoolTarget pool, FixedResponse fixedResponse) {
    /**
     * May a request run twice? BY_METHOD: GET, HEAD and OPTIONS may, nothing else (RFC 9110, section 9.2.1).
     */
    public enum RequestClass {
        BY_METHOD,
        SAFE,
        KEYED,
        UNSAFE
    }

    /**
     * To a pool: what kind of requests, how they change on the way there and their answers on the way back.
     */
    public record PoolTarget(
            String pool,
            RequestClass requestClass,
            Limits limits,
            Rewrite rewrite,
            HeaderChanges requestHeaders,
            HeaderChanges responseHeaders) {}

    /**
     * A final answer begins within the deadline; in so many attempts at the most, each of at most attemptNs
     * (0: as long as the deadline leaves); with a body of at most so much. An answer with a status of retryOn
     * counts as a failed attempt. A keyed request's repeats are dropped for rememberedNs.
     */
    public record Limits(
            long deadlineNs,
            int maxAttempts,
            long attemptTimeoutNs,
            long maxBodyBytes,
            Set<Integer> retryStatuses,
            long keyRetentionNs) {
        public Limits {
            retryStatuses = Set.copyOf(retryStatuses);
        }
    }

    /** A fixed answer: a status, and a body or a place to go to, or neither. */
    public record FixedResponse(int status, Template body, String type, Template location, HeaderChanges headers) {}

    public Route {
        methods = Set.copyOf(methods);
        conditions = List.copyOf(conditions);
        if ((pool == null) == (fixedResponse == null)) {
            throw new IllegalArgumentException("a route goes to a pool or is answered: " + name);
        }
    }

    /** Why a request does not fit; null if it does. */
    String mismatch(Request r) {
        if (!methods.isEmpty() && !methods.contains(r.method())) {
            return "its method is not "
                    + String.join(", ", methods.stream().sorted().toList());
        }
        for (Condition c : conditions) {
            if (c.match(r) == null) {
                return "not so: " + c;
            }
        }
        return null;
    }

    /** What regular expressions caught of a request that fits: the last condition's, else the place's. */
    List<String> capturedGroups(Request r, List<String> locationGroups) {
        List<String> groups = locationGroups;
        for (Condition c : conditions) {
            List<String> own = c.match(r);
            groups = own == null || own.isEmpty() ? groups : own;
        }
        return groups;
    }

    boolean acceptsMethod(String method) {
        return methods.isEmpty() || methods.contains(method);
    }

    /** The kind of a request of that method on this route. */
    public static RequestClass resolveClass(RequestClass declared, String method) {
        if (declared != RequestClass.BY_METHOD) {
            return declared;
        }
        return switch (method) {
            case "GET", "HEAD", "OPTIONS" -> RequestClass.SAFE;
            default -> RequestClass.UNSAFE;
        };
    }
}
