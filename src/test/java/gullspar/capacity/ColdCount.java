package gullspar.capacity;

import gullspar.decide.Balancer;
import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.ListedServer;
import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Settings;
import gullspar.decide.Balancer.State;
import gullspar.decide.Balancer.Status;
import gullspar.decide.Policy;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Counts the requests that all proxies together send to cold backends after half of a service's backends
 * crashed at once, in virtual time with the real module. The total load does not depend on the number of
 * proxies. Run by {@code bench/scale/cold.sh}; not a test.
 */
public final class ColdCount {
    private static final long MS = 1_000_000L, S = 1000 * MS;
    private static final long DOWNTIME_NS = 2 * S, OVERLOAD_WINDOW_NS = 1500 * MS, COLD_START_NS = 8800 * MS;
    private static final double START_CAPACITY = 0.31, OVERLOAD_MULTIPLE = 3, CAPACITY_PER_S = 38;
    private static final double[] UTILIZATIONS = {0.6, 0.9};
    private static final int MAX_REQUESTS = 24, RUN_S = 45;
    private static final long CRASH_AFTER_NS = 25 * S;

    private record Event(long timeNs, long sequence, Runnable action) {}

    private final class Server {
        private final int id;
        private boolean isUp = true;
        private long startNs;
        private long idleAtNs;
        private int requests;
        private double utilization;
        private int served;
        /** Times of sends since the start, within the last overload window. */
        private final Deque<Long> recentSends = new ArrayDeque<>();

        private double maxBudgetRatio;

        Server(int id) {
            this.id = id;
        }

        double capacityShare(long t) {
            return startNs == 0
                    ? 1
                    : Math.min(1, START_CAPACITY + (1 - START_CAPACITY) * Math.max(0, t - startNs) / COLD_START_NS);
        }

        /** Compares the number of sends in the last overload window with the number allowed in it. */
        void recordSend() {
            if (startNs == 0 || capacityShare(now) >= 1) {
                return;
            }
            recentSends.add(now);
            while (recentSends.peek() < now - OVERLOAD_WINDOW_NS) {
                recentSends.remove();
            }
            double processable = CAPACITY_PER_S
                    * (capacityShare(now) + capacityShare(Math.max(startNs, now - OVERLOAD_WINDOW_NS)))
                    / 2
                    * OVERLOAD_WINDOW_NS
                    / S;
            double overloadThreshold = OVERLOAD_MULTIPLE * processable;
            maxBudgetRatio = Math.max(
                    maxBudgetRatio, recentSends.size() / (overloadThreshold + 2 * Math.sqrt(overloadThreshold) + 2));
        }
    }

    private final class Proxy implements Balancer.Actions {
        private final Policy module;
        private final Map<Integer, int[]> attemptCounts = new HashMap<>();
        private int lastTicket;

        Proxy(int index, Settings shared, int proxyCount, List<ListedServer> list) {
            Settings settings = new Settings(
                    index,
                    proxyCount,
                    0,
                    shared.profiles(),
                    false,
                    true,
                    5,
                    shared.maxRetryAfterNs(),
                    START_CAPACITY,
                    COLD_START_NS,
                    OVERLOAD_MULTIPLE,
                    OVERLOAD_WINDOW_NS,
                    0,
                    shared.clockStepNs(),
                    shared.crossZonePrice(),
                    false,
                    0);
            module = new Policy(settings, random.nextLong(), now, this);
            module.onServerList(now, ListKind.FULL, 1, list);
        }

        void request() {
            attemptCounts.put(++lastTicket, new int[1]);
            module.onRequest(now, new Request(lastTicket, 0, 0, 0, 600 * MS, 0, false));
        }

        @Override
        public void send(int ticket, int serverId, long timeoutNs) {
            int attempt = attemptCounts.get(ticket)[0]++;
            Server server = servers.get(serverId);
            long sentAt = now;
            sends++;
            if (!server.isUp) {
                scheduleIn(MS, () -> completeAttempt(ticket, attempt, server, Status.CONNECT_FAILED, sentAt, false));
                return;
            }
            server.recordSend();
            if (server.requests >= MAX_REQUESTS) {
                scheduleIn(MS, () -> completeAttempt(ticket, attempt, server, Status.FULL, sentAt, true));
                return;
            }
            server.requests++;
            long start = Math.max(now, server.idleAtNs);
            long end = start + (long) (S / CAPACITY_PER_S / server.capacityShare(start));
            server.idleAtNs = end;
            long serverStart = server.startNs;
            long timeout = timeoutNs > 0 ? Math.min(timeoutNs, 600 * MS) : 600 * MS;
            boolean timesOut = end - now > timeout;
            schedule(end, () -> {
                if (server.startNs == serverStart && server.isUp) {
                    server.requests--;
                    server.served++;
                }
            });
            schedule(timesOut ? now + timeout : end, () -> {
                boolean crashed = server.startNs != serverStart || !server.isUp;
                completeAttempt(
                        ticket,
                        attempt,
                        server,
                        crashed ? Status.RESET : timesOut ? Status.TIMEOUT : Status.OK,
                        sentAt,
                        !crashed && !timesOut);
            });
        }

        private void completeAttempt(
                int ticket, int attempt, Server server, Status status, long sentAt, boolean hasReport) {
            succeeded += status == Status.OK ? 1 : 0;
            module.onOutcome(
                    now,
                    new Outcome(
                            ticket,
                            attempt,
                            server.id,
                            status,
                            now - sentAt,
                            status == Status.OK,
                            hasReport
                                    ? new Report(
                                            server.requests,
                                            Double.NaN,
                                            server.utilization,
                                            Double.NaN,
                                            CAPACITY_PER_S * server.utilization,
                                            0)
                                    : null));
            if (status == Status.OK) {
                attemptCounts.remove(ticket);
            }
        }

        @Override
        public void setTimer(long time, long token) {
            schedule(time, () -> module.onTimer(now, token));
        }

        @Override
        public void refuse(int ticket, long retryInNs) {}

        @Override
        public void fail(int ticket) {}

        @Override
        public void cancel(int ticket, int attempt) {}

        @Override
        public void probe(int server) {}

        @Override
        public void closeIdleConnections(int server) {}

        @Override
        public void sendToPeer(int peer, byte[] message) {}

        @Override
        public void log(String line) {}

        @Override
        public void subscribe(boolean on) {}

        @Override
        public void requestList() {}
    }

    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::timeNs).thenComparingLong(Event::sequence));
    private final Map<Integer, Server> servers = new HashMap<>();
    private final List<Proxy> proxies = new ArrayList<>();
    private long now = 1_800_000_000L * S;
    private long nextSequence;
    private long succeeded;
    private long sends;
    private long requested;

    private ColdCount(int seed) {
        random = new SplittableRandom(seed);
    }

    public static void main(String[] args) throws IOException {
        List<Integer> seeds = List.of(1, 2, 3, 4, 5);
        ResultsWriter results = new ResultsWriter("bench/scale/cold.sh", seeds);
        for (double utilization : UTILIZATIONS) {
            for (int proxyCount : new int[] {24, 40, 160, 320, 640, 1280}) {
                for (int seed : seeds) {
                    ColdCount run = new ColdCount(seed);
                    double maxBudgetRatio = run.simulate(proxyCount, 20, utilization);
                    int percent = (int) Math.round(100 * utilization);
                    results.addPoint(
                            "cold.sum." + percent,
                            "calls to the worst cold backend in 1.5 s, as a "
                                    + "part of "
                                    + "what it may get, N + 2 x root of N + 2; " + percent + "% in use before half "
                                    + "crash",
                            "",
                            "proxies",
                            Map.of("backends", 20),
                            1280,
                            proxyCount,
                            maxBudgetRatio);
                    System.err.printf(
                            "  %d requests, %d attempts sent, %d succeeded%n", run.requested, run.sends, run.succeeded);
                }
            }
        }
        results.write(Path.of(args[0]));
    }

    private void schedule(long time, Runnable action) {
        events.add(new Event(Math.max(time, now), nextSequence++, action));
    }

    private void scheduleIn(long ns, Runnable action) {
        schedule(now + ns, action);
    }

    private ListedServer listedServer(Server server) {
        return new ListedServer(server.id, 0, State.READY, server.startNs, 0, 0, 1);
    }

    private double simulate(int proxyCount, int backends, double utilization) {
        for (int i = 0; i < backends; i++) {
            servers.put(i, new Server(i));
        }
        List<ListedServer> list =
                servers.values().stream().map(this::listedServer).toList();
        Settings settings = GeneratedInputs.parseConfig(GeneratedInputs.settings(proxyCount, 0, "{}"))
                .settings();
        for (int i = 0; i < proxyCount; i++) {
            proxies.add(new Proxy(i, settings, proxyCount, list));
        }
        long start = now;
        long end = now + RUN_S * S;
        servers.values().forEach(this::updateUtilization);
        sendRequests(backends * CAPACITY_PER_S * utilization, end);
        schedule(
                start + CRASH_AFTER_NS,
                () -> servers.values().stream().filter(s -> s.id % 2 == 0).forEach(this::crash));
        while (!events.isEmpty() && events.peek().timeNs() <= end) {
            Event event = events.remove();
            now = event.timeNs();
            event.action().run();
        }
        return servers.values().stream()
                .mapToDouble(s -> s.maxBudgetRatio)
                .max()
                .orElse(0);
    }

    private void sendRequests(double rate, long end) {
        requested++;
        proxies.get(random.nextInt(proxies.size())).request();
        long gap = (long) (-Math.log(1 - random.nextDouble()) / rate * S);
        if (now + gap < end) {
            scheduleIn(gap, () -> sendRequests(rate, end));
        }
    }

    private void updateUtilization(Server server) {
        server.utilization = Math.min(1, server.served / (CAPACITY_PER_S * server.capacityShare(now) * 0.5));
        server.served = 0;
        scheduleIn(S / 2, () -> updateUtilization(server));
    }

    private void crash(Server server) {
        server.isUp = false;
        server.requests = 0;
        scheduleIn(DOWNTIME_NS, () -> {
            server.isUp = true;
            server.startNs = now;
            server.idleAtNs = now;
            server.recentSends.clear();
            proxies.forEach(p -> scheduleIn(
                    500 * MS + random.nextLong(2 * S),
                    () -> p.module.onServerList(now, ListKind.DELTA, 2, List.of(listedServer(server)))));
        });
    }
}
