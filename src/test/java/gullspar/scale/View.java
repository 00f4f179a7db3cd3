package gullspar.scale;

import gullspar.scale.Results.About;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A fleet of members of the view over UDP, which runs on its own while other trials do. */
final class View {
    private static final int PER_PROCESS = 80, HEAP_MB = 400, START_S = 120;

    private final Children children;
    private final Results results;
    private final int size;
    private final int intervalMs;
    private final List<Child> processes = new ArrayList<>();
    private final long[] idleHeap;
    private long startedNs;
    private long[] atStart;

    private View(Children children, Results results, int size, int intervalMs) {
        this.children = children;
        this.results = results;
        this.size = size;
        this.intervalMs = intervalMs;
        this.idleHeap = new long[(size + PER_PROCESS - 1) / PER_PROCESS];
    }

    /** All members start at one time. */
    static View start(Children children, Results results, int size, int intervalMs) throws ScaleException, IOException {
        View v = new View(children, results, size, intervalMs);
        for (int p = 0; p < v.idleHeap.length; p++) {
            v.processes.add(children.start(
                    "members of the view, process " + p,
                    HEAP_MB / 2,
                    Child.java(HEAP_MB, "gullspar.scale.Hollow", "members"),
                    Map.of()));
        }
        for (int p = 0; p < v.idleHeap.length; p++) {
            v.processes.get(p).answer(START_S);
            v.idleHeap[p] = Long.parseLong(v.processes.get(p).ask("heap"));
        }
        v.startedNs = System.nanoTime();
        int fleet = (int) (ProcessHandle.current().pid() * 8 + size % 7) % 25_000;
        for (int p = 0; p < v.idleHeap.length; p++) {
            v.processes
                    .get(p)
                    .say("start " + fleet + " " + p * PER_PROCESS + " " + Math.min(PER_PROCESS, size - p * PER_PROCESS)
                            + " " + v.intervalMs);
        }
        for (Child c : v.processes) {
            c.answer(START_S);
        }
        return v;
    }

    private long[] counts() throws ScaleException {
        long[] sum = new long[4];
        for (Child c : processes) {
            long[] some = Arrays.stream(c.ask("counts").split(" "))
                    .mapToLong(Long::parseLong)
                    .toArray();
            Arrays.setAll(sum, i -> sum[i] + some[i]);
        }
        return sum;
    }

    /** Seconds since its start. */
    double age() {
        return (System.nanoTime() - startedNs) / 1e9;
    }

    /** What it did since its start, over the time since then. */
    void first() throws ScaleException {
        atStart = counts();
        add(
                "view.bytes.out.start",
                "B/s",
                atStart[1] / age() / size,
                "bytes that a member sends a second " + "in the " + "first minute after all have started");
        add(
                "view.bytes.in.start",
                "B/s",
                atStart[3] / age() / size,
                "bytes that a member gets a second in " + "the " + "first minute after all have started");
    }

    /** What it does at rest, over so long; then it ends. All must see all. */
    void rest(double seconds) throws ScaleException, IOException {
        try {
            long[] before = counts();
            Map<Long, Accounts.Booked> booked = new TreeMap<>();
            for (Child c : processes) {
                booked.put(c.pid(), Accounts.booked(c.pid()));
            }
            long at = System.nanoTime();
            Pause.ms((long) (seconds * 1000));
            long[] after = counts();
            double passed = (System.nanoTime() - at) / 1e9 * size;
            add("view.cpu.rest", "ms/s", Accounts.ms(booked) / passed, "processor time of a member, settled");
            add(
                    "view.bytes.out.rest",
                    "B/s",
                    (after[1] - before[1]) / passed,
                    "bytes that a member sends " + "a second, " + "some minutes after the start of all");
            add(
                    "view.bytes.in.rest",
                    "B/s",
                    (after[3] - before[3]) / passed,
                    "bytes that a member gets a " + "second, " + "some minutes after the start of all");
            add(
                    "view.datagrams.out.rest",
                    "1/s",
                    (after[0] - before[0]) / passed,
                    "datagrams that a member sends a " + "second, some minutes after the start of all");
            add(
                    "view.known.share",
                    "%",
                    100.0 * least() / size,
                    "members that the member with the " + "smallest view " + "sees, of 100");
            double heap = 0;
            for (int p = 0; p < processes.size(); p++) {
                heap += Long.parseLong(processes.get(p).ask("heap")) - idleHeap[p];
            }
            add("view.heap", "KB", heap / 1024 / size, "heap of a member after a collection");
        } finally {
            children.end(processes);
        }
    }

    private int least() throws ScaleException {
        int least = size;
        for (Child c : processes) {
            least = Math.min(
                    least,
                    Arrays.stream(c.ask("present").split(" " + ""))
                            .mapToInt(Integer::parseInt)
                            .min()
                            .orElse(0));
        }
        return least;
    }

    /** Waits until all see all. */
    void settled(int withinS) throws ScaleException {
        for (long end = System.nanoTime() + withinS * 1_000_000_000L; least() < size; ) {
            if (System.nanoTime() > end) {
                throw new ScaleException(
                        ScaleException.COUNT,
                        "some members see " + least() + " of " + size + " after " + withinS + " s");
            }
            Pause.ms(100);
        }
    }

    private void add(String id, String unit, double value, String what) {
        results.add(
                new About(id + ".proxies", what, unit, "proxies", new TreeMap<>(Map.of("interval_ms", intervalMs))),
                size,
                value);
    }
}
