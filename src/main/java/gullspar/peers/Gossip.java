package gullspar.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Queue of rumors to piggyback on datagrams: those sent least often first, among these the newest, and each only as
 * often as it takes to reach the whole fleet (SWIM, section 4.1).
 */
final class Gossip {
    /** Makes a rumor of the current state of a life; null if it is no longer known. */
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

    /** Queues a rumor of a life, with its statement or only its status. */
    void enqueue(Identity id, boolean withStatement) {
        enqueue(id, withStatement, false);
    }

    /** Queues a rumor of changed traffic statistics: sent less often, as comparisons of views repair misses. */
    void enqueueStats(Identity id) {
        enqueue(id, true, true);
    }

    private void enqueue(Identity id, boolean withStatement, boolean statsOnly) {
        Entry old = entries.remove(id);
        Entry entry = new Entry(id, ++lastSequence);
        entry.withStatement = withStatement;
        entry.statsOnly = statsOnly;
        if (old != null) {
            order.remove(old);
            entry.withStatement |= old.withStatement;
            entry.statsOnly &= old.statsOnly;
        }
        entries.put(id, entry);
        order.add(entry);
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Adds rumors for one receiver, up to maxBytes; none about the receiver itself. */
    void fill(List<Rumor> into, int maxBytes, Identity to, int maxTransmissions, int maxStatsTransmissions) {
        int remainingBytes = maxBytes;
        int misses = 0;
        List<Entry> sent = new ArrayList<>();
        for (Entry entry : order) {
            if (entry.id.equals(to)) {
                continue;
            }
            Rumor r = source.rumor(entry.id, entry.withStatement);
            if (r == null || r.maxBytes() <= remainingBytes) {
                sent.add(entry);
                if (r != null) {
                    remainingBytes -= r.maxBytes();
                    into.add(r);
                }
            } else if (++misses > 3) {
                break; // a smaller one may still fit, but walking through all entries costs too much
            }
            if (remainingBytes < Rumor.maxBytes(entry.id, "", null)) {
                break;
            }
        }
        for (Entry entry : sent) {
            order.remove(entry);
            if (++entry.transmissions < (entry.statsOnly ? maxStatsTransmissions : maxTransmissions)) {
                order.add(entry);
            } else {
                entries.remove(entry.id);
            }
        }
    }
}
