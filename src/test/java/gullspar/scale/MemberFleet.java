package gullspar.scale;

import gullspar.scale.Results.SeriesInfo;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A fleet of hollow members of the fleet view over UDP. It runs in processes of its own beside other trials. */
final class MemberFleet {
    private static final int PER_PROCESS = 80, HEAP_MB = 400, START_TIMEOUT_S = 120;

    private final ChildProcesses children;
    private final Results results;
    private final int size;
    private final int intervalMs;
    private final List<ChildProcess> processes = new ArrayList<>();
    private final long[] emptyHeapBytes;
    private long startedNs;
    private long[] startCounts;

    private MemberFleet(ChildProcesses children, Results results, int size, int intervalMs) {
        this.children = children;
        this.results = results;
        this.size = size;
        this.intervalMs = intervalMs;
        this.emptyHeapBytes = new long[(size + PER_PROCESS - 1) / PER_PROCESS];
    }

    /** Starts the processes, then all members at the same time. */
    static MemberFleet start(ChildProcesses children, Results results, int size, int intervalMs)
            throws ScaleException, IOException {
        MemberFleet members = new MemberFleet(children, results, size, intervalMs);
        for (int p = 0; p < members.emptyHeapBytes.length; p++) {
            members.processes.add(children.start(
                    "members of the view, process " + p,
                    HEAP_MB / 2,
                    ChildProcess.javaCommand(HEAP_MB, "gullspar.scale.HollowProcess", "members"),
                    Map.of()));
        }
        for (int p = 0; p < members.emptyHeapBytes.length; p++) {
            members.processes.get(p).awaitAnswer(START_TIMEOUT_S);
            members.emptyHeapBytes[p] = Long.parseLong(members.processes.get(p).ask("heap"));
        }
        members.startedNs = System.nanoTime();
        int fleet = (int) (ProcessHandle.current().pid() * 8 + size % 7) % 25_000;
        for (int p = 0; p < members.emptyHeapBytes.length; p++) {
            members.processes
                    .get(p)
                    .send("start " + fleet + " " + p * PER_PROCESS + " " + Math.min(PER_PROCESS, size - p * PER_PROCESS)
                            + " " + members.intervalMs);
        }
        for (ChildProcess c : members.processes) {
            c.awaitAnswer(START_TIMEOUT_S);
        }
        return members;
    }

    private long[] counts() throws ScaleException {
        long[] sum = new long[4];
        for (ChildProcess c : processes) {
            long[] some = Arrays.stream(c.ask("counts").split(" "))
                    .mapToLong(Long::parseLong)
                    .toArray();
            Arrays.setAll(sum, i -> sum[i] + some[i]);
        }
        return sum;
    }

    double ageS() {
        return (System.nanoTime() - startedNs) / 1e9;
    }

    /** Adds the mean traffic since the start of the members. */
    void addStartTraffic() throws ScaleException {
        startCounts = counts();
        add(
                "view.bytes.out.start",
                "B/s",
                startCounts[1] / ageS() / size,
                "bytes that a member sends a second " + "in the " + "first minute after all have started");
        add(
                "view.bytes.in.start",
                "B/s",
                startCounts[3] / ageS() / size,
                "bytes that a member gets a second in " + "the " + "first minute after all have started");
    }

    /** Adds the idle cost over the given time and the smallest view of a member, then stops the processes. */
    void addIdleAndStop(double seconds) throws ScaleException, IOException {
        try {
            long[] countsBefore = counts();
            Map<Long, ProcessUsage.CpuTime> cpuBefore = new TreeMap<>();
            for (ChildProcess c : processes) {
                cpuBefore.put(c.pid(), ProcessUsage.cpuTime(c.pid()));
            }
            long startedNs = System.nanoTime();
            Sleep.ms((long) (seconds * 1000));
            long[] countsAfter = counts();
            double memberSeconds = (System.nanoTime() - startedNs) / 1e9 * size;
            add(
                    "view.cpu.rest",
                    "ms/s",
                    ProcessUsage.cpuMsSince(cpuBefore) / memberSeconds,
                    "processor time of a member, settled");
            add(
                    "view.bytes.out.rest",
                    "B/s",
                    (countsAfter[1] - countsBefore[1]) / memberSeconds,
                    "bytes that a member sends " + "a second, " + "some minutes after the start of all");
            add(
                    "view.bytes.in.rest",
                    "B/s",
                    (countsAfter[3] - countsBefore[3]) / memberSeconds,
                    "bytes that a member gets a " + "second, " + "some minutes after the start of all");
            add(
                    "view.datagrams.out.rest",
                    "1/s",
                    (countsAfter[0] - countsBefore[0]) / memberSeconds,
                    "datagrams that a member sends a " + "second, some minutes after the start of all");
            add(
                    "view.known.share",
                    "%",
                    100.0 * smallestView() / size,
                    "members that the member with the " + "smallest view " + "sees, of 100");
            double heap = 0;
            for (int p = 0; p < processes.size(); p++) {
                heap += Long.parseLong(processes.get(p).ask("heap")) - emptyHeapBytes[p];
            }
            add("view.heap", "KB", heap / 1024 / size, "heap of a member after a collection");
        } finally {
            children.stop(processes);
        }
    }

    private int smallestView() throws ScaleException {
        int smallest = size;
        for (ChildProcess c : processes) {
            smallest = Math.min(
                    smallest,
                    Arrays.stream(c.ask("present").split(" " + ""))
                            .mapToInt(Integer::parseInt)
                            .min()
                            .orElse(0));
        }
        return smallest;
    }

    /** Waits until every member sees all members. */
    void awaitFullView(int timeoutS) throws ScaleException {
        for (long end = System.nanoTime() + timeoutS * 1_000_000_000L; smallestView() < size; ) {
            if (System.nanoTime() > end) {
                throw new ScaleException(
                        ScaleException.COUNT,
                        "some members see " + smallestView() + " of " + size + " after " + timeoutS + " s");
            }
            Sleep.ms(100);
        }
    }

    private void add(String id, String unit, double value, String description) {
        results.add(
                new SeriesInfo(
                        id + ".proxies",
                        description,
                        unit,
                        "proxies",
                        new TreeMap<>(Map.of("interval_ms", intervalMs))),
                size,
                value);
    }
}
