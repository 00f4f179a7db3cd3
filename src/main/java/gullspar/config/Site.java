package gullspar.config;

import gullspar.route.Router;
import gullspar.route.ServerRotation;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * What an operator's file says: where to listen, each listener's routes, the pools by name, limits, and
 * what holds for any process of theirs.
 */
public record Site(
        List<Listener> listeners,
        Map<String, Pool> pools,
        Limits limits,
        Forwarded forwarded,
        OperatorsFile operators) {
    /** Where to listen, and the routes of what comes there. */
    public record Listener(InetSocketAddress address, Router router) {}

    /** How a pool chooses: by the declared weights until its servers report their load, or as it learns. */
    public enum Balance {
        WEIGHTS,
        LEARNT
    }

    /**
     * A pool: its servers as declared, and where each is, by the server's name; or where discovery is, then
     * there are none declared.
     */
    public record Pool(
            String name,
            List<ServerRotation.ServerSpec> servers,
            Map<String, Endpoint> endpoints,
            InetSocketAddress discovery,
            Balance balance,
            Connections connections) {}

    /** Where a server is, and how many requests it may have in hand at once; 0 for no limit. */
    public record Endpoint(InetSocketAddress address, int maxConnections) {}

    /**
     * How a pool's connections are made and kept: so many idle ones at each server at the most, for so long;
     * the time to connect. Times in ns.
     */
    public record Connections(long connectTimeoutNs, int maxIdle, long idleTimeoutNs) {}

    /**
     * Limits of the process: descriptors; bytes of request bodies held in all; and in ns the time for a
     * request to come whole, for an idle connection to stay, for an answer under way to make no headway, for
     * requests in hand at the end; and what a refused client is told to wait, 0 for nothing.
     */
    public record Limits(
            int maxSockets,
            long maxBodyBytes,
            long requestTimeoutNs,
            long idleTimeoutNs,
            long stallTimeoutNs,
            long drainTimeoutNs,
            long retryAfterNs) {}

    /** What becomes of X-Forwarded-* and Forwarded: made anew, carried on, or passed as they came. */
    public enum Forwarded {
        REPLACE,
        APPEND,
        PASS
    }

    /** The routes of the listener with that port; of the first one if none has it. */
    public Router router(int port) {
        return listeners.stream()
                .filter(l -> l.address().getPort() == port)
                .findFirst()
                .orElse(listeners.get(0))
                .router();
    }
}
