package gullspar.scale;

import java.util.Map;
import java.util.TreeMap;

/** Counts messages and their bytes by kind, and the bytes in each tenth of a second. Not thread-safe. */
final class TrafficCounter {
    /** The number of messages of a kind and their bytes in total. */
    record Total(long messages, long bytes) {
        Total plus(long otherMessages, long otherBytes) {
            return new Total(messages + otherMessages, bytes + otherBytes);
        }

        Total minus(Total before) {
            return new Total(messages - before.messages, bytes - before.bytes);
        }
    }

    private static final long BUCKET_NS = 100_000_000L;
    static final Total ZERO = new Total(0, 0);

    private final Map<String, Total> totalsByKind = new TreeMap<>();
    private final TreeMap<Long, Long> bytesByBucket = new TreeMap<>();

    void add(String kind, long bytes) {
        totalsByKind.merge(kind, new Total(1, bytes), (a, b) -> a.plus(b.messages, b.bytes));
        bytesByBucket.merge(System.nanoTime() / BUCKET_NS, bytes, Long::sum);
    }

    Map<String, Total> totalsByKind() {
        return new TreeMap<>(totalsByKind);
    }

    /** Returns the increase of each kind between two readings. */
    static Map<String, Total> difference(Map<String, Total> before, Map<String, Total> now) {
        Map<String, Total> result = new TreeMap<>();
        now.forEach((k, s) -> result.put(k, s.minus(before.getOrDefault(k, ZERO))));
        return result;
    }

    /** Returns the most bytes in any one second from the given time on. */
    long peakBytesPerSecond(long fromNs) {
        long peak = 0;
        for (long t : bytesByBucket.tailMap(fromNs / BUCKET_NS).keySet()) {
            peak = Math.max(
                    peak,
                    bytesByBucket.subMap(t, t + 10).values().stream()
                            .mapToLong(b -> b)
                            .sum());
        }
        return peak;
    }
}
