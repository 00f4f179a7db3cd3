package gullspar.peers;

import gullspar.capacity.ResultsWriter;
import gullspar.peers.SimulatedFleet.Node;
import gullspar.peers.wire.Codec;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Measures the cost of the view of the fleet per member, in virtual time: bytes sent and received per second in the
 * minutes after a simultaneous start, by kind of message, and after the death of an eighth, and the memory of the
 * roster. Bytes are those of the encoded datagrams with their envelope, without the headers of UDP and IP. Run by
 * {@code bench/scale/view.sh}; not a test.
 */
public final class ViewCost {
    private static final int ENVELOPE_BYTES = 21;
    private static final int MINUTES = 13;
    private static final int FIRST_STEADY_MINUTE = 8;
    private static final List<String> KINDS =
            List.of("ping", "ack", "pingreq", "nack", "news", "digest", "listing", "want", "statements told");

    /** Traffic of all members in a span of time. */
    private static final class Count {
        private final Map<String, Long> bytes = new TreeMap<>();
        private long sent;
        private long received;
        private long datagrams;

        Count() {
            KINDS.forEach(k -> bytes.put(k, 0L));
        }
    }

    private final ResultsWriter results;
    private final int heldOut;
    private final int size;
    private final SimulatedFleet fleet;
    private final Map<Message, Integer> encoded = new IdentityHashMap<>();
    private final Map<Node, Long> sentBy = new HashMap<>();
    private Count count = new Count();

    private ViewCost(ResultsWriter results, int heldOut, int size, int seed) {
        this.heldOut = heldOut;
        this.results = results;
        this.size = size;
        this.fleet = new SimulatedFleet(seed, Settings.withInterval(SimulatedFleet.S));
        fleet.recordsHistory = false;
        fleet.sendListener = (node, m) -> {
            int bytes = Codec.encode(m).length + ENVELOPE_BYTES;
            encoded.put(m, bytes);
            count.sent += bytes;
            count.datagrams++;
            sentBy.merge(node, (long) bytes, Long::sum);
            count.bytes.merge(kind(m), (long) bytes, Long::sum);
            long statements =
                    m.rumors().stream().filter(r -> r.statement() != null).count();
            count.bytes.merge("statements told", statements, Long::sum);
        };
        fleet.deliveryListener = (node, m) -> count.received += encoded.getOrDefault(m, m.maxBytes());
    }

    private static String kind(Message m) {
        return m.getClass().getSimpleName().toLowerCase(Locale.ROOT);
    }

    public static void main(String[] args) throws IOException {
        List<Integer> seeds =
                Stream.of(args[1].split(",")).map(Integer::valueOf).toList();
        ResultsWriter results = new ResultsWriter("bench/scale/view.sh " + args[1] + " " + args[2], seeds);
        if (args.length > 3) {
            results.withExisting(Path.of(args[3]));
        }
        int[] sizes = Stream.of(args[2].split(",")).mapToInt(Integer::parseInt).toArray();
        for (int size : sizes) {
            for (int seed : seeds) {
                new ViewCost(results, sizes[sizes.length - 1], size, seed).measure();
                results.write(Path.of(args[0]));
            }
        }
    }

    private void point(String id, String description, String unit, double value) {
        results.addPoint(id, description, unit, "proxies", Map.of(), heldOut, size, value);
    }

    /** An address of realistic length. */
    private static String address(int i) {
        return "10.20." + i / 250 + "." + (1 + i % 250) + ":7946";
    }

    /** Runs for that time; returns the highest rate over 10 s, in bytes sent per second and member. */
    private double run(int seconds) {
        double worstRate = 0;
        for (int s = 0; s < seconds; s += 10) {
            long before = count.sent;
            fleet.run(10);
            worstRate = Math.max(
                    worstRate, (count.sent - before) / 10.0 / fleet.living().size());
        }
        encoded.clear();
        return worstRate;
    }

    private void measure() {
        for (int i = 1; i <= size; i++) {
            fleet.start("proxy-" + i, address(i), address(1), address(2), address(3));
        }
        Count steady = null;
        long cpu = 0;
        for (int minute = 1; minute <= MINUTES; minute++) {
            count = minute > FIRST_STEADY_MINUTE ? count : new Count();
            sentBy.clear();
            long sent = count.sent;
            long cpuBefore = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
            double worst = run(60);
            cpu += minute < FIRST_STEADY_MINUTE
                    ? 0
                    : ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpuBefore;
            if (minute == 1) {
                point(
                        "view.start.worst10s",
                        "bytes sent a second and member in the worst 10 s of a start of all",
                        "B/s",
                        worst);
                point(
                        "view.start.busiest",
                        "bytes sent a second by the busiest member in the first minute",
                        "B/s",
                        sentBy.values().stream().mapToLong(x -> x).max().orElse(0) / 60.0);
            }
            if (minute < FIRST_STEADY_MINUTE) {
                report(count, 60, "minute" + minute, "minute " + minute + " from the start of all");
            } else {
                System.err.printf("minute %d: %.0f B/s sent%n", minute, (count.sent - sent) / 60.0 / size);
                steady = count;
            }
        }
        point(
                "view.cpu.rest",
                "processor time a second and member at rest, encoding included; reading, "
                        + "codes and "
                        + "sockets are not",
                "ns/s",
                cpu / 60.0 / (MINUTES - FIRST_STEADY_MINUTE + 1) / size);
        report(steady, 60 * (MINUTES - FIRST_STEADY_MINUTE + 1), "rest", "minutes 8 to 13");
        measureMemory();
        measureEighthKilled();
    }

    private void report(Count c, double seconds, String name, String when) {
        int members = fleet.living().size();
        point("view.sent." + name, "bytes sent a second and member, " + when, "B/s", c.sent / seconds / members);
        point(
                "view.received." + name,
                "bytes received a second and member, " + when,
                "B/s",
                c.received / seconds / members);
        if (name.equals("rest") || name.equals("minute1") || name.equals("minute4") || name.equals("minute7")) {
            point(
                    "view.datagrams." + name,
                    "datagrams sent a second and member, " + when,
                    "1/s",
                    c.datagrams / seconds / members);
            c.bytes.forEach((kind, bytes) -> point(
                    "view." + name + "." + kind.replace(' ', '-'),
                    kind.equals("statements told")
                            ? "statements told a second and member, " + when
                            : "bytes sent a second and member as " + kind + ", " + when,
                    kind.equals("statements told") ? "1/s" : "B/s",
                    bytes / seconds / members));
        }
    }

    private void measureMemory() {
        long full = usedHeapBytes();
        int tables = fleet.living().size();
        int entries =
                fleet.living().stream().mapToInt(node -> node.peers.size()).sum();
        SimulatedFleet empty = new SimulatedFleet(1, Settings.withInterval(SimulatedFleet.S));
        long before = usedHeapBytes();
        for (int i = 0; i < tables; i++) {
            empty.start("proxy-" + i, address(i), address(1), address(2), address(3));
        }
        long alone = usedHeapBytes() - before;
        if (empty.nodes.size() != tables) {
            throw new IllegalStateException();
        }
        double each = (full - BASE_HEAP_BYTES - alone) / (double) entries;
        point("view.memory.member", "heap that one entry of the table takes", "B", each);
        point("view.memory.table", "heap of one process's whole table", "B", each * size);
    }

    private static final long BASE_HEAP_BYTES = usedHeapBytes();

    private static long usedHeapBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private void measureEighthKilled() {
        List<Node> living = new ArrayList<>(fleet.living());
        for (int i = 0; i < size / 8; i++) {
            living.remove(fleet.random.nextInt(living.size())).kill();
        }
        double worst = 0;
        count = new Count();
        for (int s = 0; s < 120; s += 20) {
            long before = count.sent;
            worst = Math.max(worst, run(20));
            System.err.printf(
                    "%d: an eighth dead, %d to %d s later: %.0f B/s%n",
                    size, s, s + 20, (count.sent - before) / 20.0 / living.size());
        }
        report(count, 120, "eighth", "120 s from the death of an eighth on");
        point(
                "view.eighth.worst10s",
                "bytes sent a second and member in the worst 10 s after an eighth died",
                "B/s",
                worst);
    }
}
