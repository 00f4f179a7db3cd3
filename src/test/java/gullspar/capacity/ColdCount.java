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
 * Counts what all proxies together send to cold backends, in virtual time, by the real module: half of a
 * service's backends crash at once under the same load, however many proxies share it. Run by
 * {@code bench/scale/cold.sh}; not a test.
 */
public final class ColdCount {
    private static final long MS = 1_000_000L, S = 1000 * MS;
    private static final long DOWN_NS = 2 * S, FALL_NS = 1500 * MS, COLD_NS = 8800 * MS;
    private static final double START_CAPACITY = 0.31, MULTIPLE = 3, CAPACITY = 38;
    private static final double[] USES = {0.6, 0.9};
    private static final int QUEUE = 24, SECONDS = 45;
    private static final long CRASH_NS = 25 * S;

    private record Event(long at, long number, Runnable what) {}

    private final class Server {
        private final int id;
        private boolean up = true;
        private long bootNs;
        private long freeAt;
        private int held;
        private double util;
        private int served;
        /** When it was sent something since it started, within the time in which it could fall. */
        private final Deque<Long> sent = new ArrayDeque<>();

        private double worst;

        Server(int id) {
            this.id = id;
        }

        double warmth(long t) {
            return bootNs == 0
                    ? 1
                    : Math.min(1, START_CAPACITY + (1 - START_CAPACITY) * Math.max(0, t - bootNs) / COLD_NS);
        }

        /** Counts a send against what may come in any span of that length. */
        void count() {
            if (bootNs == 0 || warmth(now) >= 1) {
                return;
            }
            sent.add(now);
            while (sent.peek() < now - FALL_NS) {
                sent.remove();
            }
            double could = CAPACITY * (warmth(now) + warmth(Math.max(bootNs, now - FALL_NS))) / 2 * FALL_NS / S;
            double n = MULTIPLE * could;
            worst = Math.max(worst, sent.size() / (n + 2 * Math.sqrt(n) + 2));
        }
    }

    private final class Proxy implements Balancer.Actions {
        private final Policy module;
        private final Map<Integer, int[]> attempts = new HashMap<>();
        private int ticket;

        Proxy(int me, Settings all, int proxies, List<ListedServer> list) {
            Settings s = new Settings(
                    me,
                    proxies,
                    0,
                    all.profiles(),
                    false,
                    true,
                    5,
                    all.maxRetryAfterNs(),
                    START_CAPACITY,
                    COLD_NS,
                    MULTIPLE,
                    FALL_NS,
                    0,
                    all.clockStepNs(),
                    all.crossZonePrice(),
                    false,
                    0);
            module = new Policy(s, random.nextLong(), now, this);
            module.onServerList(now, ListKind.FULL, 1, list);
        }

        void request() {
            attempts.put(++ticket, new int[1]);
            module.onRequest(now, new Request(ticket, 0, 0, 0, 600 * MS, 0, false));
        }

        @Override
        public void send(int t, int server, long timeoutNs) {
            int attempt = attempts.get(t)[0]++;
            Server s = servers.get(server);
            long sentAt = now;
            sends++;
            if (!s.up) {
                after(MS, () -> ended(t, attempt, s, Status.CONNECT_FAILED, sentAt, false));
                return;
            }
            s.count();
            if (s.held >= QUEUE) {
                after(MS, () -> ended(t, attempt, s, Status.FULL, sentAt, true));
                return;
            }
            s.held++;
            long begin = Math.max(now, s.freeAt);
            long done = begin + (long) (S / CAPACITY / s.warmth(begin));
            s.freeAt = done;
            long boot = s.bootNs;
            long most = timeoutNs > 0 ? Math.min(timeoutNs, 600 * MS) : 600 * MS;
            boolean late = done - now > most;
            at(done, () -> {
                if (s.bootNs == boot && s.up) {
                    s.held--;
                    s.served++;
                }
            });
            at(late ? now + most : done, () -> {
                boolean crashed = s.bootNs != boot || !s.up;
                ended(
                        t,
                        attempt,
                        s,
                        crashed ? Status.RESET : late ? Status.TIMEOUT : Status.OK,
                        sentAt,
                        !crashed && !late);
            });
        }

        private void ended(int t, int attempt, Server s, Status status, long sentAt, boolean report) {
            good += status == Status.OK ? 1 : 0;
            module.onOutcome(
                    now,
                    new Outcome(
                            t,
                            attempt,
                            s.id,
                            status,
                            now - sentAt,
                            status == Status.OK,
                            report ? new Report(s.held, Double.NaN, s.util, Double.NaN, CAPACITY * s.util, 0) : null));
            if (status == Status.OK) {
                attempts.remove(t);
            }
        }

        @Override
        public void setTimer(long time, long token) {
            at(time, () -> module.onTimer(now, token));
        }

        @Override
        public void refuse(int t, long retryInNs) {}

        @Override
        public void fail(int t) {}

        @Override
        public void cancel(int t, int attempt) {}

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
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final Map<Integer, Server> servers = new HashMap<>();
    private final List<Proxy> proxies = new ArrayList<>();
    private long now = 1_800_000_000L * S;
    private long numbers;
    private long good;
    private long sends;
    private long asked;

    private ColdCount(int seed) {
        random = new SplittableRandom(seed);
    }

    public static void main(String[] args) throws IOException {
        List<Integer> seeds = List.of(1, 2, 3, 4, 5);
        ResultsWriter results = new ResultsWriter("bench/scale/cold.sh", seeds);
        for (double use : USES) {
            for (int n : new int[] {24, 40, 160, 320, 640, 1280}) {
                for (int seed : seeds) {
                    ColdCount c = new ColdCount(seed);
                    double worst = c.play(n, 20, use);
                    int percent = (int) Math.round(100 * use);
                    results.point(
                            "cold.sum." + percent,
                            "calls to the worst cold backend in 1.5 s, as a "
                                    + "part of "
                                    + "what it may get, N + 2 x root of N + 2; " + percent + "% in use before half "
                                    + "crash",
                            "",
                            "proxies",
                            Map.of("backends", 20),
                            1280,
                            n,
                            worst);
                    System.err.printf("  %d asked, %d sent, %d served%n", c.asked, c.sends, c.good);
                }
            }
        }
        results.write(Path.of(args[0]));
    }

    private void at(long time, Runnable what) {
        events.add(new Event(Math.max(time, now), numbers++, what));
    }

    private void after(long ns, Runnable what) {
        at(now + ns, what);
    }

    private ListedServer member(Server s) {
        return new ListedServer(s.id, 0, State.READY, s.bootNs, 0, 0, 1);
    }

    private double play(int count, int backends, double use) {
        for (int i = 0; i < backends; i++) {
            servers.put(i, new Server(i));
        }
        List<ListedServer> list = servers.values().stream().map(this::member).toList();
        Settings all = Inputs.config(Inputs.settings(count, 0, "{}")).settings();
        for (int i = 0; i < count; i++) {
            proxies.add(new Proxy(i, all, count, list));
        }
        long begin = now;
        long end = now + SECONDS * S;
        servers.values().forEach(this::reports);
        next(backends * CAPACITY * use, end);
        at(
                begin + CRASH_NS,
                () -> servers.values().stream().filter(s -> s.id % 2 == 0).forEach(this::crash));
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event e = events.remove();
            now = e.at();
            e.what().run();
        }
        return servers.values().stream().mapToDouble(s -> s.worst).max().orElse(0);
    }

    private void next(double rate, long end) {
        asked++;
        proxies.get(random.nextInt(proxies.size())).request();
        long gap = (long) (-Math.log(1 - random.nextDouble()) / rate * S);
        if (now + gap < end) {
            after(gap, () -> next(rate, end));
        }
    }

    private void reports(Server s) {
        s.util = Math.min(1, s.served / (CAPACITY * s.warmth(now) * 0.5));
        s.served = 0;
        after(S / 2, () -> reports(s));
    }

    private void crash(Server s) {
        s.up = false;
        s.held = 0;
        after(DOWN_NS, () -> {
            s.up = true;
            s.bootNs = now;
            s.freeAt = now;
            s.sent.clear();
            proxies.forEach(p -> after(
                    500 * MS + random.nextLong(2 * S),
                    () -> p.module.onServerList(now, ListKind.DELTA, 2, List.of(member(s)))));
        });
    }
}
