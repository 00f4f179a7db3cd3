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
 * Everybody who is known: those that proved that they live, or lived, by an answer or by the word of two
 * others, and apart from them a bounded crowd of those that only one has spoken of.
 */
final class Roster {
    /** Only spoken of: so many at the most, the oldest goes first. */
    private static final int MOST_HEARSAY = 2048;

    /** Somebody who was spoken of, and by whom. */
    static final class Hearsay {
        final Rumor rumour;
        final long at;
        final long by;
        int asked;
        long askAt;

        Hearsay(Rumor rumour, long by, long at) {
            this.rumour = rumour;
            this.by = by;
            this.at = at;
            this.askAt = at;
        }
    }

    private final int most;
    private final TreeMap<Identity, Peer> peers = new TreeMap<>();
    /** In no order: for drawing one in one step. */
    private final List<Peer> present = new ArrayList<>();

    private final Map<Identity, Hearsay> hearsay = new LinkedHashMap<>();

    Roster(int most) {
        this.most = most;
    }

    Peer get(Identity id) {
        return peers.get(id);
    }

    /** All that are known, by life. */
    Collection<Peer> all() {
        return peers.values();
    }

    /** Those present; not to be changed. */
    List<Peer> present() {
        return present;
    }

    /** How many are present, this process included. */
    int size() {
        return present.size() + 1;
    }

    /** Takes one in; false if there are too many. Who is gone for the longest makes room. */
    boolean add(Peer p) {
        if (peers.size() >= most - 1) {
            Peer oldest = peers.values().stream()
                    .filter(o -> !o.present())
                    .min(Comparator.comparingLong(o -> o.since))
                    .orElse(null);
            if (oldest == null) {
                return false;
            }
            peers.remove(oldest.id);
        }
        hearsay.remove(p.id);
        peers.put(p.id, p);
        placed(p);
        return true;
    }

    /** To be called after each change of a verdict. */
    void placed(Peer p) {
        if (p.present() && p.place < 0) {
            p.place = present.size();
            present.add(p);
        } else if (!p.present() && p.place >= 0) {
            Peer last = present.remove(present.size() - 1);
            if (last != p) {
                present.set(p.place, last);
                last.place = p.place;
            }
            p.place = -1;
        }
    }

    void remove(Peer p) {
        peers.remove(p.id);
        if (p.place >= 0) {
            p.verdict = MemberStatus.GONE;
            placed(p);
        }
    }

    /** Others that live under the same name, or did. */
    List<Peer> sameName(Identity id) {
        List<Peer> same = new ArrayList<>();
        for (Peer p : peers.values()) {
            if (p.id.name().equals(id.name()) && p.id.life() != id.life()) {
                same.add(p);
            }
        }
        return same;
    }

    /** Up to so many of those present, drawn at random, without those two. */
    List<Peer> draw(int count, RandomGenerator random, Peer without, Identity orHim) {
        List<Peer> drawn = new ArrayList<>(count);
        int tries = Math.min(present.size(), 3 * count + 3);
        for (int i = 0; i < tries && drawn.size() < count; i++) {
            Peer p = present.get(random.nextInt(present.size()));
            if (p != without && !p.id.equals(orHim) && !drawn.contains(p)) {
                drawn.add(p);
            }
        }
        return drawn;
    }

    // ---- who is only spoken of ----

    Hearsay hearsay(Identity id) {
        return hearsay.get(id);
    }

    Collection<Hearsay> hearsay() {
        return hearsay.values();
    }

    void spokenOf(Hearsay h) {
        if (hearsay.size() >= MOST_HEARSAY) {
            hearsay.remove(hearsay.keySet().iterator().next());
        }
        hearsay.put(h.rumour.id(), h);
    }

    void forget(Hearsay h) {
        hearsay.remove(h.rumour.id());
    }
}
