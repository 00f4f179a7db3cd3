package gullspar.proxy.backend;

import java.net.InetSocketAddress;

/** A backend as seen by the proxy: its address, whether it has left, and its idle connections. */
final class Backend {
    InetSocketAddress address;
    /** Start of its current process. */
    long bootNs;
    /** When discovery reported that it drains or is gone; 0 while it is in service. */
    long leftAtNs;
    /** Its process has ended or is not to be used any more, and its address may be another backend's by now. */
    boolean isGone;

    final IdleConnections<Connection> idle = new IdleConnections<>(true);

    void markGone(long nowNs) {
        isGone = true;
        markLeft(nowNs);
    }

    void markLeft(long nowNs) {
        leftAtNs = leftAtNs == 0 ? nowNs : leftAtNs;
        idle.closeAll();
    }
}
