package gullspar.route;

import java.util.ArrayList;
import java.util.List;

/**
 * Selects the servers of a pool that are listed to its decision module: the primaries that are neither ejected
 * nor at their connection limit; if there are none, the backups that are neither; and if all servers are ejected,
 * every primary below its connection limit, since a pool with an empty list could not notice that a server has
 * recovered. If a server that is not ejected is at its connection limit, ejected primaries stay unlisted and
 * requests wait for a connection. Servers that are configured as down are never listed.
 * A server is ejected for failNs after maxFailures failures within failNs. The class reads no clock: callers
 * pass the time in ns from any origin, and it must not go back.
 */
public final class ServerRotation {
    /**
     * The settings of a server. weight: relative to those of the other servers; maxFailures: this many failures
     * within failNs eject it for failNs, 0 for never; slowStartNs: the time over which its weight rises after
     * an ejection, 0 for full weight at once.
     */
    public record ServerSpec(
            String name, double weight, boolean backup, boolean down, int maxFailures, long failNs, long slowStartNs) {
        public ServerSpec {
            if (!(weight > 0) || maxFailures < 0 || failNs < 0 || slowStartNs < 0) {
                throw new IllegalArgumentException(
                        "server " + name + ": the weight must be above 0, and no setting negative: weight " + weight
                                + ", maxFailures " + maxFailures + ", failNs " + failNs + ", slowStartNs "
                                + slowStartNs);
            }
        }
    }

    /** A listed server with its current weight. */
    public record WeightedServer(ServerSpec server, double weight) {}

    /** The number of list updates in which a weight rises during slow start. */
    private static final int SLOW_START_STEPS = 50;

    /** The shortest time between two list updates of a slow start. */
    private static final long MIN_STEP_NS = 50_000_000L;

    private static final class ServerState {
        private final ServerSpec spec;
        private int failures;
        private long firstFailureAtNs;
        private long ejectedUntilNs;
        private boolean ejected;
        private boolean full;
        private long returnedAtNs = Long.MIN_VALUE;

        ServerState(ServerSpec spec) {
            this.spec = spec;
        }
    }

    private List<ServerState> servers = List.of();
    private boolean hasSingleServer;

    public ServerRotation(List<ServerSpec> specs) {
        reconfigure(specs);
    }

    /** Replaces the servers; those with unchanged settings keep their state. */
    public void reconfigure(List<ServerSpec> specs) {
        List<ServerState> states = new ArrayList<>();
        for (ServerSpec spec : specs) {
            ServerState existing = server(spec.name());
            states.add(existing != null && existing.spec.equals(spec) ? existing : new ServerState(spec));
        }
        servers = states;
        // The only server that is not down is never ejected: no other could take its requests.
        this.hasSingleServer = specs.stream().filter(s -> !s.down()).count() <= 1;
    }

    /** Records a failed attempt; returns true if that changes the list. */
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

    /** Records a response from a server, which resets its failure count. */
    public void onResponse(String name) {
        ServerState s = server(name);
        if (s != null) {
            s.failures = 0;
        }
    }

    /** Sets whether a server is at its connection limit; returns true if that has changed. */
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

    /** Returns when the list next changes by time alone; Long.MAX_VALUE if it does not. */
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

    /**
     * Returns the servers that the decision module may choose from, in the order of the settings. Ends the
     * ejections whose time has passed.
     */
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

    /** Returns the weight: during slow start it rises linearly from a hundredth of the configured one to all of it. */
    private static double currentWeight(ServerState s, long nowNs) {
        return !isInSlowStart(s, nowNs)
                ? s.spec.weight()
                : s.spec.weight() * Math.max(0.01, (nowNs - s.returnedAtNs) / (double) s.spec.slowStartNs());
    }
}
