package gullspar.versions.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import gullspar.versions.Checksum;
import gullspar.versions.Delta;
import gullspar.versions.Document;
import gullspar.versions.Message;
import gullspar.versions.Publisher;
import gullspar.versions.Version;
import gullspar.versions.net.ControlClient;
import gullspar.versions.wire.Frames;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;

/**
 * Measures the distribution of versions: three control processes and some real proxies run as processes, hollow
 * followers in this one. All connections go through relays that delay by 40 ms and lose 2 segments in 100
 * (bench/scale/versions.sh).
 */
public final class VersionsRun {
    private static final double DELAY_MS = 40;
    private static final double LOSS = 0.02;
    private static final int CHANGES_PER_HOUR = 158;
    private static final int OUTAGE_S = 30;
    private static final int IDLE_S = 10;
    private static final int RECONNECT_S = 30;
    private static final int TIMEOUT_S = 120;
    /** A sequence of changes ends after this time, however many were made. */
    private static final int SEQUENCE_LIMIT_S = 240;

    private static final int TICKS_PER_SECOND = 100;

    private final int followerCount;
    private final int realProxies;
    private final int changes;
    private final int routes;
    private final long seed;
    private final Path folder;
    private final List<Process> processes = new ArrayList<>();
    private final MultiThreadIoEventLoopGroup relayThreads = Relay.threads(2);
    private final MultiThreadIoEventLoopGroup hollowThreads =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final List<Relay> relays = new ArrayList<>();
    private final List<InetSocketAddress> controlAddresses = new ArrayList<>();
    private final List<Process> controlProcesses = new ArrayList<>();
    private final List<HollowFollower> hollowFollowers = new ArrayList<>();
    private final Histogram inForce = new SynchronizedHistogram(1, 600_000_000L, 3);
    private final Histogram realInForce = new Histogram(600_000_000L, 3);
    private final Map<Long, Long> publishedNs = new ConcurrentHashMap<>();
    private final Map<String, Double> results = new LinkedHashMap<>();
    private int version;

    private VersionsRun(int followerCount, int realProxies, int changes, int routes, long seed, Path folder) {
        this.followerCount = followerCount;
        this.realProxies = realProxies;
        this.changes = changes;
        this.routes = routes;
        this.seed = seed;
        this.folder = folder;
    }

    // ---- the processes and followers ----

    private Process start(String name, int heapMb, String... arguments) throws IOException {
        List<String> line = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx" + heapMb + "m",
                "-cp",
                System.getProperty("java.class.path"),
                "gullspar.Main"));
        line.addAll(List.of(arguments));
        Process p = new ProcessBuilder(line)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(name + ".log").toFile()))
                .start();
        processes.add(p);
        return p;
    }

    private static String hostPort(InetSocketAddress a) {
        return "127.0.0.1:" + a.getPort();
    }

    private void startFleet() throws Exception {
        List<ServerSocket> freePorts = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            freePorts.add(new ServerSocket(0));
            controlAddresses.add(
                    new InetSocketAddress("127.0.0.1", freePorts.get(i).getLocalPort()));
        }
        for (ServerSocket s : freePorts) {
            s.close();
        }
        List<InetSocketAddress> relayAddresses = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            relays.add(new Relay(controlAddresses.get(i), DELAY_MS, LOSS, seed + i, relayThreads));
            relayAddresses.add(relays.get(i).listen());
        }
        for (int i = 0; i < 3; i++) {
            StringBuilder s = new StringBuilder(
                    "name = \"c" + i + "\"\nprimary = \"c0\"\nfolder = \"" + folder.resolve("c" + i) + "\"\n");
            for (int k = 0; k < 3; k++) {
                s.append("[[control]]\nname = \"c")
                        .append(k)
                        .append("\"\naddress = \"")
                        .append(hostPort(k == i ? controlAddresses.get(k) : relayAddresses.get(k)))
                        .append("\"\n");
            }
            Files.writeString(folder.resolve("c" + i + ".toml"), s);
        }
        startControl();
        for (int i = 0; i < realProxies; i++) {
            Path file = Files.writeString(
                    folder.resolve("real-" + i + ".toml"),
                    "[control]\nname = \"a-real-"
                            + i + "\"\nfolder = \"" + folder.resolve("real-" + i) + "\"\naddresses = "
                            + relayAddresses.stream()
                                    .map(a -> "\"" + hostPort(a) + "\"")
                                    .toList() + "\n");
            start("real-" + i, 192, "serve", "--follow", file.toString());
        }
        for (int i = 0; i < followerCount; i++) {
            HollowFollower h = new HollowFollower(
                    "hollow-" + i, hollowThreads.next(), relayAddresses, seed * 1000 + i, this::onInForce);
            hollowFollowers.add(h);
            h.start();
        }
    }

    private void startControl() throws IOException {
        controlProcesses.clear();
        for (int i = 0; i < 3; i++) {
            controlProcesses.add(start(
                    "c" + i,
                    256,
                    "control",
                    "--config",
                    folder.resolve("c" + i + ".toml").toString()));
        }
    }

    private void onInForce(long number, long inForceNs) {
        Long publishedAtNs = publishedNs.get(number);
        if (publishedAtNs != null) {
            inForce.recordValue(Math.max(1, (inForceNs - publishedAtNs) / 1000));
        }
    }

    private Message.StatusResponse status(boolean full) throws Exception {
        for (int i = 0; i < TIMEOUT_S * 10; i++) {
            try (ControlClient c = new ControlClient(controlAddresses.get(0), 10_000)) {
                return c.request(new Message.StatusRequest(full), Message.StatusResponse.class);
            } catch (IOException e) {
                Thread.sleep(100); // the primary is starting
            }
        }
        throw new IOException("no answer from the primary");
    }

    private void publish(ControlClient c) throws IOException {
        version++;
        publishedNs.put((long) version, System.nanoTime());
        Message.Published p = c.request(
                new Message.Publish(version - 1, "routes.toml", RoutesDocument.generate(routes, version)),
                Message.Published.class);
        if (p.outcome() != Publisher.Outcome.ACCEPTED) {
            throw new IOException("change rejected: " + p);
        }
    }

    /**
     * Waits until all hollow followers, and the real ones by the primary's status, have the newest version in
     * force.
     */
    private void awaitInForceEverywhere() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        long publishedAtNs = publishedNs.get((long) version);
        boolean[] reached = new boolean[realProxies];
        int remaining = realProxies;
        while (System.nanoTime() < end) {
            if (remaining > 0) {
                // lists followers that lack the version, sorted by name, which puts the real ones first
                Message.StatusResponse status = status(false);
                Set<String> missing = new HashSet<>();
                status.states().forEach(r -> missing.add(r.name()));
                for (int i = 0; i < realProxies && status.followers() >= followerCount + realProxies; i++) {
                    if (!reached[i] && !missing.contains("a-real-" + i)) {
                        reached[i] = true;
                        remaining--;
                        realInForce.recordValue((System.nanoTime() - publishedAtNs) / 1000);
                    }
                }
            }
            if (remaining == 0 && hollowFollowers.stream().allMatch(h -> h.versionInForce >= version)) {
                return;
            }
            Thread.sleep(remaining > 0 ? 25 : 5);
        }
        throw new IOException(
                "version " + version + " is not in force everywhere after " + TIMEOUT_S + " s: " + status(false));
    }

    // ---- measurements ----

    /** Samples the bytes of each follower and the connections once a second, until stopped. */
    private final class TrafficMeter {
        private final List<long[]> samples = new ArrayList<>();
        /** Time of each sample: on a busy machine they may be more than a second apart. */
        private final List<Long> sampleTimes = new ArrayList<>();

        private final List<Long> connections = new ArrayList<>();
        private final Thread thread = new Thread(this::run, "meter");
        private volatile boolean stopped;

        TrafficMeter() {
            thread.start();
        }

        private long[] followerBytes() throws Exception {
            long[] all = new long[hollowFollowers.size()];
            for (int i = 0; i < all.length; i++) {
                all[i] = hollowFollowers.get(i).bytes();
            }
            return all;
        }

        private void run() {
            try {
                long next = System.nanoTime();
                while (!stopped) {
                    samples.add(followerBytes());
                    sampleTimes.add(System.nanoTime());
                    connections.add(
                            relays.stream().mapToLong(r -> r.connections.get()).sum());
                    next += TimeUnit.SECONDS.toNanos(1);
                    long waitNs = next - System.nanoTime();
                    if (waitNs > 0) {
                        Thread.sleep(waitNs / 1_000_000);
                    }
                }
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }

        void stop() throws InterruptedException {
            stopped = true;
            thread.join();
        }

        double mean() {
            long[] a = samples.get(0);
            long[] b = samples.get(samples.size() - 1);
            return (Arrays.stream(b).sum() - Arrays.stream(a).sum())
                    * 1e9
                    / a.length
                    / (sampleTimes.get(sampleTimes.size() - 1) - sampleTimes.get(0));
        }

        double worstSecond() {
            double worst = 0;
            for (int s = 1; s < samples.size(); s++) {
                double length = Math.max(1, (sampleTimes.get(s) - sampleTimes.get(s - 1)) / 1e9);
                for (int i = 0; i < followerCount; i++) {
                    worst = Math.max(worst, (samples.get(s)[i] - samples.get(s - 1)[i]) / length);
                }
            }
            return worst;
        }

        double worstSecondConnections() {
            long worst = 0;
            for (int s = 1; s < connections.size(); s++) {
                worst = Math.max(worst, connections.get(s) - connections.get(s - 1));
            }
            return worst;
        }
    }

    private static double cpuS(Process p) throws IOException {
        String[] stat = Files.readString(Path.of("/proc/" + p.pid() + "/stat"))
                .replaceFirst(".*\\) ", "")
                .split(" ");
        return (Double.parseDouble(stat[11]) + Double.parseDouble(stat[12])) / TICKS_PER_SECOND;
    }

    private static double rssMb(Process p) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + p.pid() + "/status")).stream()
                .filter(l -> l.startsWith("VmRSS"))
                .mapToDouble(l -> Double.parseDouble(l.replaceAll("[^0-9]", "")) / 1024)
                .findFirst()
                .orElse(Double.NaN);
    }

    private double[] cpuSeconds(List<Process> all) throws IOException {
        double[] cpu = new double[all.size()];
        for (int i = 0; i < cpu.length; i++) {
            cpu[i] = cpuS(all.get(i));
        }
        return cpu;
    }

    private static double meanIncrease(double[] before, double[] after) {
        double sum = 0;
        for (int i = 0; i < before.length; i++) {
            sum += after[i] - before[i];
        }
        return sum / before.length;
    }

    /** full: measures bursts, an absent follower and an outage as well. */
    private void measure(boolean full) throws Exception {
        startFleet();
        while (!status(false).inStep()) {
            Thread.sleep(50);
        }
        try (ControlClient c = new ControlClient(controlAddresses.get(0), 60_000)) {
            logProgress("starting");
            publish(c);
            awaitInForceEverywhere();
            List<Process> proxies = processes.subList(3, 3 + realProxies);
            Thread.sleep(3000);
            inForce.reset();
            realInForce.reset();
            logProgress("idle");
            double[] cpu = cpuSeconds(proxies);
            TrafficMeter m = new TrafficMeter();
            TimeUnit.SECONDS.sleep(IDLE_S);
            m.stop();
            results.put("rest.bytes.mean", m.mean());
            results.put("rest.bytes.worst", m.worstSecond());
            results.put("rest.proxy.cpu_ms_per_s", 1000 * meanIncrease(cpu, cpuSeconds(proxies)) / IDLE_S);
            logProgress(changes + " changes in sequence");
            measureSequence(c, proxies);
            measureSizes();
            if (full) {
                logProgress("a burst of " + changes);
                measureBurst(c);
                logProgress("absent follower");
                measureAbsence(c);
            }
        }
        if (full) {
            logProgress("outage");
            measureOutage();
        }
        for (String k : List.of("c0", "c1")) {
            results.put("rss." + k, rssMb(controlProcesses.get(k.charAt(1) - '0')));
        }
        results.put(
                "proxy.rss",
                processes.subList(3, 3 + realProxies).stream()
                        .mapToDouble(p -> {
                            try {
                                return rssMb(p);
                            } catch (IOException e) {
                                return Double.NaN;
                            }
                        })
                        .average()
                        .orElse(Double.NaN));
    }

    private void measureSequence(ControlClient c, List<Process> proxies) throws Exception {
        double[] control = cpuSeconds(controlProcesses);
        double[] proxy = cpuSeconds(proxies);
        TrafficMeter m = new TrafficMeter();
        int made = 0;
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(SEQUENCE_LIMIT_S);
        for (; made < changes && System.nanoTime() < end; made++) {
            publish(c);
            awaitInForceEverywhere();
        }
        results.put("row.changes", (double) made);
        m.stop();
        results.put("row.bytes.mean", m.mean());
        results.put("row.bytes.worst", m.worstSecond());
        double[] after = cpuSeconds(controlProcesses);
        results.put("row.primary.cpu_ms", 1000 * (after[0] - control[0]) / made);
        results.put("row.control.cpu_ms", 1000 * (after[1] + after[2] - control[1] - control[2]) / 2 / made);
        results.put("row.proxy.cpu_ms", 1000 * meanIncrease(proxy, cpuSeconds(proxies)) / made);
        putPercentiles("in_force", inForce);
        putPercentiles("real.in_force", realInForce);
    }

    private void putPercentiles(String name, Histogram h) {
        results.put(name + ".p50", h.getValueAtPercentile(50) / 1e6);
        results.put(name + ".p99", h.getValueAtPercentile(99) / 1e6);
        results.put(name + ".p100", h.getMaxValue() / 1e6);
    }

    private void measureBurst(ControlClient c) throws Exception {
        realInForce.reset();
        long startedNs = System.nanoTime();
        TrafficMeter m = new TrafficMeter();
        for (int i = 0; i < changes; i++) {
            publish(c);
        }
        results.put("burst.accepted", (System.nanoTime() - startedNs) / 1e9);
        awaitInForceEverywhere();
        results.put("burst.last_in_force", (System.nanoTime() - publishedNs.get((long) version)) / 1e9);
        TimeUnit.SECONDS.sleep(1);
        m.stop();
        results.put("burst.bytes.worst", m.worstSecond());
    }

    private void measureAbsence(ControlClient c) throws Exception {
        HollowFollower h = hollowFollowers.get(0);
        h.stop();
        hollowFollowers.remove(h);
        for (int i = 0; i < CHANGES_PER_HOUR; i++) {
            publish(c);
        }
        awaitInForceEverywhere();
        long bytesBefore = h.bytes();
        long startedNs = System.nanoTime();
        h.start();
        hollowFollowers.add(0, h);
        while (h.versionInForce < version) {
            Thread.sleep(5);
        }
        results.put("away.in_force", (System.nanoTime() - startedNs) / 1e9);
        results.put("away.bytes", (double) (h.bytes() - bytesBefore));
    }

    /** Encodes the document and an hour's changes to it, for their sizes; nothing is sent. */
    private void measureSizes() throws Exception {
        Document d = new Document(
                new Version(1, 1, Checksum.of(RoutesDocument.generate(routes, 0)), Checksum.NONE),
                RoutesDocument.generate(routes, 0));
        List<Delta> hour = new ArrayList<>();
        for (int i = 1; i <= CHANGES_PER_HOUR; i++) {
            String text = RoutesDocument.generate(routes, i);
            Document next = new Document(
                    new Version(1, i + 1, Checksum.of(text), d.version().id()), text);
            hour.add(Delta.between(d.text(), next));
            d = next;
        }
        results.put("hour.bytes", (double) Frames.of(new Message.Update(d.version(), null, hour, "")).stream()
                .mapToInt(f -> f.length)
                .sum());
        results.put("snapshot.bytes", (double) Frames.of(new Message.Update(
                        status(false).head(), null, List.of(), RoutesDocument.generate(routes, version)))
                .stream()
                .mapToInt(f -> f.length)
                .sum());
        results.put("document.bytes", (double)
                RoutesDocument.generate(routes, version).length());
    }

    private void measureOutage() throws Exception {
        for (Process p : controlProcesses) {
            p.destroyForcibly().waitFor();
        }
        TimeUnit.SECONDS.sleep(OUTAGE_S);
        long olderFollowers =
                hollowFollowers.stream().filter(h -> h.versionInForce < version).count();
        results.put("outage.older", (double) olderFollowers);
        TrafficMeter m = new TrafficMeter();
        startControl();
        long startedNs = System.nanoTime();
        AtomicInteger reconnected = new AtomicInteger();
        AtomicIntegerArray seen = new AtomicIntegerArray(hollowFollowers.size());
        while (reconnected.get() < hollowFollowers.size()
                && System.nanoTime() - startedNs < RECONNECT_S * 2_000_000_000L) {
            for (int i = 0; i < hollowFollowers.size(); i++) {
                if (seen.get(i) == 0 && hollowFollowers.get(i).connected()) {
                    seen.set(i, 1);
                    reconnected.incrementAndGet();
                }
            }
            Thread.sleep(20);
        }
        results.put("outage.back", (System.nanoTime() - startedNs) / 1e9);
        TimeUnit.SECONDS.sleep(5);
        m.stop();
        results.put("outage.connections.worst", m.worstSecondConnections());
        results.put("outage.bytes.worst", m.worstSecond());
        while (!status(false).inStep()) {
            Thread.sleep(50);
        }
        try (ControlClient c = new ControlClient(controlAddresses.get(0), 60_000)) {
            publish(c);
            awaitInForceEverywhere();
            results.put("outage.next_in_force", (System.nanoTime() - publishedNs.get((long) version)) / 1e9);
        }
    }

    private void logProgress(String message) {
        System.err.println(followerCount + " followers: " + message);
    }

    private void stop() {
        processes.forEach(Process::destroyForcibly);
        relays.forEach(Relay::close);
        hollowThreads.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        relayThreads.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    // ---- results and main ----

    private static final String[][] SERIES = {
        {"in_force.p50", "s", "from the operator's call until a change is in force at a follower, median"},
        {"in_force.p99", "s", "the same, 99 of 100"},
        {"in_force.p100", "s", "the same, the slowest of all followers and changes"},
        {"real.in_force.p50", "s", "the same for real proxies, until the primary knows, median"},
        {"real.in_force.p99", "s", "the same, 99 of 100"},
        {"real.in_force.p100", "s", "the same, the slowest"},
        {"rest.bytes.mean", "B/s", "a follower's bytes both ways without changes, mean"},
        {"rest.bytes.worst", "B/s", "the same, the worst second of any"},
        {"rest.proxy.cpu_ms_per_s", "ms/s", "a real proxy's processor time without changes"},
        {"row.changes", "changes", "made in a row, each once the one before was in force everywhere"},
        {"row.bytes.mean", "B/s", "a follower's bytes both ways with changes in a row, mean"},
        {"row.bytes.worst", "B/s", "the same, the worst second of any"},
        {"row.primary.cpu_ms", "ms", "the primary's processor time a change"},
        {"row.control.cpu_ms", "ms", "another control process's processor time a change"},
        {"row.proxy.cpu_ms", "ms", "a real proxy's processor time a change, reading the routes included"},
        {"burst.accepted", "s", "until a burst of changes was accepted, one after the other"},
        {"burst.last_in_force", "s", "from the last one's call until it was in force everywhere"},
        {"burst.bytes.worst", "B/s", "a follower's bytes both ways in the worst second of a burst"},
        {"away.bytes", "B", "what a follower got that was away for 158 changes, an hour's worth"},
        {"away.in_force", "s", "from its start until the newest was in force there"},
        {"snapshot.bytes", "B", "the whole on the wire"},
        {"hour.bytes", "B", "158 changes on the wire, an hour's worth, whether or not the whole is less"},
        {"document.bytes", "B", "the whole as a text"},
        {"outage.older", "followers", "that ran less than they had while control was gone"},
        {"outage.back", "s", "from control's start until all were connected again"},
        {"outage.connections.worst", "connections/s", "that came in the worst second after control was back"},
        {"outage.bytes.worst", "B/s", "a follower's bytes both ways in the worst second after that"},
        {"outage.next_in_force", "s", "until the next change was in force everywhere"},
        {"rss.c0", "MB", "the primary's resident memory"},
        {"rss.c1", "MB", "another control process's"},
        {"proxy.rss", "MB", "a real proxy's"}
    };

    /** The results along one axis. */
    private record Sweep(
            String axis,
            String prefix,
            Map<String, Object> fixed,
            List<Integer> sizes,
            Map<String, List<Map<String, Object>>> points) {
        List<Map<String, Object>> series() {
            List<Map<String, Object>> series = new ArrayList<>();
            for (String[] s : SERIES) {
                if (points.containsKey(s[0])) {
                    Map<String, Object> one = new LinkedHashMap<>();
                    one.put("id", prefix + s[0]);
                    one.put("what", s[2]);
                    one.put("unit", s[1]);
                    one.put("axis", axis);
                    one.put("fixed", fixed);
                    one.put("points", points.get(s[0]));
                    one.put("held_out", sizes.get(sizes.size() - 1));
                    series.add(one);
                }
            }
            return series;
        }
    }

    private static boolean run(VersionsRun run, Sweep sweep, int size, boolean full) throws Exception {
        Thread killHook = new Thread(() -> run.processes.forEach(Process::destroyForcibly));
        Runtime.getRuntime().addShutdownHook(killHook);
        try {
            run.measure(full);
        } catch (IOException e) {
            System.err.println("versions.sh: " + e.getMessage());
            return false;
        } finally {
            run.stop();
            Runtime.getRuntime().removeShutdownHook(killHook);
            run.results.forEach((k, v) -> sweep.points
                    .computeIfAbsent(k, x -> new ArrayList<>())
                    .add(new LinkedHashMap<>(Map.of("size", size, "value", Math.round(v * 1000) / 1000.0))));
        }
        return true;
    }

    private static void write(Sweep proxiesSweep, Sweep routesSweep, long seed, String commit, Path file)
            throws IOException {
        List<Map<String, Object>> series = new ArrayList<>(proxiesSweep.series());
        series.addAll(routesSweep.series());
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("script", "bench/scale/versions.sh");
        root.put("date", LocalDate.now().toString());
        root.put("commit", commit);
        Map<String, Object> machine = new LinkedHashMap<>();
        machine.put("cores", Runtime.getRuntime().availableProcessors());
        machine.put(
                "memory_gib",
                Math.round(Double.parseDouble(Files.readAllLines(Path.of("/proc/meminfo"))
                                .get(0)
                                .replaceAll("[^0-9]", ""))
                        / (1 << 20)));
        machine.put("java", System.getProperty("java.version"));
        machine.put("kernel", System.getProperty("os.version"));
        root.put("machine", machine);
        root.put("seeds", List.of(seed));
        root.put("series", series);
        new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValue(file.toFile(), root);
    }

    private static List<Integer> parseSizes(String text) {
        return text.isEmpty()
                ? List.of()
                : Arrays.stream(text.split(",")).map(Integer::parseInt).toList();
    }

    /**
     * Arguments: numbers of proxies to sweep (separated by commas, empty for none); real proxies; changes in
     * sequence; routes; numbers of routes to sweep (separated by commas); proxies and changes of that sweep; seed;
     * folder; commit; output file.
     */
    public static void main(String[] args) throws Exception {
        int realProxies = Integer.parseInt(args[1]);
        int changes = Integer.parseInt(args[2]);
        int routes = Integer.parseInt(args[3]);
        long seed = Long.parseLong(args[7]);
        Path folder = Path.of(args[8]);
        Map<String, Object> fixed = new LinkedHashMap<>(Map.of(
                "control", 3, "delay_ms", DELAY_MS, "loss", LOSS, "outage_s", OUTAGE_S, "real_proxies", realProxies));
        Sweep proxiesSweep = new Sweep(
                "proxies", "versions.", new LinkedHashMap<>(fixed), parseSizes(args[0]), new LinkedHashMap<>());
        proxiesSweep.fixed.putAll(Map.of("changes", changes, "routes", routes));
        int fewProxies = Integer.parseInt(args[5]);
        Sweep routesSweep = new Sweep(
                "routes",
                "versions.by_routes.",
                new LinkedHashMap<>(fixed),
                parseSizes(args[4]),
                new LinkedHashMap<>());
        routesSweep.fixed.putAll(Map.of("changes", Integer.parseInt(args[6]), "proxies", fewProxies));
        boolean succeeded = true;
        for (int size : proxiesSweep.sizes) {
            succeeded &= run(
                    new VersionsRun(
                            size,
                            realProxies,
                            changes,
                            routes,
                            seed,
                            Files.createDirectories(folder.resolve("p" + size))),
                    proxiesSweep,
                    size,
                    true);
            // keeps the results so far if a later size fails
            write(proxiesSweep, routesSweep, seed, args[9], Path.of(args[10]));
        }
        for (int size : routesSweep.sizes) {
            succeeded &= run(
                    new VersionsRun(
                            fewProxies,
                            realProxies,
                            Integer.parseInt(args[6]),
                            size,
                            seed,
                            Files.createDirectories(folder.resolve("r" + size))),
                    routesSweep,
                    size,
                    false);
        }
        write(proxiesSweep, routesSweep, seed, args[9], Path.of(args[10]));
        System.exit(succeeded ? 0 : 1);
    }
}
