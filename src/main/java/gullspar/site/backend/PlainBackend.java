package gullspar.site.backend;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** A server of a pool as this side knows it: where it is, whether it has left, what it has in hand. */
final class PlainBackend {
    final int id;
    final InetSocketAddress address;
    final int maxConnections;
    /** When it was heard that it drains or is gone; 0 while it is in service. */
    long removedAt;
    /** Requests that it has in hand, answers under way included. */
    int openAttempts;
    /** The most recently used last. */
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
