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
public final class Members {
    /**
     * A server as declared. weight: its share against the others' weights; maxFailures: so many within failNs
     * put it out for failNs, 0 for never; slowStartNs: its weight rises over that time after it was out, 0
     * for at once.
     */
    public record Declared(
            String name, double weight, boolean backup, boolean down, int maxFailures, long failNs, long slowStartNs) {
        public Declared {
            if (!(weight > 0) || maxFailures < 0 || failNs < 0 || slowStartNs < 0) {
                throw new IllegalArgumentException(
                        "a server's figures cannot be negative, its weight not " + "0: " + name);
            }
        }
    }

    /** A server that is listed now, with the weight that it has now. */
    public record Listed(Declared server, double weight) {}

    /** A weight that rises is told in so many steps. */
    private static final int SLOW_STEPS = 50;

    private static final long SHORTEST_STEP_NS = 50_000_000L;

    private static final class Server {
        private final Declared declared;
        private int failures;
        private long firstFailureAt;
        private long outUntil;
        private boolean out;
        private boolean full;
        private long backAt = Long.MIN_VALUE;

        Server(Declared declared) {
            this.declared = declared;
        }
    }

    private List<Server> servers = List.of();
    private boolean alone;

    public Members(List<Declared> declared) {
        declare(declared);
    }

    /** Other servers from now on; those declared as before keep what is known of them. */
    public void declare(List<Declared> declared) {
        List<Server> next = new ArrayList<>();
        for (Declared d : declared) {
            Server known = server(d.name());
            next.add(known != null && known.declared.equals(d) ? known : new Server(d));
        }
        servers = next;
        // With one server there is nobody to go to instead: its failures put nobody out.
        this.alone = declared.stream().filter(d -> !d.down()).count() <= 1;
    }

    /** An attempt at a server failed; true if that changes who is listed. */
    public boolean failed(String name, long now) {
        Server s = server(name);
        if (s == null || alone || s.declared.maxFailures() == 0) {
            return false;
        }
        if (s.failures == 0 || now - s.firstFailureAt > s.declared.failNs()) {
            s.failures = 0;
            s.firstFailureAt = now;
        }
        s.failures++;
        if (s.failures < s.declared.maxFailures()) {
            return false;
        }
        s.failures = 0;
        boolean changes = !s.out;
        s.out = true;
        s.outUntil = now + s.declared.failNs();
        return changes;
    }

    /** An attempt at a server was answered; what it failed before no longer counts. */
    public void answered(String name) {
        Server s = server(name);
        if (s != null) {
            s.failures = 0;
        }
    }

    /** Is a server at its limit of connections? True if that changes who is listed. */
    public boolean full(String name, boolean full) {
        Server s = server(name);
        if (s == null || s.full == full) {
            return false;
        }
        s.full = full;
        return true;
    }

    private Server server(String name) {
        for (Server s : servers) {
            if (s.declared.name().equals(name)) {
                return s;
            }
        }
        return null;
    }

    /** When the list changes next by time alone; Long.MAX_VALUE if it does not. */
    public long changesAt(long now) {
        long next = Long.MAX_VALUE;
        for (Server s : servers) {
            if (s.out) {
                next = Math.min(next, s.outUntil);
            } else if (rising(s, now)) {
                next = Math.min(next, now + Math.max(SHORTEST_STEP_NS, s.declared.slowStartNs() / SLOW_STEPS));
            }
        }
        return Math.max(next, now);
    }

    /** Those that the decision module may choose from, in the order in which they were declared. */
    public List<Listed> listed(long now) {
        for (Server s : servers) {
            if (s.out && now >= s.outUntil) {
                s.out = false;
                s.backAt = now;
            }
        }
        List<Listed> primaries = of(now, false, false);
        if (!primaries.isEmpty()) {
            return primaries;
        }
        List<Listed> backups = of(now, true, false);
        boolean waits = servers.stream().anyMatch(s -> s.full && !s.out && !s.declared.down());
        return backups.isEmpty() && !waits ? of(now, false, true) : backups;
    }

    private List<Listed> of(long now, boolean backup, boolean alsoOut) {
        List<Listed> list = new ArrayList<>();
        for (Server s : servers) {
            if (s.declared.backup() == backup && !s.declared.down() && !s.full && (alsoOut || !s.out)) {
                list.add(new Listed(s.declared, weight(s, now)));
            }
        }
        return list;
    }

    private static boolean rising(Server s, long now) {
        return s.backAt != Long.MIN_VALUE && now - s.backAt < s.declared.slowStartNs();
    }

    /** From a hundredth of the declared weight up to all of it, in a line. */
    private static double weight(Server s, long now) {
        return !rising(s, now)
                ? s.declared.weight()
                : s.declared.weight() * Math.max(0.01, (now - s.backAt) / (double) s.declared.slowStartNs());
    }
}
