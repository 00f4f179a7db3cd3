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
 * Counts the connections of one proxy in virtual time, by the real module: open at the most, handshakes a
 * second, backends used, for one list of so many backends and for so many services of 21. A connection is
 * closed after its idle time, and the one idle longest where the descriptors are spent, as in the proxy. Run
 * by {@code bench/scale/connections.sh}; not a test.
 */
public final class ConnectionCount {
    private static final int PROXIES = 640, MEAN_SERVICE = 21, SECONDS = 90, WARM_SECONDS = 30;
    private static final long S = 1_000_000_000L, PULSE_NS = 50_000_000L, PULSE_TOKEN = (1L << 32) + 1;
    /** What the proxy keeps of the settings' 15 s; how long a handshake and an answer take. */
    private static final long IDLE_NS = 13_500_000_000L, ANSWER_NS = 12_000_000L;

    private static final double RATE = 150_000.0 / PROXIES;

    private final ResultsWriter results;
    private final int seed;

    private ConnectionCount(ResultsWriter results, int seed) {
        this.results = results;
        this.seed = seed;
    }

    public static void main(String[] args) throws IOException {
        ResultsWriter results = new ResultsWriter("bench/scale/connections.sh", List.of(1, 2));
        for (int seed : new int[] {1, 2}) {
            ConnectionCount c = new ConnectionCount(results, seed);
            for (int n : new int[] {100, 384, 825, 2000, 6600}) {
                c.count("backends", n, 1, n);
            }
            for (int n : new int[] {10, 50, 100, 200, 310}) {
                c.count("services", n, n, MEAN_SERVICE);
            }
        }
        results.write(Path.of(args[0]));
    }

    private record Answer(long at, int instance, int ticket, int server, long took) {}

    /** One proxy with so many instances of the module, each with so many servers in eight zones. */
    private final class Proxy {
        private final int most;
        private final List<Policy> modules = new ArrayList<>();
        private final List<NoActions> actions = new ArrayList<>();
        private final PriorityQueue<Answer> answers = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
        /** Idle connections, the one idle longest first: which backend, since when. */
        private final Map<Long, long[]> idle = new LinkedHashMap<>();

        private final Map<Integer, List<Long>> byServer = new HashMap<>();
        private final Map<Integer, Long> used = new HashMap<>();
        private final SplittableRandom random = new SplittableRandom(seed);
        private long now = 1_000 * S, connections, open, mostOpen, handshakes, refused, requests;
        private int ticket;

        Proxy(int instances, int servers, int most) {
            this.most = most;
            Settings all = Inputs.config(Inputs.settings(PROXIES, 0, "{}")).settings();
            Settings s = new Settings(
                    seed * 37,
                    PROXIES,
                    0,
                    all.profiles(),
                    false,
                    true,
                    5,
                    all.maxRetryAfterNs(),
                    all.startCapacity(),
                    all.coldStartNs(),
                    all.overloadMultiple(),
                    all.overloadWindowNs(),
                    0,
                    all.clockStepNs(),
                    all.crossZonePrice(),
                    false,
                    0);
            for (int i = 0; i < instances; i++) {
                NoActions a = new NoActions();
                Policy p = new Policy(s, seed + i, now, a);
                List<ListedServer> list = new ArrayList<>();
                for (int k = 0; k < servers; k++) {
                    list.add(new ListedServer((i * servers + k) * 0x9e3779b1, k % 3, State.READY, 0, k / 5, k % 8, 1));
                }
                p.onServerList(now, ListKind.FULL, 1, list);
                modules.add(p);
                actions.add(a);
            }
        }

        void run() {
            long end = now + SECONDS * S;
            long warm = now + WARM_SECONDS * S;
            long pulse = now;
            long next = now;
            long[] at = {0, 0};
            while (now < end) {
                long answer = answers.isEmpty() ? Long.MAX_VALUE : answers.peek().at;
                now = Math.min(Math.min(next, answer), pulse);
                if (now == pulse) {
                    pulse += PULSE_NS;
                    modules.forEach(m -> m.onTimer(now, PULSE_TOKEN));
                    sweep();
                } else if (now == answer) {
                    answered(answers.remove());
                } else {
                    next += (long) (-Math.log(1 - random.nextDouble()) / RATE * S);
                    if (now >= warm && at[0] == 0) {
                        at[0] = handshakes;
                        at[1] = requests;
                        mostOpen = open;
                    }
                    request(random.nextInt(modules.size()));
                }
            }
            handshakes -= at[0];
            requests -= at[1];
        }

        private void sweep() {
            while (!idle.isEmpty()) {
                Map.Entry<Long, long[]> first = idle.entrySet().iterator().next();
                if (now - first.getValue()[1] < IDLE_NS) {
                    return;
                }
                close(first.getKey(), (int) first.getValue()[0]);
            }
        }

        private void close(long connection, int server) {
            idle.remove(connection);
            byServer.get(server).remove(connection);
            open--;
        }

        private void request(int i) {
            requests++;
            int sends = actions.get(i).sends;
            modules.get(i).onRequest(now, new Request(++ticket, 0, 0, 0, 600_000_000L, 0, false));
            if (actions.get(i).sends == sends) {
                refused++;
                return;
            }
            int server = actions.get(i).server;
            used.put(server, now);
            List<Long> there = byServer.computeIfAbsent(server, s -> new ArrayList<>());
            if (there.isEmpty()) {
                handshakes++;
                if (open >= most) {
                    Map.Entry<Long, long[]> first = idle.entrySet().iterator().next();
                    close(first.getKey(), (int) first.getValue()[0]);
                }
                open++;
                mostOpen = Math.max(mostOpen, open);
            } else {
                idle.remove(there.remove(0));
            }
            answers.add(new Answer(now + ANSWER_NS, i, ticket, server, ANSWER_NS));
        }

        private void answered(Answer a) {
            long connection = ++connections;
            idle.put(connection, new long[] {a.server, now});
            byServer.get(a.server).add(connection);
            modules.get(a.instance)
                    .onOutcome(
                            now,
                            new Outcome(
                                    a.ticket,
                                    0,
                                    a.server,
                                    Status.OK,
                                    a.took,
                                    true,
                                    new Report(
                                            random.nextInt(4),
                                            Double.NaN,
                                            0.4 + 0.4 * random.nextDouble(),
                                            Double.NaN,
                                            23,
                                            0)));
        }

        /** Backends that got a request in the last so many seconds. */
        long usedWithin(long ns) {
            return used.values().stream().filter(t -> now - t <= ns).count();
        }
    }

    private void count(String axis, int size, int instances, int servers) {
        Proxy free = new Proxy(instances, servers, Integer.MAX_VALUE);
        free.run();
        Map<String, Integer> fixed = axis.equals("backends")
                ? Map.of("services", 1, "proxies", PROXIES)
                : Map.of("servers_a_service", MEAN_SERVICE, "proxies", PROXIES);
        String of = axis.equals("backends") ? ", one list for all" : ", each its own list";
        int heldOut = axis.equals("backends") ? 6600 : 310;
        results.point(
                "connections." + axis + ".open",
                "connections of one proxy open at the most, with no limit" + of,
                "",
                axis,
                fixed,
                heldOut,
                size,
                free.mostOpen);
        results.point(
                "connections." + axis + ".used",
                "backends that one proxy sends to within 28 s" + of,
                "",
                axis,
                fixed,
                heldOut,
                size,
                free.usedWithin(28 * S));
        results.point(
                "connections." + axis + ".handshakes",
                "handshakes a second of one proxy, with no limit" + of,
                "1/s",
                axis,
                fixed,
                heldOut,
                size,
                free.handshakes / (double) (SECONDS - WARM_SECONDS));
        Proxy held = new Proxy(instances, servers, new DescriptorLimits(1024).backends.limit());
        held.run();
        results.point(
                "connections." + axis + ".handshakes.held",
                "handshakes a second of one proxy, 1,024 " + "descriptors" + of,
                "1/s",
                axis,
                fixed,
                heldOut,
                size,
                held.handshakes / (double) (SECONDS - WARM_SECONDS));
        if (free.refused > 0) {
            System.err.println(axis + " " + size + ": " + free.refused + " not sent at once");
        }
    }
}
