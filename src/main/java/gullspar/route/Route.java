package gullspar.route;

import java.util.List;
import java.util.Set;

/**
 * A route: requests of its location that match its methods (empty for any) and conditions are forwarded to a
 * pool or get a fixed response; exactly one of the two is set, the other is null.
 */
public record Route(
        String name, Set<String> methods, List<Condition> conditions, PoolTarget pool, FixedResponse fixedResponse) {
    /**
     * Whether a request may be repeated. BY_METHOD: GET, HEAD and OPTIONS are safe, all others are not (RFC
     * 9110, section 9.2.1). KEYED: with an Idempotency-Key it may be, as repeats are discarded by key; without
     * one it must not run twice.
     */
    public enum RequestClass {
        BY_METHOD,
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Forwarding to a pool: the class of the requests, their limits, and the changes to the headers. */
    public record PoolTarget(
            String pool,
            RequestClass requestClass,
            Limits limits,
            Rewrite rewrite,
            HeaderChanges requestHeaders,
            HeaderChanges responseHeaders) {}

    /**
     * Limits of one request. The final response must begin within the deadline, in at most maxAttempts attempts
     * of at most attemptTimeoutNs each (0: the rest of the deadline). A response with a status of retryStatuses
     * counts as a failed attempt. Repeats of a keyed request are dropped for keyRetentionNs.
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

    /** A fixed response: a status, and a body, a Location or neither. */
    public record FixedResponse(int status, Template body, String type, Template location, HeaderChanges headers) {}

    public Route {
        methods = Set.copyOf(methods);
        conditions = List.copyOf(conditions);
        if ((pool == null) == (fixedResponse == null)) {
            throw new IllegalArgumentException("a route needs either a pool or a fixed response: " + name);
        }
    }

    /** Returns why a request does not match; null if it does. */
    String mismatch(Request r) {
        if (!methods.isEmpty() && !methods.contains(r.method())) {
            return "its method is not "
                    + String.join(", ", methods.stream().sorted().toList());
        }
        for (Condition c : conditions) {
            if (c.match(r) == null) {
                return "condition not met: " + c;
            }
        }
        return null;
    }

    /** Returns the groups of the last condition that has any, else those of the location. */
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

    /** Returns the class of a request with that method, BY_METHOD resolved. */
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
