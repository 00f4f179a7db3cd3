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

    private static final class Item {
        private final Identity id;
        private final long number;
        private boolean withStatement;
        private boolean light;
        private int told;

        Item(Identity id, long number) {
            this.id = id;
            this.number = number;
        }
    }

    private final Source source;
    private final Map<Identity, Item> items = new HashMap<>();
    private final TreeSet<Item> order =
            new TreeSet<>(Comparator.<Item>comparingInt(i -> i.told).thenComparing(i -> -i.number));
    private long numbers;

    Gossip(Source source) {
        this.source = source;
    }

    /** There is something new to tell of a life; with its statement, or only how it stands. */
    void tell(Identity id, boolean withStatement) {
        tell(id, withStatement, false);
    }

    /** Only its figures are new: told less often, since what is missed comes with the next comparison. */
    void tellFigures(Identity id) {
        tell(id, true, true);
    }

    private void tell(Identity id, boolean withStatement, boolean light) {
        Item old = items.remove(id);
        Item i = new Item(id, ++numbers);
        i.withStatement = withStatement;
        i.light = light;
        if (old != null) {
            order.remove(old);
            i.withStatement |= old.withStatement;
            i.light &= old.light;
        }
        items.put(id, i);
        order.add(i);
    }

    boolean isEmpty() {
        return items.isEmpty();
    }

    /** Fills so many bytes for one receiver, who needs not be told of himself. */
    void fill(List<Rumor> into, int room, Identity to, int tellings, int light) {
        int left = room;
        int misses = 0;
        List<Item> told = new ArrayList<>();
        for (Item i : order) {
            if (i.id.equals(to)) {
                continue;
            }
            Rumor r = source.rumor(i.id, i.withStatement);
            if (r == null || r.bytes() <= left) {
                told.add(i);
                if (r != null) {
                    left -= r.bytes();
                    into.add(r);
                }
            } else if (++misses > 3) {
                break; // a smaller one may still fit, but not for the price of a walk through all
            }
            if (left < Rumor.bytes(i.id, "", null)) {
                break;
            }
        }
        for (Item i : told) {
            order.remove(i);
            if (++i.told < (i.light ? light : tellings)) {
                order.add(i);
            } else {
                items.remove(i.id);
            }
        }
    }
}
