package gullspar.versions;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The states of the followers known to a control process: its own, and at the primary those of all. */
public final class Registry {
    private static final class Entry {
        private boolean control;
        private long epoch;
        private long number;
        private String trouble = "";
        private String via;
        /** When it disconnected; CONNECTED while it is connected. */
        private long disconnectedAtNs;
    }

    /** Rollout of a version: number of followers, how many run it or a newer one, and the others. */
    public record Progress(int followers, int inForce, List<Message.FollowerState> missing) {}

    private static final long CONNECTED = -1;
    private static final long NS_PER_MS = 1_000_000L;

    private final long retentionNs;
    private final int maxEntries;
    private final Map<String, Entry> entries = new TreeMap<>();
    private final Set<String> changed = new LinkedHashSet<>();

    /** Followers disconnected for longer than retentionNs are evicted; new ones beyond maxEntries are ignored. */
    public Registry(long retentionNs, int maxEntries) {
        this.retentionNs = retentionNs;
        this.maxEntries = maxEntries;
    }

    /** Records the version of a connected follower, or null. */
    public void recordVersion(String name, boolean control, Version v, String trouble, String via) {
        update(name, control, v == null ? 0 : v.epoch(), v == null ? 0 : v.number(), trouble, via, CONNECTED);
    }

    /** Records a disconnect, unless the follower has connected to another control process since. */
    public void recordDisconnect(long now, String name, String via) {
        Entry e = entries.get(name);
        if (e != null && e.disconnectedAtNs == CONNECTED && e.via.equals(via)) {
            e.disconnectedAtNs = now;
            changed.add(name);
        }
    }

    /** Records a disconnect of all followers of a control process that has itself disconnected. */
    public void recordControlLost(long now, String via) {
        for (String name : List.copyOf(entries.keySet())) {
            recordDisconnect(now, name, via);
        }
    }

    /** Merges a state reported by another control process. */
    public void merge(long now, Message.FollowerState reported) {
        Entry e = entries.get(reported.name());
        if (reported.awayMs() > 0) {
            if (e == null || e.via.equals(reported.via())) {
                update(
                        reported.name(),
                        reported.control(),
                        reported.epoch(),
                        reported.number(),
                        reported.trouble(),
                        reported.via(),
                        now - reported.awayMs() * NS_PER_MS);
            }
        } else {
            update(
                    reported.name(),
                    reported.control(),
                    reported.epoch(),
                    reported.number(),
                    reported.trouble(),
                    reported.via(),
                    CONNECTED);
        }
    }

    private void update(
            String name, boolean control, long epoch, long number, String trouble, String via, long disconnectedAtNs) {
        Entry e = entries.get(name);
        if (e == null) {
            if (entries.size() >= maxEntries) {
                return;
            }
            e = new Entry();
            entries.put(name, e);
        } else if (e.epoch == epoch
                && e.number == number
                && e.trouble.equals(trouble)
                && e.via.equals(via)
                && e.disconnectedAtNs == disconnectedAtNs) {
            return;
        }
        e.control = control;
        e.epoch = epoch;
        e.number = number;
        e.trouble = trouble;
        e.via = via;
        e.disconnectedAtNs = disconnectedAtNs;
        changed.add(name);
    }

    /** Evicts followers disconnected for longer than the retention time. */
    public void evictExpired(long now) {
        entries.values().removeIf(e -> e.disconnectedAtNs != CONNECTED && now - e.disconnectedAtNs > retentionNs);
    }

    private static Message.FollowerState stateOf(long now, String name, Entry e) {
        return new Message.FollowerState(
                name,
                e.control,
                e.epoch,
                e.number,
                e.trouble,
                e.disconnectedAtNs == CONNECTED ? 0 : Math.max(1, (now - e.disconnectedAtNs) / NS_PER_MS),
                e.via);
    }

    /** All states, by name. */
    public List<Message.FollowerState> all(long now) {
        List<Message.FollowerState> all = new ArrayList<>();
        entries.forEach((name, e) -> all.add(stateOf(now, name, e)));
        return all;
    }

    /** The states changed since the previous call. */
    public List<Message.FollowerState> changes(long now) {
        List<Message.FollowerState> all = new ArrayList<>();
        for (String name : changed) {
            Entry e = entries.get(name);
            if (e != null) {
                all.add(stateOf(now, name, e));
            }
        }
        changed.clear();
        return all;
    }

    /** Marks all as changed, for a new receiver of the changes. */
    public void markAllChanged() {
        changed.addAll(entries.keySet());
    }

    /** The rollout of a version; with null all count as up to date. */
    public Progress progress(long now, Version v) {
        List<Message.FollowerState> missing = new ArrayList<>();
        entries.forEach((name, e) -> {
            boolean behind = v != null && (e.epoch < v.epoch() || e.epoch == v.epoch() && e.number < v.number());
            if (behind) {
                missing.add(stateOf(now, name, e));
            }
        });
        return new Progress(entries.size(), entries.size() - missing.size(), missing);
    }
}
