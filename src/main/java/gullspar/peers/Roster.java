package gullspar.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * All known processes: members, confirmed by an answer or by the rumors of two others, and separately a bounded
 * number of processes that only one member has reported.
 */
final class Roster {
    /** Bound on the processes that only one member has reported; the oldest is dropped first. */
    private static final int MAX_UNCONFIRMED = 2048;

    /** A process that only one member has reported. */
    static final class Unconfirmed {
        final Rumor rumor;
        final long receivedAt;
        final long reporterLife;
        int probes;
        long nextProbeAt;

        Unconfirmed(Rumor rumor, long reporterLife, long receivedAt) {
            this.rumor = rumor;
            this.reporterLife = reporterLife;
            this.receivedAt = receivedAt;
            this.nextProbeAt = receivedAt;
        }
    }

    private final int maxMembers;
    private final TreeMap<Identity, Peer> peers = new TreeMap<>();
    /** Unordered, so that a random member is sampled in constant time. */
    private final List<Peer> present = new ArrayList<>();

    private final Map<Identity, Unconfirmed> unconfirmed = new LinkedHashMap<>();

    Roster(int maxMembers) {
        this.maxMembers = maxMembers;
    }

    Peer get(Identity id) {
        return peers.get(id);
    }

    /** All known processes that are not unconfirmed, ordered by life. */
    Collection<Peer> all() {
        return peers.values();
    }

    /** Members present (alive or suspected); callers must not modify the list. */
    List<Peer> present() {
        return present;
    }

    /** Number of members present, this process included. */
    int size() {
        return present.size() + 1;
    }

    /** Adds a member; a full roster drops the one absent for longest, or returns false if all are present. */
    boolean add(Peer p) {
        if (peers.size() >= maxMembers - 1) {
            Peer oldest = peers.values().stream()
                    .filter(o -> !o.present())
                    .min(Comparator.comparingLong(o -> o.statusSince))
                    .orElse(null);
            if (oldest == null) {
                return false;
            }
            peers.remove(oldest.id);
        }
        unconfirmed.remove(p.id);
        peers.put(p.id, p);
        updatePresence(p);
        return true;
    }

    /** Updates the list of present members; must be called after each change of a status. */
    void updatePresence(Peer p) {
        if (p.present() && p.presentIndex < 0) {
            p.presentIndex = present.size();
            present.add(p);
        } else if (!p.present() && p.presentIndex >= 0) {
            Peer last = present.remove(present.size() - 1);
            if (last != p) {
                present.set(p.presentIndex, last);
                last.presentIndex = p.presentIndex;
            }
            p.presentIndex = -1;
        }
    }

    void remove(Peer p) {
        peers.remove(p.id);
        if (p.presentIndex >= 0) {
            p.status = MemberStatus.GONE;
            updatePresence(p);
        }
    }

    /** Returns the other lives of the same name, present or not. */
    List<Peer> sameName(Identity id) {
        List<Peer> same = new ArrayList<>();
        for (Peer p : peers.values()) {
            if (p.id.name().equals(id.name()) && p.id.life() != id.life()) {
                same.add(p);
            }
        }
        return same;
    }

    /** Returns up to count random members that are present, without the two excluded. */
    List<Peer> sample(int count, RandomGenerator random, Peer excluded, Identity excludedId) {
        List<Peer> sampled = new ArrayList<>(count);
        int tries = Math.min(present.size(), 3 * count + 3);
        for (int i = 0; i < tries && sampled.size() < count; i++) {
            Peer p = present.get(random.nextInt(present.size()));
            if (p != excluded && !p.id.equals(excludedId) && !sampled.contains(p)) {
                sampled.add(p);
            }
        }
        return sampled;
    }

    // ---- unconfirmed processes ----

    Unconfirmed unconfirmed(Identity id) {
        return unconfirmed.get(id);
    }

    Collection<Unconfirmed> unconfirmed() {
        return unconfirmed.values();
    }

    void addUnconfirmed(Unconfirmed process) {
        if (unconfirmed.size() >= MAX_UNCONFIRMED) {
            unconfirmed.remove(unconfirmed.keySet().iterator().next());
        }
        unconfirmed.put(process.rumor.id(), process);
    }

    void removeUnconfirmed(Unconfirmed process) {
        unconfirmed.remove(process.rumor.id());
    }
}
