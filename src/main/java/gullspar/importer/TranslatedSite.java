package gullspar.importer;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The content of the operators' file as translated so far. Each comment names the nginx directive from which a
 * part comes. A negative time or number is not set.
 */
final class TranslatedSite {
    /**
     * A condition on an expanded template: it equals a text, a regular expression is found in it, or its hash is
     * in a share from and to a percentage; the other two are null or 0.
     */
    record Condition(String template, String equalTo, String regex, double fromPercent, double toPercent) {
        static Condition equalTo(String template, String value) {
            return new Condition(template, value, null, 0, 0);
        }

        static Condition regex(String template, String regex) {
            return new Condition(template, null, regex, 0, 0);
        }

        static Condition share(String template, double fromPercent, double toPercent) {
            return new Condition(template, null, null, fromPercent, toPercent);
        }
    }

    /** A server of a pool; its comment is null if the pool is made for an address in proxy_pass. */
    record Server(
            String comment,
            String address,
            int weight,
            boolean backup,
            boolean down,
            int maxFailures,
            double failTimeoutS,
            double slowStartS,
            int maxConnections) {}

    /** A pool; with learntBalance it balances by learnt weights instead of the configured ones. */
    static final class Pool {
        final String comment;
        final List<Server> servers = new ArrayList<>();
        boolean learntBalance;
        int maxIdle = -1;
        double idleTimeoutS = -1;
        long connectTimeoutMs;

        Pool(String comment) {
            this.comment = comment;
        }
    }

    /** Changes to header fields; addOk holds those of add_header without always. */
    static final class HeaderChanges {
        final Map<String, String> set = new LinkedHashMap<>();
        final Map<String, String> add = new LinkedHashMap<>();
        final Map<String, String> addOk = new LinkedHashMap<>();
        final Set<String> remove = new LinkedHashSet<>();

        boolean isEmpty() {
            return set.isEmpty() && add.isEmpty() && addOk.isEmpty() && remove.isEmpty();
        }
    }

    /** A route; one of the priority routes of a host has no path, and a fixed response has no pool. */
    static final class Route {
        String comment;
        String name;
        String match;
        String path;
        final List<Condition> conditions = new ArrayList<>();
        String pool;
        boolean safe;
        long deadlineMs;
        long attemptTimeoutMs;
        int maxAttempts;
        double maxBodyKb;
        List<String> retryStatuses = List.of();
        String rewritePattern;
        String rewriteReplacement;
        HeaderChanges requestHeaders = new HeaderChanges();
        HeaderChanges responseHeaders = new HeaderChanges();
        int status;
        String body;
        String contentType;
        String location;
        final List<Route> nested = new ArrayList<>();
    }

    /** A virtual host: priority routes are tried before the routes by path. */
    static final class Host {
        final String comment;
        final List<String> names = new ArrayList<>();
        final Set<String> listeners = new LinkedHashSet<>();
        final Set<String> defaultListeners = new LinkedHashSet<>();
        final List<Route> priorityRoutes = new ArrayList<>();
        final List<Route> routes = new ArrayList<>();

        Host(String comment) {
            this.comment = comment;
        }
    }

    /** The comment of each listener, by address. */
    final Map<String, String> listeners = new LinkedHashMap<>();

    final Map<String, Pool> pools = new LinkedHashMap<>();
    final List<Host> hosts = new ArrayList<>();
    double idleTimeoutS = -1;
    double requestTimeoutS = -1;
    double stallTimeoutS = -1;
    /** Twice the largest body if one may exceed the 16 MB that all bodies share by default; else 0. */
    double maxBodiesMb;
}
