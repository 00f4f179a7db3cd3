package gullspar.scale;

import java.util.Map;
import java.util.TreeMap;

/** Messages and their bytes by kind, and the bytes of each tenth of a second. Of one thread. */
final class Tally {
    /** Messages of a kind, and the bytes of all of them. */
    record Sum(long messages, long bytes) {
        Sum plus(long more, long moreBytes) {
            return new Sum(messages + more, bytes + moreBytes);
        }

        Sum less(Sum before) {
            return new Sum(messages - before.messages, bytes - before.bytes);
        }
    }

    private static final long TENTH_NS = 100_000_000L;
    static final Sum NONE = new Sum(0, 0);

    private final Map<String, Sum> kinds = new TreeMap<>();
    private final TreeMap<Long, Long> tenths = new TreeMap<>();

    void add(String kind, long bytes) {
        kinds.merge(kind, new Sum(1, bytes), (a, b) -> a.plus(b.messages, b.bytes));
        tenths.merge(System.nanoTime() / TENTH_NS, bytes, Long::sum);
    }

    Map<String, Sum> kinds() {
        return new TreeMap<>(kinds);
    }

    /** What has come to the kinds since they stood so. */
    static Map<String, Sum> since(Map<String, Sum> before, Map<String, Sum> now) {
        Map<String, Sum> grown = new TreeMap<>();
        now.forEach((k, s) -> grown.put(k, s.less(before.getOrDefault(k, NONE))));
        return grown;
    }

    /** The most bytes in any one second from that moment on. */
    long worstSecond(long fromNs) {
        long worst = 0;
        for (long t : tenths.tailMap(fromNs / TENTH_NS).keySet()) {
            worst = Math.max(
                    worst,
                    tenths.subMap(t, t + 10).values().stream().mapToLong(b -> b).sum());
        }
        return worst;
    }
}
