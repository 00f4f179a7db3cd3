package gullspar.peers;

import gullspar.peers.SimulatedFleet.Node;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;

/**
 * Measures the view of the fleet in virtual time: the time until a death is detected and known to all, the time until
 * a healed partition converges, the traffic, and the rate of false accusations. Run by
 * {@code bench/fleet/figures.sh}; not a test.
 */
public final class FleetFigures {
    private static final int[] SIZES = {3, 10, 100, 1000};
    private static final double[] LOSSES = {0, 0.05, 0.15, 0.3};

    private FleetFigures() {}

    public static void main(String[] args) {
        Set<String> only = Set.of(args);
        if (only.isEmpty() || only.contains("deaths")) {
            deaths();
        }
        if (only.isEmpty() || only.contains("partitions")) {
            partitions();
        }
        if (only.isEmpty() || only.contains("accusations")) {
            accusations();
        }
    }

    private static void print(String format, Object... values) {
        System.out.printf(Locale.ROOT, format + "%n", values);
    }

    private static SimulatedFleet settledFleet(long seed, int size, Settings s) {
        SimulatedFleet t = new SimulatedFleet(seed, s).start(size);
        // The first statements take some minutes to spread in a large fleet.
        t.run(size >= 1000 ? 600 : 40);
        return t;
    }

    private static boolean hasConverged(SimulatedFleet t) {
        int living = t.living().size();
        return t.living().stream().allMatch(l -> l.peers.size() == living && l.peers.alive() == living);
    }

    private static String spread(Histogram h) {
        return String.format(
                Locale.ROOT,
                "%.2f | %.2f | %.2f",
                h.getValueAtPercentile(50) / 1e3,
                h.getValueAtPercentile(99) / 1e3,
                h.getMaxValue() / 1e3);
    }

    /** Kills members one after the other; the traffic is measured before, while none fails. */
    private static void deaths() {
        print("| size | noticed by one, s: median | p99 | most | known to all, s: median | p99 | most | deaths "
                + "| datagrams/s a member | bytes/s a member |");
        print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (int size : SIZES) {
            Histogram noticed = new Histogram(3);
            Histogram known = new Histogram(3);
            int deaths = 0;
            double datagrams = 0;
            double bytes = 0;
            int fleets = size >= 1000 ? 1 : size >= 100 ? 3 : 20;
            for (int seed = 1; seed <= fleets; seed++) {
                SimulatedFleet t = settledFleet(seed, size, Settings.withInterval(SimulatedFleet.S));
                if (!hasConverged(t)) {
                    print("size %d, seed %d: did not agree at the start", size, seed);
                }
                long[] before = cost(t);
                t.run(60);
                long[] after = cost(t);
                datagrams += (after[0] - before[0]) / 60.0 / size / fleets;
                bytes += (after[1] - before[1]) / 60.0 / size / fleets;
                int kills = size == 3 ? 1 : size == 10 ? 4 : 10;
                for (int d = 0; d < kills; d++, deaths++) {
                    List<Node> living = t.living();
                    Node victim = living.get(t.random.nextInt(living.size()));
                    long startedAt = t.now;
                    Map<Node, Long> markedGoneAt = new HashMap<>();
                    long[] first = {0};
                    t.changeListener = (l, c) -> {
                        if (c.subject().life() == victim.life && c.kind() == Change.Kind.SUSPECTED && first[0] == 0) {
                            first[0] = t.now;
                        } else if (c.subject().life() == victim.life && c.kind() == Change.Kind.GONE) {
                            markedGoneAt.putIfAbsent(l, t.now);
                        }
                    };
                    victim.kill();
                    while (markedGoneAt.size() < t.living().size() && t.now - startedAt < 300 * SimulatedFleet.S) {
                        t.run(0.5);
                    }
                    noticed.recordValue((first[0] - startedAt) / SimulatedFleet.MS);
                    known.recordValue((markedGoneAt.values().stream()
                                            .mapToLong(x -> x)
                                            .max()
                                            .orElse(0)
                                    - startedAt)
                            / SimulatedFleet.MS);
                    t.changeListener = (l, c) -> {};
                    t.run(5);
                }
            }
            print(
                    "| %d | %s | %s | %d | %.1f | %.0f |",
                    size, spread(noticed), spread(known), deaths, datagrams, bytes);
        }
    }

    private static long[] cost(SimulatedFleet t) {
        long[] c = new long[2];
        t.living().forEach(l -> {
            c[0] += l.peers.counters().sent();
            c[1] += l.peers.counters().sentBytes();
        });
        return c;
    }

    /** Partitions the fleet 50:50 for a while, then heals it. */
    private static void partitions() {
        print("| size | cut for, s | all see all again after, s: median | p99 | most | cuts |");
        print("| --- | --- | --- | --- | --- | --- |");
        for (int size : SIZES) {
            for (int cut : new int[] {20, 120}) {
                Histogram settled = new Histogram(3);
                int fleets = size >= 1000 ? 1 : size >= 100 ? 5 : 20;
                for (int seed = 1; seed <= fleets; seed++) {
                    SimulatedFleet t = settledFleet(seed + 100L, size, Settings.withInterval(SimulatedFleet.S));
                    List<Node> one = new ArrayList<>(t.living().subList(0, size / 2));
                    List<Node> other = new ArrayList<>(t.living().subList(size / 2, size));
                    t.partition(one, other, true);
                    t.run(cut);
                    t.partition(one, other, false);
                    long startedAt = t.now;
                    while (!hasConverged(t) && t.now - startedAt < 600 * SimulatedFleet.S) {
                        t.run(0.1);
                    }
                    settled.recordValue((t.now - startedAt) / SimulatedFleet.MS);
                }
                print("| %d | %d | %s | %d |", size, cut, spread(settled), fleets);
            }
        }
    }

    /** Runs with loss and jitter and no failure: counts false suspicions, and members falsely marked as gone. */
    private static void accusations() {
        print("| size | loss | Lifeguard | suspected, an hour a member | called gone, an hour a member |");
        print("| --- | --- | --- | --- | --- |");
        for (int size : new int[] {10, 100}) {
            for (double loss : LOSSES) {
                for (boolean lifeguard : new boolean[] {true, false}) {
                    Settings s = Settings.withInterval(SimulatedFleet.S);
                    if (!lifeguard) {
                        s = new Settings(
                                s.intervalNs(),
                                s.timeoutNs(),
                                s.indirectProbes(),
                                s.suspicionMultiplier(),
                                1,
                                0,
                                0,
                                s.retransmitMultiplier(),
                                s.fanout(),
                                s.syncNs(),
                                s.statsIntervalNs(),
                                s.maxReconnectIntervals(),
                                s.forgetNs(),
                                s.windowNs(),
                                s.maxMembers(),
                                s.bytesPerSecond());
                    }
                    SimulatedFleet t = settledFleet(7, size, s);
                    double hours = size == 10 ? 2 : 0.25;
                    long[] counts = new long[2];
                    Set<String> counted = new HashSet<>();
                    t.changeListener = (l, c) -> {
                        if (c.kind() == Change.Kind.SUSPECTED
                                && counted.add(c.subject().toString() + t.now / SimulatedFleet.S)) {
                            counts[0]++;
                        }
                        counts[1] += c.kind() == Change.Kind.GONE ? 1 : 0;
                    };
                    t.lossRate = loss;
                    t.jitterNs = 100 * SimulatedFleet.MS;
                    t.run(hours * 3600);
                    print(
                            "| %d | %.0f %% | %s | %.2f | %.2f |",
                            size,
                            100 * loss,
                            lifeguard ? "with" : "without",
                            counts[0] / hours / size,
                            counts[1] / hours / size);
                }
            }
        }
    }
}
