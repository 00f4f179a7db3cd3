package gullspar.versions;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Who runs what, as far as a control process knows: its own followers, and at the primary everybody's. */
public final class Registry {
    private static final class Entry {
        private boolean control;
        private long epoch;
        private long number;
        private String trouble = "";
        private String via;
        /** When it was last connected; it is now if -1. */
        private long goneAt;
    }

    /** How far a version has come: who there is, those that run it or a newer one, and the others. */
    public record Standing(int followers, int inForce, List<Message.Running> missing) {}

    private static final long CONNECTED = -1;
    private static final long MS = 1_000_000L;

    private final long forgetNs;
    private final int most;
    private final Map<String, Entry> entries = new TreeMap<>();
    private final Set<String> changed = new LinkedHashSet<>();

    /** Those that are away for longer than that are forgotten; so are further ones than that many. */
    public Registry(long forgetNs, int most) {
        this.forgetNs = forgetNs;
        this.most = most;
    }

    /** A follower that is connected here runs that; null for nothing. */
    public void running(String name, boolean control, Version v, String trouble, String via) {
        set(name, control, v == null ? 0 : v.epoch(), v == null ? 0 : v.number(), trouble, via, CONNECTED);
    }

    /** It is not connected there any more; it may be elsewhere. */
    public void gone(long now, String name, String via) {
        Entry e = entries.get(name);
        if (e != null && e.goneAt == CONNECTED && e.via.equals(via)) {
            e.goneAt = now;
            changed.add(name);
        }
    }

    /** None of those that one control process told of is known to be there, since it is gone itself. */
    public void lost(long now, String via) {
        for (String name : List.copyOf(entries.keySet())) {
            gone(now, name, via);
        }
    }

    /** Another control process tells of somebody. */
    public void told(long now, Message.Running r) {
        Entry e = entries.get(r.name());
        if (r.awayMs() > 0) {
            if (e == null || e.via.equals(r.via())) {
                set(r.name(), r.control(), r.epoch(), r.number(), r.trouble(), r.via(), now - r.awayMs() * MS);
            }
        } else {
            set(r.name(), r.control(), r.epoch(), r.number(), r.trouble(), r.via(), CONNECTED);
        }
    }

    private void set(String name, boolean control, long epoch, long number, String trouble, String via, long goneAt) {
        Entry e = entries.get(name);
        if (e == null) {
            if (entries.size() >= most) {
                return;
            }
            e = new Entry();
            entries.put(name, e);
        } else if (e.epoch == epoch
                && e.number == number
                && e.trouble.equals(trouble)
                && e.via.equals(via)
                && e.goneAt == goneAt) {
            return;
        }
        e.control = control;
        e.epoch = epoch;
        e.number = number;
        e.trouble = trouble;
        e.via = via;
        e.goneAt = goneAt;
        changed.add(name);
    }

    /** Forgets those that have been away for too long. */
    public void forget(long now) {
        entries.values().removeIf(e -> e.goneAt != CONNECTED && now - e.goneAt > forgetNs);
    }

    private static Message.Running running(long now, String name, Entry e) {
        return new Message.Running(
                name,
                e.control,
                e.epoch,
                e.number,
                e.trouble,
                e.goneAt == CONNECTED ? 0 : Math.max(1, (now - e.goneAt) / MS),
                e.via);
    }

    /** Everybody, by name. */
    public List<Message.Running> all(long now) {
        List<Message.Running> all = new ArrayList<>();
        entries.forEach((name, e) -> all.add(running(now, name, e)));
        return all;
    }

    /** Those of whom something has changed since this was last called. */
    public List<Message.Running> changes(long now) {
        List<Message.Running> all = new ArrayList<>();
        for (String name : changed) {
            Entry e = entries.get(name);
            if (e != null) {
                all.add(running(now, name, e));
            }
        }
        changed.clear();
        return all;
    }

    /** All count as changed: another one listens. */
    public void retell() {
        changed.addAll(entries.keySet());
    }

    /** How far a version has come; everybody for null. */
    public Standing standing(long now, Version v) {
        List<Message.Running> missing = new ArrayList<>();
        entries.forEach((name, e) -> {
            boolean behind = v != null && (e.epoch < v.epoch() || e.epoch == v.epoch() && e.number < v.number());
            if (behind) {
                missing.add(running(now, name, e));
            }
        });
        return new Standing(entries.size(), entries.size() - missing.size(), missing);
    }
}
