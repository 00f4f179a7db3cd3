package gullspar.capacity;

import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.ListedServer;
import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Settings;
import gullspar.decide.Balancer.State;
import gullspar.decide.Balancer.Status;
import gullspar.decide.Policy;
import gullspar.proxy.io.DescriptorLimits;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Counts the connections of one proxy in virtual time with the real module: the most that are open at once,
 * handshakes per second and backends used, by the number of backends in one list and by the number of services
 * with 21 backends each. As in the proxy, a connection is closed after its idle timeout, and the longest idle
 * one when all descriptors are in use. Run by {@code bench/scale/connections.sh}; not a test.
 */
public final class ConnectionCount {
    private static final int PROXIES = 640, SERVERS_PER_SERVICE = 21, RUN_S = 90, WARM_UP_S = 30;
    private static final long S = 1_000_000_000L, HEARTBEAT_NS = 50_000_000L, HEARTBEAT_TIMER = (1L << 32) + 1;
    /** Idle timeout that the proxy derives from the settings' 15 s; duration of a handshake with its response. */
    private static final long IDLE_TIMEOUT_NS = 13_500_000_000L, RESPONSE_TIME_NS = 12_000_000L;

    private static final double REQUESTS_PER_S = 150_000.0 / PROXIES;

    private final ResultsWriter results;
    private final int seed;

    private ConnectionCount(ResultsWriter results, int seed) {
        this.results = results;
        this.seed = seed;
    }

    public static void main(String[] args) throws IOException {
        ResultsWriter results = new ResultsWriter("bench/scale/connections.sh", List.of(1, 2));
        for (int seed : new int[] {1, 2}) {
            ConnectionCount measurement = new ConnectionCount(results, seed);
            for (int n : new int[] {100, 384, 825, 2000, 6600}) {
                measurement.measure("backends", n, 1, n);
            }
            for (int n : new int[] {10, 50, 100, 200, 310}) {
                measurement.measure("services", n, n, SERVERS_PER_SERVICE);
            }
        }
        results.write(Path.of(args[0]));
    }

    private record PendingResponse(long timeNs, int instance, int ticket, int server, long latencyNs) {}

    /** A proxy with one or more instances of the module, the servers of each in eight zones. */
    private final class Proxy {
        private final int maxConnections;
        private final List<Policy> modules = new ArrayList<>();
        private final List<SendRecorder> recorders = new ArrayList<>();
        private final PriorityQueue<PendingResponse> pending =
                new PriorityQueue<>((a, b) -> Long.compare(a.timeNs, b.timeNs));
        /** Server and start of the idle time of each idle connection, the longest idle one first. */
        private final Map<Long, long[]> idle = new LinkedHashMap<>();

        private final Map<Integer, List<Long>> idleByServer = new HashMap<>();
        private final Map<Integer, Long> lastUsedAt = new HashMap<>();
        private final SplittableRandom random = new SplittableRandom(seed);
        private long now = 1_000 * S, lastConnection, open, maxOpen, handshakes, notSent, requests;
        private int lastTicket;

        Proxy(int instances, int servers, int maxConnections) {
            this.maxConnections = maxConnections;
            Settings shared = GeneratedInputs.parseConfig(GeneratedInputs.settings(PROXIES, 0, "{}"))
                    .settings();
            Settings settings = new Settings(
                    seed * 37,
                    PROXIES,
                    0,
                    shared.profiles(),
                    false,
                    true,
                    5,
                    shared.maxRetryAfterNs(),
                    shared.startCapacity(),
                    shared.coldStartNs(),
                    shared.overloadMultiple(),
                    shared.overloadWindowNs(),
                    0,
                    shared.clockStepNs(),
                    shared.crossZonePrice(),
                    false,
                    0);
            for (int i = 0; i < instances; i++) {
                SendRecorder recorder = new SendRecorder();
                Policy module = new Policy(settings, seed + i, now, recorder);
                List<ListedServer> list = new ArrayList<>();
                for (int k = 0; k < servers; k++) {
                    list.add(new ListedServer((i * servers + k) * 0x9e3779b1, k % 3, State.READY, 0, k / 5, k % 8, 1));
                }
                module.onServerList(now, ListKind.FULL, 1, list);
                modules.add(module);
                recorders.add(recorder);
            }
        }

        void run() {
            long end = now + RUN_S * S;
            long warmUpEnd = now + WARM_UP_S * S;
            long nextHeartbeat = now;
            long nextRequest = now;
            long[] warmUpCounts = {0, 0};
            while (now < end) {
                long nextResponse = pending.isEmpty() ? Long.MAX_VALUE : pending.peek().timeNs;
                now = Math.min(Math.min(nextRequest, nextResponse), nextHeartbeat);
                if (now == nextHeartbeat) {
                    nextHeartbeat += HEARTBEAT_NS;
                    modules.forEach(module -> module.onTimer(now, HEARTBEAT_TIMER));
                    closeIdle();
                } else if (now == nextResponse) {
                    receiveResponse(pending.remove());
                } else {
                    nextRequest += (long) (-Math.log(1 - random.nextDouble()) / REQUESTS_PER_S * S);
                    if (now >= warmUpEnd && warmUpCounts[0] == 0) {
                        warmUpCounts[0] = handshakes;
                        warmUpCounts[1] = requests;
                        maxOpen = open;
                    }
                    sendRequest(random.nextInt(modules.size()));
                }
            }
            handshakes -= warmUpCounts[0];
            requests -= warmUpCounts[1];
        }

        private void closeIdle() {
            while (!idle.isEmpty()) {
                Map.Entry<Long, long[]> oldest = idle.entrySet().iterator().next();
                if (now - oldest.getValue()[1] < IDLE_TIMEOUT_NS) {
                    return;
                }
                close(oldest.getKey(), (int) oldest.getValue()[0]);
            }
        }

        private void close(long connection, int server) {
            idle.remove(connection);
            idleByServer.get(server).remove(connection);
            open--;
        }

        private void sendRequest(int instance) {
            requests++;
            int sendsBefore = recorders.get(instance).sends;
            modules.get(instance).onRequest(now, new Request(++lastTicket, 0, 0, 0, 600_000_000L, 0, false));
            if (recorders.get(instance).sends == sendsBefore) {
                notSent++;
                return;
            }
            int server = recorders.get(instance).lastServer;
            lastUsedAt.put(server, now);
            List<Long> idleConnections = idleByServer.computeIfAbsent(server, s -> new ArrayList<>());
            if (idleConnections.isEmpty()) {
                handshakes++;
                if (open >= maxConnections) {
                    Map.Entry<Long, long[]> oldest = idle.entrySet().iterator().next();
                    close(oldest.getKey(), (int) oldest.getValue()[0]);
                }
                open++;
                maxOpen = Math.max(maxOpen, open);
            } else {
                idle.remove(idleConnections.remove(0));
            }
            pending.add(new PendingResponse(now + RESPONSE_TIME_NS, instance, lastTicket, server, RESPONSE_TIME_NS));
        }

        private void receiveResponse(PendingResponse response) {
            long connection = ++lastConnection;
            idle.put(connection, new long[] {response.server, now});
            idleByServer.get(response.server).add(connection);
            modules.get(response.instance)
                    .onOutcome(
                            now,
                            new Outcome(
                                    response.ticket,
                                    0,
                                    response.server,
                                    Status.OK,
                                    response.latencyNs,
                                    true,
                                    new Report(
                                            random.nextInt(4),
                                            Double.NaN,
                                            0.4 + 0.4 * random.nextDouble(),
                                            Double.NaN,
                                            23,
                                            0)));
        }

        /** Returns the number of servers that got a request within the last {@code ns}. */
        long serversUsedWithin(long ns) {
            return lastUsedAt.values().stream().filter(t -> now - t <= ns).count();
        }
    }

    private void measure(String axis, int size, int instances, int servers) {
        Proxy unlimited = new Proxy(instances, servers, Integer.MAX_VALUE);
        unlimited.run();
        Map<String, Integer> fixed = axis.equals("backends")
                ? Map.of("services", 1, "proxies", PROXIES)
                : Map.of("servers_a_service", SERVERS_PER_SERVICE, "proxies", PROXIES);
        String suffix = axis.equals("backends") ? ", one list for all" : ", each its own list";
        int heldOut = axis.equals("backends") ? 6600 : 310;
        results.addPoint(
                "connections." + axis + ".open",
                "connections of one proxy open at the most, with no limit" + suffix,
                "",
                axis,
                fixed,
                heldOut,
                size,
                unlimited.maxOpen);
        results.addPoint(
                "connections." + axis + ".used",
                "backends that one proxy sends to within 28 s" + suffix,
                "",
                axis,
                fixed,
                heldOut,
                size,
                unlimited.serversUsedWithin(28 * S));
        results.addPoint(
                "connections." + axis + ".handshakes",
                "handshakes a second of one proxy, with no limit" + suffix,
                "1/s",
                axis,
                fixed,
                heldOut,
                size,
                unlimited.handshakes / (double) (RUN_S - WARM_UP_S));
        Proxy limited = new Proxy(instances, servers, new DescriptorLimits(1024).backends.limit());
        limited.run();
        results.addPoint(
                "connections." + axis + ".handshakes.held",
                "handshakes a second of one proxy, 1,024 descriptors" + suffix,
                "1/s",
                axis,
                fixed,
                heldOut,
                size,
                limited.handshakes / (double) (RUN_S - WARM_UP_S));
        if (unlimited.notSent > 0) {
            System.err.println(axis + " " + size + ": " + unlimited.notSent + " requests not sent at once");
        }
    }
}
