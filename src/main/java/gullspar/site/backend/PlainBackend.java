package gullspar.site.backend;

import gullspar.proxy.backend.IdleConnections;
import java.net.InetSocketAddress;

/** A server of a pool with its address, its idle connections and the number of its open attempts. */
final class PlainBackend {
    final int id;
    final InetSocketAddress address;
    final int maxConnections;
    /** When the notice of its drain or removal arrived; 0 while it is in service. */
    long removedAt;
    /** Open attempts, including those whose response is being read. */
    int openAttempts;

    final IdleConnections<PlainConnection> idle = new IdleConnections<>(false); // a server may limit its connections

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
        idle.closeAll();
    }
}
