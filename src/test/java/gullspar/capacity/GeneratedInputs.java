package gullspar.capacity;

import gullspar.proxy.config.Config;
import gullspar.proxy.config.ConfigException;
import gullspar.proxy.config.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Generates lists, settings and operators' files of any size, in the formats that a proxy reads. */
final class GeneratedInputs {
    static final List<String> KINDS = List.of("fast-1c", "mid-1c", "slow-2c");
    static final List<String> ZONES =
            List.of("north-a", "north-b", "north-c", "south-a", "south-b", "south-c", "east-a", "east-b");

    private GeneratedInputs() {}

    /** Returns the list entry of one backend; the weight has as many digits as in live lists. */
    static String listEntry(int backend, double weight, String lifecycle) {
        return String.format(
                Locale.ROOT,
                "{\"instanceId\":\"s-%08x\",\"hostPort\":\"10.%d.%d.%d:9000\","
                        + "\"zone\":\"%s\",\"machineType\":\"%s\",\"cell\":%d,\"lifecycle\":\"%s\",\"weight\":%.3f,"
                        + "\"startedAtMs\":%d}",
                backend * 0x9e3779b1,
                backend / 60000,
                backend / 250 % 250,
                1 + backend % 250,
                ZONES.get(backend % ZONES.size()),
                KINDS.get(backend % KINDS.size()),
                backend / 5,
                lifecycle,
                weight,
                1764646553000L + backend);
    }

    /** Returns a line of discovery: a full list, or changes of some backends. */
    static byte[] list(int backends, boolean full, long generation, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        return ("{\"generation\":" + generation + ",\"reset\":" + full + ",\"instances\":["
                        + IntStream.range(0, backends)
                                .mapToObj(i -> listEntry(i, random.nextDouble(0.3, 2), "in_service"))
                                .collect(Collectors.joining(","))
                        + "]}\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the configuration of one proxy of a fleet, with a number of tenants and an initial list. */
    static byte[] settings(int proxies, int tenants, String initialList) {
        return ("""
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"8c1f30d27a5be964",
             "limits":{"cores":1.0,"memory_mb":256,"sockets":1024},"known":%s,
             "settings":{"me":0,"balancers":%d,"zone":0,"step_ns":5000000,"zones":[%s],"skus":[%s],
              "tenants":[%s],"discovery":"pushed",
              "profiles":[
               {"name":"look","effect":"idempotent","promise_ns":250000000,"give_up_ns":600000000,
                "worth":5.0},
               {"name":"order","effect":"deduplicated","dedup_scope":"zone","window_ns":1200000000,
                "promise_ns":400000000,"give_up_ns":1200000000,"worth":10.0}],
              "limits":{"cancelling":true,"max_attempts":5,"retry_after":true,"max_retry_after_ns":1200000000,
               "connect_timeout_ns":120000000,"keepalive_ns":15000000000},
              "rules":{"start_capacity":0.31,"cold_ns":8800000000,"tip_multiple":3.0,"fall_ns":1500000000,
               "drain_grace_ns":500000000}}}
            """)
                .formatted(
                        initialList,
                        proxies,
                        quoted(ZONES),
                        quoted(KINDS),
                        IntStream.range(0, tenants)
                                .mapToObj(i -> '"' + tenantName(i) + '"')
                                .collect(Collectors.joining(",")))
                .getBytes(StandardCharsets.UTF_8);
    }

    static String tenantName(int i) {
        return String.format("tenant-%05d", i * 7919 % 100_000);
    }

    private static String quoted(List<String> names) {
        return names.stream().map(n -> '"' + n + '"').collect(Collectors.joining(","));
    }

    static Config parseConfig(byte[] json) {
        try {
            return Config.parse(Json.read(json), Map.of());
        } catch (ConfigException | IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Returns an operators' file with ten routes per host, one of them a regular expression, and one pool for
     * about eight routes (310 services have 2,400 routes). With no servers, the pools use discovery.
     */
    static String routesFile(int routes, int servers, String listener, String marker) {
        int pools = Math.max(1, routes * 310 / 2400);
        StringBuilder text = new StringBuilder("[[listener]]\naddress = \"" + listener + "\"\n\n");
        for (int p = 0; p < pools; p++) {
            text.append("[[pool]]\nname = \"service-").append(p).append("\"\n");
            text.append(servers == 0 ? "discovery = \"127.0.0.1:9\"\n" : "");
            for (int s = 0; s < servers; s++) {
                text.append("[[pool.server]]\naddress = \"10.")
                        .append(p % 250)
                        .append('.')
                        .append(s)
                        .append(".1:9000\"\nweight = ")
                        .append(1 + s % 3)
                        .append('\n');
            }
        }
        for (int r = 0; r < routes; r++) {
            if (r % 10 == 0) {
                text.append("\n[[host]]\nnames = [\"shop")
                        .append(r / 10)
                        .append(".example.org\"]\n")
                        .append(r == 0 ? "default = true\n" : "");
            }
            text.append("[[host.route]]\nname = \"route-").append(r).append("\"\n");
            if (r % 10 == 9) {
                text.append("match = \"regex\"\npath = \"^/r").append(r).append("/[a-z0-9]+$\"\n");
            } else {
                text.append("path = \"/r").append(r).append("/\"\n");
            }
            text.append("pool = \"service-").append(r % pools).append("\"\ndeadline_ms = 900\nattempts = 3\n");
            text.append(r % 4 == 0 ? "rewrite = { to = \"/v2/\" }\n" : "");
        }
        return text.append("\n[[host]]\nnames = [\"mark.example.org\"]\n[[host.route]]\npath = \"/mark\"\n"
                        + "answer = { status = 200, body = \"")
                .append(marker)
                .append("\" }\n")
                .toString();
    }
}
