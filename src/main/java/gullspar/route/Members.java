package gullspar.route;

import java.util.ArrayList;
import java.util.List;

/**
 * Who of a pool is listed to its decision module at all: the primaries that are not out for their failures;
 * the backups where no primary is left; and if there is nobody then, every primary, since a pool that lists
 * nobody cannot find out that one is back. A server is out for a time once it has failed so often in such a
 * time. No clock: callers give the time, in ns from any origin, never going back.
 */
public final class Members {
    /**
     * A server as declared. weight: its share against the others' weights; maxFailures: so many within failNs
     * put it out for failNs, 0 for never; slowStartNs: its weight rises over that time after it was out, 0
     * for at once.
     */
    public record Declared(String name, double weight, boolean backup, boolean down, int maxFailures,
            long failNs,
            long slowStartNs) {
        public Declared {
            if (!(weight > 0) || maxFailures < 0 || failNs < 0 || slowStartNs < 0) {
                throw new IllegalArgumentException("a server's figures cannot be negative, its weight not "
                        + "0: " + name);
            }
        }
    }

    /** A server that is listed now, with the weight that it has now. */
    public record Listed(Declared server, double weight) { }

    private static final class Server {
        private final Declared declared;
        private int failures;
        private long firstFailureAt;
        private long outUntil;
        private boolean out;
        private long backAt = Long.MIN_VALUE;

        Server(Declared declared) {
            this.declared = declared;
        }
    }

    private final List<Server> servers = new ArrayList<>();
    private final boolean alone;

    public Members(List<Declared> declared) {
        declared.forEach(d -> servers.add(new Server(d)));
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
        return backups.isEmpty() ? of(now, false, true) : backups;
    }

    private List<Listed> of(long now, boolean backup, boolean alsoOut) {
        List<Listed> list = new ArrayList<>();
        for (Server s : servers) {
            if (s.declared.backup() == backup && !s.declared.down() && (alsoOut || !s.out)) {
                list.add(new Listed(s.declared, weight(s, now)));
            }
        }
        return list;
    }

    /** From a hundredth of the declared weight up to all of it, in a line. */
    private static double weight(Server s, long now) {
        long slow = s.declared.slowStartNs();
        if (slow == 0 || s.backAt == Long.MIN_VALUE || now - s.backAt >= slow) {
            return s.declared.weight();
        }
        return s.declared.weight() * Math.max(0.01, (now - s.backAt) / (double) slow);
    }
}
