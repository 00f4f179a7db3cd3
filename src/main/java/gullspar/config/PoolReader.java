package gullspar.config;

import gullspar.route.ServerRotation;
import gullspar.toml.TableReader;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the pools of the operators' file. */
final class PoolReader {
    private final Map<String, Site.Pool> pools = new LinkedHashMap<>();

    /** Returns the pools by name, in the order of the file. */
    Map<String, Site.Pool> pools() {
        return pools;
    }

    void read(TableReader f) {
        String name = f.string("name");
        List<ServerRotation.ServerSpec> servers = new ArrayList<>();
        Map<String, Site.Endpoint> endpoints = new LinkedHashMap<>();
        for (TableReader s : f.tables("server")) {
            readServer(s, servers, endpoints);
        }
        InetSocketAddress discovery = f.has("discovery") ? FieldParsers.address(f, "discovery") : null;
        if (servers.isEmpty() != f.has("discovery")) {
            f.addProblem(
                    servers.isEmpty()
                            ? "a pool with no [[pool.server]] and no discovery"
                            : "a pool has either [[pool.server]] or discovery, not both");
        }
        Site.Pool pool = new Site.Pool(
                name,
                List.copyOf(servers),
                Map.copyOf(endpoints),
                discovery,
                f.choice("balance", Site.Balance.class, Site.Balance.WEIGHTS),
                new Site.Connections(
                        FieldParsers.millisAsNs(f, "connect_ms", 1000, 1),
                        f.integer("keep_alive", 32, 0, 65_535),
                        FieldParsers.secondsAsNs(f, "keep_alive_s", 60, 0.001)));
        f.rejectUnknownKeys();
        if (!name.isEmpty() && pools.putIfAbsent(name, pool) != null) {
            f.addProblem("name", "is already used by another pool: '" + name + "'");
        }
    }

    private static void readServer(
            TableReader s, List<ServerRotation.ServerSpec> servers, Map<String, Site.Endpoint> endpoints) {
        InetSocketAddress address = FieldParsers.address(s, "address");
        String name = s.string("name", s.string("address", ""));
        servers.add(new ServerRotation.ServerSpec(
                name,
                s.number("weight", 1, 0.001, 1e6),
                s.bool("backup", false),
                s.bool("down", false),
                s.integer("max_failures", 1, 0, 1_000_000),
                FieldParsers.secondsAsNs(s, "fail_s", 10, 0),
                FieldParsers.secondsAsNs(s, "slow_start_s", 0, 0)));
        Site.Endpoint endpoint = new Site.Endpoint(
                address == null ? new InetSocketAddress(0) : address, s.integer("max_connections", 0, 0, 1_000_000));
        s.rejectUnknownKeys();
        if (endpoints.putIfAbsent(name, endpoint) != null) {
            s.addProblem("a second server '" + name + "' in this pool");
        }
    }
}
