package gullspar.importer;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The configuration as far as it is translated; comments say where each part comes from. */
final class Draft {
    /** A condition on a text made of the request: is, or matches, or a share in percent from and to. */
    record When(String of, String is, String matches, double from, double to) {
        static When is(String of, String value) {
            return new When(of, value, null, 0, 0);
        }

        static When matches(String of, String regex) {
            return new When(of, null, regex, 0, 0);
        }

        static When share(String of, double from, double to) {
            return new When(of, null, null, from, to);
        }
    }

    /** A server of a pool. */
    record Server(
            String comment,
            String address,
            int weight,
            boolean backup,
            boolean down,
            int maxFailures,
            double failS,
            double slowStartS,
            int maxConnections) {}

    /** A pool. */
    static final class Pool {
        final String comment;
        final List<Server> servers = new ArrayList<>();
        boolean learnt;
        int keepAlive = -1;
        double keepAliveS = -1;
        long connectMs;

        Pool(String comment) {
            this.comment = comment;
        }
    }

    /** Headers that change on the way. */
    static final class Headers {
        final Map<String, String> set = new LinkedHashMap<>();
        final Map<String, String> add = new LinkedHashMap<>();
        final Map<String, String> addOk = new LinkedHashMap<>();
        final Set<String> remove = new LinkedHashSet<>();

        boolean isEmpty() {
            return set.isEmpty() && add.isEmpty() && addOk.isEmpty() && remove.isEmpty();
        }
    }

    /** A route; without a path it is one of those that are looked at first. */
    static final class Route {
        String comment;
        String name;
        String match;
        String path;
        final List<When> when = new ArrayList<>();
        String pool;
        boolean safe;
        long deadlineMs;
        long attemptMs;
        int attempts;
        double bodyKb;
        List<String> retryOn = List.of();
        String rewritePattern;
        String rewriteTo;
        Headers request = new Headers();
        Headers answerHeaders = new Headers();
        int status;
        String body;
        String type;
        String location;
        final List<Route> nested = new ArrayList<>();
    }

    /** A virtual host. */
    static final class Host {
        final String comment;
        final List<String> names = new ArrayList<>();
        final Set<String> listeners = new LinkedHashSet<>();
        final Set<String> defaultAt = new LinkedHashSet<>();
        final List<Route> first = new ArrayList<>();
        final List<Route> routes = new ArrayList<>();

        Host(String comment) {
            this.comment = comment;
        }
    }

    /** By address; the comment of each. */
    final Map<String, String> listeners = new LinkedHashMap<>();

    final Map<String, Pool> pools = new LinkedHashMap<>();
    final List<Host> hosts = new ArrayList<>();
    double idleS = -1;
    double requestS = -1;
    double stallS = -1;
    /** Where a body may be larger than all of them together usually are: twice the largest. */
    double bodiesMb;
}
