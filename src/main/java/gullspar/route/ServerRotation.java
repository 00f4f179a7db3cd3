package gullspar.route;

import java.util.ArrayList;
import java.util.List;

/**
 * Who of a pool is listed to its decision module at all: the primaries that are not out for their failures
 * and have a connection left; the backups where no primary is left; and if everyone is out then, every
 * primary, since a pool that lists nobody cannot find out that one is back. Where somebody is only at the
 * limit of connections nobody else is listed: requests wait for a place. A server is out for a time once it
 * has failed so often in such a time. No clock: callers give the time, in ns from any origin, never going
 * back.
 */
public final class ServerRotation {
    /**
     * A server as declared. weight: its share against the others' weights; maxFailures: so many within failNs
     * put it out for failNs, 0 for never; slowStartNs: its weight rises over that time after it was out, 0
     * for at once.
     */
    public record ServerSpec(
            String name, double weight, boolean backup, boolean down, int maxFailures, long failNs, long slowStartNs) {
        public ServerSpec {
            if (!(weight > 0) || maxFailures < 0 || failNs < 0 || slowStartNs < 0) {
                throw new IllegalArgumentException(
                        "a server's figures cannot be negative, its weight not " + "0: " + name);
            }
        }
    }

    /** A server that is listed now, with the weight that it has now. */
    public record WeightedServer(ServerSpec server, double weight) {}

    /** A weight that rises is told in so many steps. */
    private static final int SLOW_START_STEPS = 50;

    private static final long MIN_STEP_NS = 50_000_000L;

    private static final class ServerState {
        private final ServerSpec spec;
        private int failures;
        private long firstFailureAtNs;
        private long ejectedUntilNs;
        private boolean ejected;
        private boolean full;
        private long returnedAtNs = Long.MIN_VALUE;

        ServerState(ServerSpec declared) {
            this.spec = declared;
        }
    }

    private List<ServerState> servers = List.of();
    private boolean hasSingleServer;

    public ServerRotation(List<ServerSpec> declared) {
        reconfigure(declared);
    }

    /** Other servers from now on; those declared as before keep what is known of them. */
    public void reconfigure(List<ServerSpec> specs) {
        List<ServerState> states = new ArrayList<>();
        for (ServerSpec d : specs) {
            ServerState existing = server(d.name());
            states.add(existing != null && existing.spec.equals(d) ? existing : new ServerState(d));
        }
        servers = states;
        // With one server there is nobody to go to instead: its failures put nobody out.
        this.hasSingleServer = specs.stream().filter(d -> !d.down()).count() <= 1;
    }

    /** An attempt at a server failed; true if that changes who is listed. */
    public boolean onFailure(String name, long nowNs) {
        ServerState s = server(name);
        if (s == null || hasSingleServer || s.spec.maxFailures() == 0) {
            return false;
        }
        if (s.failures == 0 || nowNs - s.firstFailureAtNs > s.spec.failNs()) {
            s.failures = 0;
            s.firstFailureAtNs = nowNs;
        }
        s.failures++;
        if (s.failures < s.spec.maxFailures()) {
            return false;
        }
        s.failures = 0;
        boolean changed = !s.ejected;
        s.ejected = true;
        s.ejectedUntilNs = nowNs + s.spec.failNs();
        return changed;
    }

    /** An attempt at a server was answered; what it failed before no longer counts. */
    public void onResponse(String name) {
        ServerState s = server(name);
        if (s != null) {
            s.failures = 0;
        }
    }

    /** Is a server at its limit of connections? True if that changes who is listed. */
    public boolean setFull(String name, boolean full) {
        ServerState s = server(name);
        if (s == null || s.full == full) {
            return false;
        }
        s.full = full;
        return true;
    }

    private ServerState server(String name) {
        for (ServerState s : servers) {
            if (s.spec.name().equals(name)) {
                return s;
            }
        }
        return null;
    }

    /** When the list changes next by time alone; Long.MAX_VALUE if it does not. */
    public long nextChangeAtNs(long nowNs) {
        long nextNs = Long.MAX_VALUE;
        for (ServerState s : servers) {
            if (s.ejected) {
                nextNs = Math.min(nextNs, s.ejectedUntilNs);
            } else if (isInSlowStart(s, nowNs)) {
                nextNs = Math.min(nextNs, nowNs + Math.max(MIN_STEP_NS, s.spec.slowStartNs() / SLOW_START_STEPS));
            }
        }
        return Math.max(nextNs, nowNs);
    }

    /** Those that the decision module may choose from, in the order in which they were declared. */
    public List<WeightedServer> listedServers(long nowNs) {
        for (ServerState s : servers) {
            if (s.ejected && nowNs >= s.ejectedUntilNs) {
                s.ejected = false;
                s.returnedAtNs = nowNs;
            }
        }
        List<WeightedServer> primaries = select(nowNs, false, false);
        if (!primaries.isEmpty()) {
            return primaries;
        }
        List<WeightedServer> backups = select(nowNs, true, false);
        boolean anyFull = servers.stream().anyMatch(s -> s.full && !s.ejected && !s.spec.down());
        return backups.isEmpty() && !anyFull ? select(nowNs, false, true) : backups;
    }

    private List<WeightedServer> select(long nowNs, boolean backup, boolean includeEjected) {
        List<WeightedServer> list = new ArrayList<>();
        for (ServerState s : servers) {
            if (s.spec.backup() == backup && !s.spec.down() && !s.full && (includeEjected || !s.ejected)) {
                list.add(new WeightedServer(s.spec, currentWeight(s, nowNs)));
            }
        }
        return list;
    }

    private static boolean isInSlowStart(ServerState s, long nowNs) {
        return s.returnedAtNs != Long.MIN_VALUE && nowNs - s.returnedAtNs < s.spec.slowStartNs();
    }

    /** From a hundredth of the declared weight up to all of it, in a line. */
    private static double currentWeight(ServerState s, long nowNs) {
        return !isInSlowStart(s, nowNs)
                ? s.spec.weight()
                : s.spec.weight() * Math.max(0.01, (nowNs - s.returnedAtNs) / (double) s.spec.slowStartNs());
    }
}
