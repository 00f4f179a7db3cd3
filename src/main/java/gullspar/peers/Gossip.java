package gullspar.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * What is to be told along with other datagrams: what was told least often goes first, among these the
 * newest, and nothing more often than a fleet of that size needs for all to hear it (SWIM, section 4.1).
 */
final class Gossip {
    /** Makes a rumor of a life as it is at that moment; null if it is not known any more. */
    interface Source {
        Rumor rumor(Identity id, boolean withStatement);
    }

    private static final class Entry {
        private final Identity id;
        private final long sequence;
        private boolean withStatement;
        private boolean statsOnly;
        private int transmissions;

        Entry(Identity id, long sequence) {
            this.id = id;
            this.sequence = sequence;
        }
    }

    private final Source source;
    private final Map<Identity, Entry> entries = new HashMap<>();
    private final TreeSet<Entry> order =
            new TreeSet<>(Comparator.<Entry>comparingInt(i -> i.transmissions).thenComparing(i -> -i.sequence));
    private long lastSequence;

    Gossip(Source source) {
        this.source = source;
    }

    /** There is something new to tell of a life; with its statement, or only how it stands. */
    void enqueue(Identity id, boolean withStatement) {
        enqueue(id, withStatement, false);
    }

    /** Only its figures are new: told less often, since what is missed comes with the next comparison. */
    void enqueueStats(Identity id) {
        enqueue(id, true, true);
    }

    private void enqueue(Identity id, boolean withStatement, boolean statsOnly) {
        Entry old = entries.remove(id);
        Entry i = new Entry(id, ++lastSequence);
        i.withStatement = withStatement;
        i.statsOnly = statsOnly;
        if (old != null) {
            order.remove(old);
            i.withStatement |= old.withStatement;
            i.statsOnly &= old.statsOnly;
        }
        entries.put(id, i);
        order.add(i);
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Fills so many bytes for one receiver, who needs not be told of himself. */
    void fill(List<Rumor> into, int maxBytes, Identity to, int maxTransmissions, int maxStatsTransmissions) {
        int left = maxBytes;
        int misses = 0;
        List<Entry> sent = new ArrayList<>();
        for (Entry i : order) {
            if (i.id.equals(to)) {
                continue;
            }
            Rumor r = source.rumor(i.id, i.withStatement);
            if (r == null || r.maxBytes() <= left) {
                sent.add(i);
                if (r != null) {
                    left -= r.maxBytes();
                    into.add(r);
                }
            } else if (++misses > 3) {
                break; // a smaller one may still fit, but not for the price of a walk through all
            }
            if (left < Rumor.maxBytes(i.id, "", null)) {
                break;
            }
        }
        for (Entry i : sent) {
            order.remove(i);
            if (++i.transmissions < (i.statsOnly ? maxStatsTransmissions : maxTransmissions)) {
                order.add(i);
            } else {
                entries.remove(i.id);
            }
        }
    }
}
