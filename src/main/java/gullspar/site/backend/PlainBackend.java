package gullspar.site.backend;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** A server of a pool with its address, its idle connections and the number of its open attempts. */
final class PlainBackend {
    final int id;
    final InetSocketAddress address;
    final int maxConnections;
    /** When the notice of its drain or removal arrived; 0 while it is in service. */
    long removedAt;
    /** Open attempts, including those whose response is being read. */
    int openAttempts;
    /** Ordered by last use, the most recently used one last. */
    final Deque<PlainConnection> idle = new ArrayDeque<>();

    PlainBackend(int id, InetSocketAddress address, int maxConnections) {
        this.id = id;
        this.address = address;
        this.maxConnections = maxConnections;
    }

    boolean isFull() {
        return maxConnections > 0 && openAttempts >= maxConnections;
    }

    void remove(long now) {
        removedAt = removedAt == 0 ? now : removedAt;
        closeIdleConnections();
    }

    void closeIdleConnections() {
        while (!idle.isEmpty()) {
            idle.poll().close();
        }
    }
}
