package gullspar.proxy.backend;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The idle connections to one backend. HTTP/1.1 cannot tell a late second response to one request from the response to
 * the next, so a connection rests before it is used again, and what has arrived by then is read first. A backend that
 * has sent bytes which belong to no response gets a connection for each request for a while. Used on one event loop;
 * times are in ns of any monotonic clock.
 *
 * @param <C> the connections
 */
public final class IdleConnections<C extends IdleConnections.Reusable> {
    /** A connection that may carry further requests. */
    public interface Reusable {
        /** When its last response was complete. */
        long idleSinceNs();

        /** Reads what has arrived since; returns whether the connection can carry another request. */
        boolean readAndCheckUsable();

        void close();
    }

    /** A connection is not used again for this long, the time in which a late second response is recognized. */
    public static final long REST_NS = 20_000_000L;

    /** For this long after bytes that belong to no response, no connection carries more than one request. */
    public static final long SINGLE_USE_NS = 10_000_000_000L;

    /** In order of their last use, the most recent last. */
    private final Deque<C> idle = new ArrayDeque<>();

    private final boolean isRestRequired;
    private boolean hasSentUnexpectedBytes;
    private long unexpectedBytesAtNs;

    /**
     * Creates it without a connection.
     *
     * @param isRestRequired whether a connection must have rested before it is used again; otherwise the one that has
     *     rested longest is used if none has rested long enough
     */
    public IdleConnections(boolean isRestRequired) {
        this.isRestRequired = isRestRequired;
    }

    /** Adds a connection whose response is complete; returns false if it must not be used again. */
    public boolean add(C connection, long nowNs) {
        if (isSingleUse(nowNs)) {
            return false;
        }
        idle.addLast(connection);
        return true;
    }

    /** Removes a connection that was closed, if it is idle. */
    public void remove(C connection) {
        idle.remove(connection);
    }

    public int size() {
        return idle.size();
    }

    /** The connection that has been idle longest; null if there is none. */
    public C oldest() {
        return idle.peekFirst();
    }

    /** Closes the connection that has been idle longest, if there is one. */
    public void closeOldest() {
        C oldest = idle.pollFirst();
        if (oldest != null) {
            oldest.close();
        }
    }

    /** Closes those that have been idle for this long. */
    public void closeExpired(long nowNs, long timeoutNs) {
        while (!idle.isEmpty() && nowNs - idle.peekFirst().idleSinceNs() >= timeoutNs) {
            closeOldest();
        }
    }

    public void closeAll() {
        while (!idle.isEmpty()) {
            closeOldest();
        }
    }

    /**
     * Removes and returns a connection that may be used again; null if there is none.
     *
     * @param prefersLongestIdle whether it is the one that has been idle longest, else the most recently used one
     */
    public C take(long nowNs, boolean prefersLongestIdle) {
        C found = find(nowNs, prefersLongestIdle);
        while (found != null) {
            idle.remove(found);
            if (found.readAndCheckUsable()) {
                return found;
            }
            found.close();
            found = find(nowNs, prefersLongestIdle);
        }
        return null;
    }

    private C find(long nowNs, boolean prefersLongestIdle) {
        C found = null;
        for (C connection : idle) {
            if (nowNs - connection.idleSinceNs() < REST_NS) {
                break; // the following ones are more recent
            }
            if (found == null || !prefersLongestIdle) {
                found = connection;
            }
        }
        return found == null && !isRestRequired ? idle.peekFirst() : found;
    }

    /**
     * The backend has sent bytes that belong to no response. Closes its idle connections; returns whether they could be
     * used again until now.
     */
    public boolean onUnexpectedBytes(long nowNs) {
        boolean wasReusable = !isSingleUse(nowNs);
        hasSentUnexpectedBytes = true;
        unexpectedBytesAtNs = nowNs;
        closeAll();
        return wasReusable;
    }

    /** The backend's process has been replaced: what the former one has sent does not count any more. */
    public void onReplaced() {
        hasSentUnexpectedBytes = false;
        closeAll();
    }

    /** Whether each connection carries one request only. */
    public boolean isSingleUse(long nowNs) {
        return hasSentUnexpectedBytes && nowNs - unexpectedBytesAtNs < SINGLE_USE_NS;
    }
}
