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
            measureDeaths();
        }
        if (only.isEmpty() || only.contains("partitions")) {
            measurePartitions();
        }
        if (only.isEmpty() || only.contains("accusations")) {
            measureAccusations();
        }
    }

    private static void print(String format, Object... values) {
        System.out.printf(Locale.ROOT, format + "%n", values);
    }

    private static SimulatedFleet settledFleet(long seed, int size, Settings s) {
        SimulatedFleet fleet = new SimulatedFleet(seed, s).start(size);
        // The first statements take some minutes to spread in a large fleet.
        fleet.run(size >= 1000 ? 600 : 40);
        return fleet;
    }

    private static boolean hasConverged(SimulatedFleet fleet) {
        int living = fleet.living().size();
        return fleet.living().stream().allMatch(node -> node.peers.size() == living && node.peers.alive() == living);
    }

    private static String percentiles(Histogram h) {
        return String.format(
                Locale.ROOT,
                "%.2f | %.2f | %.2f",
                h.getValueAtPercentile(50) / 1e3,
                h.getValueAtPercentile(99) / 1e3,
                h.getMaxValue() / 1e3);
    }

    /** Kills members one after the other; the traffic is measured before, while none fails. */
    private static void measureDeaths() {
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
                SimulatedFleet fleet = settledFleet(seed, size, Settings.withInterval(SimulatedFleet.S));
                if (!hasConverged(fleet)) {
                    print("size %d, seed %d: did not agree at the start", size, seed);
                }
                long[] before = traffic(fleet);
                fleet.run(60);
                long[] after = traffic(fleet);
                datagrams += (after[0] - before[0]) / 60.0 / size / fleets;
                bytes += (after[1] - before[1]) / 60.0 / size / fleets;
                int kills = size == 3 ? 1 : size == 10 ? 4 : 10;
                for (int d = 0; d < kills; d++, deaths++) {
                    List<Node> living = fleet.living();
                    Node victim = living.get(fleet.random.nextInt(living.size()));
                    long startedAt = fleet.now;
                    Map<Node, Long> markedGoneAt = new HashMap<>();
                    long[] firstSuspectedAt = {0};
                    fleet.changeListener = (node, c) -> {
                        if (c.subject().life() == victim.life
                                && c.kind() == Change.Kind.SUSPECTED
                                && firstSuspectedAt[0] == 0) {
                            firstSuspectedAt[0] = fleet.now;
                        } else if (c.subject().life() == victim.life && c.kind() == Change.Kind.GONE) {
                            markedGoneAt.putIfAbsent(node, fleet.now);
                        }
                    };
                    victim.kill();
                    while (markedGoneAt.size() < fleet.living().size()
                            && fleet.now - startedAt < 300 * SimulatedFleet.S) {
                        fleet.run(0.5);
                    }
                    noticed.recordValue((firstSuspectedAt[0] - startedAt) / SimulatedFleet.MS);
                    known.recordValue((markedGoneAt.values().stream()
                                            .mapToLong(x -> x)
                                            .max()
                                            .orElse(0)
                                    - startedAt)
                            / SimulatedFleet.MS);
                    fleet.changeListener = (node, c) -> {};
                    fleet.run(5);
                }
            }
            print(
                    "| %d | %s | %s | %d | %.1f | %.0f |",
                    size, percentiles(noticed), percentiles(known), deaths, datagrams, bytes);
        }
    }

    private static long[] traffic(SimulatedFleet fleet) {
        long[] c = new long[2];
        fleet.living().forEach(node -> {
            c[0] += node.peers.counters().sent();
            c[1] += node.peers.counters().sentBytes();
        });
        return c;
    }

    /** Partitions the fleet 50:50 for a while, then heals it. */
    private static void measurePartitions() {
        print("| size | cut for, s | all see all again after, s: median | p99 | most | cuts |");
        print("| --- | --- | --- | --- | --- | --- |");
        for (int size : SIZES) {
            for (int cut : new int[] {20, 120}) {
                Histogram settled = new Histogram(3);
                int fleets = size >= 1000 ? 1 : size >= 100 ? 5 : 20;
                for (int seed = 1; seed <= fleets; seed++) {
                    SimulatedFleet fleet = settledFleet(seed + 100L, size, Settings.withInterval(SimulatedFleet.S));
                    List<Node> one = new ArrayList<>(fleet.living().subList(0, size / 2));
                    List<Node> other = new ArrayList<>(fleet.living().subList(size / 2, size));
                    fleet.partition(one, other, true);
                    fleet.run(cut);
                    fleet.partition(one, other, false);
                    long startedAt = fleet.now;
                    while (!hasConverged(fleet) && fleet.now - startedAt < 600 * SimulatedFleet.S) {
                        fleet.run(0.1);
                    }
                    settled.recordValue((fleet.now - startedAt) / SimulatedFleet.MS);
                }
                print("| %d | %d | %s | %d |", size, cut, percentiles(settled), fleets);
            }
        }
    }

    /** Runs with loss and jitter and no failure: counts false suspicions, and members falsely marked as gone. */
    private static void measureAccusations() {
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
                                s.isolationWindowNs(),
                                s.maxMembers(),
                                s.bytesPerSecond());
                    }
                    SimulatedFleet fleet = settledFleet(7, size, s);
                    double hours = size == 10 ? 2 : 0.25;
                    long[] counts = new long[2];
                    Set<String> counted = new HashSet<>();
                    fleet.changeListener = (node, c) -> {
                        if (c.kind() == Change.Kind.SUSPECTED
                                && counted.add(c.subject().toString() + fleet.now / SimulatedFleet.S)) {
                            counts[0]++;
                        }
                        counts[1] += c.kind() == Change.Kind.GONE ? 1 : 0;
                    };
                    fleet.lossRate = loss;
                    fleet.jitterNs = 100 * SimulatedFleet.MS;
                    fleet.run(hours * 3600);
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
