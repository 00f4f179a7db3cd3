package gullspar.config;

import gullspar.route.Members;
import gullspar.toml.Fields;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the pools of an operator's file. */
final class PoolReader {
    private final Map<String, Site.Pool> pools = new LinkedHashMap<>();

    /** By name, in their order. */
    Map<String, Site.Pool> pools() {
        return pools;
    }

    void read(Fields f) {
        String name = f.text("name");
        List<Members.Declared> servers = new ArrayList<>();
        Map<String, Site.Place> places = new LinkedHashMap<>();
        for (Fields s : f.tables("server")) {
            server(s, servers, places);
        }
        InetSocketAddress discovery = f.has("discovery") ? Values.address(f, "discovery") : null;
        if (servers.isEmpty() != f.has("discovery")) {
            f.wrong(
                    servers.isEmpty()
                            ? "a pool with no [[pool.server]] and no discovery"
                            : "a pool has servers or discovery, not both");
        }
        Site.Pool p = new Site.Pool(
                name,
                List.copyOf(servers),
                Map.copyOf(places),
                discovery,
                f.choice("balance", Site.Balance.class, Site.Balance.WEIGHTS),
                new Site.Connections(
                        Values.millis(f, "connect_ms", 1000, 1),
                        f.whole("keep_alive", 32, 0, 65_535),
                        Values.seconds(f, "keep_alive_s", 60, 0.001)));
        f.noOthers();
        if (!name.isEmpty() && pools.putIfAbsent(name, p) != null) {
            f.wrong("name", "is that of another pool: '" + name + "'");
        }
    }

    private static void server(Fields s, List<Members.Declared> servers, Map<String, Site.Place> places) {
        InetSocketAddress at = Values.address(s, "address");
        String name = s.text("name", s.text("address", ""));
        servers.add(new Members.Declared(
                name,
                s.number("weight", 1, 0.001, 1e6),
                s.flag("backup", false),
                s.flag("down", false),
                s.whole("max_failures", 1, 0, 1_000_000),
                Values.seconds(s, "fail_s", 10, 0),
                Values.seconds(s, "slow_start_s", 0, 0)));
        Site.Place place =
                new Site.Place(at == null ? new InetSocketAddress(0) : at, s.whole("max_connections", 0, 0, 1_000_000));
        s.noOthers();
        if (places.putIfAbsent(name, place) != null) {
            s.wrong("a second server '" + name + "' in this pool");
        }
    }
}
