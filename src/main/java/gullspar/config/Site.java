package gullspar.config;

import gullspar.route.Router;
import gullspar.route.ServerRotation;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * The content of the operators' file: the listeners with their routes, the pools by name, the limits, and the
 * settings that any process may have.
 */
public record Site(
        List<Listener> listeners,
        Map<String, Pool> pools,
        Limits limits,
        Forwarded forwarded,
        OperatorsFile operators) {
    /** An address to listen on, and the routes of its requests. */
    public record Listener(InetSocketAddress address, Router router) {}

    /** How a pool balances: by the configured weights until its servers report load, or by learnt weights. */
    public enum Balance {
        WEIGHTS,
        LEARNT
    }

    /**
     * A pool: its servers and their endpoints by server name, or the address of its discovery and no servers.
     */
    public record Pool(
            String name,
            List<ServerRotation.ServerSpec> servers,
            Map<String, Endpoint> endpoints,
            InetSocketAddress discovery,
            Balance balance,
            Connections connections) {}

    /** The address of a server, and its limit of concurrent requests; 0 for no limit. */
    public record Endpoint(InetSocketAddress address, int maxConnections) {}

    /**
     * The connections of a pool: the connect timeout, how many idle ones are kept for each server at most, and
     * for how long.
     */
    public record Connections(long connectTimeoutNs, int maxIdle, long idleTimeoutNs) {}

    /**
     * Limits of the process: sockets; bytes of request bodies held in total; the time to receive a whole request;
     * the time for which an idle connection is kept; the time without progress after which a response is
     * aborted; the time for open requests at shutdown; and the Retry-After of refused requests, 0 for none.
     */
    public record Limits(
            int maxSockets,
            long maxBodyBytes,
            long requestTimeoutNs,
            long idleTimeoutNs,
            long stallTimeoutNs,
            long drainTimeoutNs,
            long retryAfterNs) {}

    /** How X-Forwarded-* and Forwarded are forwarded: replaced, appended to, or passed unchanged. */
    public enum Forwarded {
        REPLACE,
        APPEND,
        PASS
    }

    /** Returns the router of the listener with that port, else of the first listener. */
    public Router router(int port) {
        return listeners.stream()
                .filter(l -> l.address().getPort() == port)
                .findFirst()
                .orElse(listeners.get(0))
                .router();
    }
}
