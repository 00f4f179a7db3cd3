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
 * Measures how versions travel: three control processes and some real proxies as processes, hollow followers
 * in this one, all connections through relays of 40 ms that lose 2 segments in 100 (bench/scale/versions.sh).
 */
public final class VersionsRun {
    private static final double DELAY_MS = 40;
    private static final double LOSS = 0.02;
    private static final int HOUR = 158;
    private static final int OUTAGE_S = 30;
    private static final int REST_S = 10;
    private static final int BACK_S = 30;
    private static final int PATIENCE_S = 120;
    /** A row of changes ends then, however many there were. */
    private static final int ROW_S = 240;

    private static final int TICKS_A_SECOND = 100;

    private final int followers;
    private final int real;
    private final int changes;
    private final int routes;
    private final long seed;
    private final Path folder;
    private final List<Process> processes = new ArrayList<>();
    private final MultiThreadIoEventLoopGroup relayThreads = Relay.threads(2);
    private final MultiThreadIoEventLoopGroup hollowThreads =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final List<Relay> relays = new ArrayList<>();
    private final List<InetSocketAddress> controls = new ArrayList<>();
    private final List<Process> controlProcesses = new ArrayList<>();
    private final List<Hollow> hollow = new ArrayList<>();
    private final Histogram inForce = new SynchronizedHistogram(1, 600_000_000L, 3);
    private final Histogram realInForce = new Histogram(600_000_000L, 3);
    private final Map<Long, Long> published = new ConcurrentHashMap<>();
    private final Map<String, Double> results = new LinkedHashMap<>();
    private int version;

    private VersionsRun(int followers, int real, int changes, int routes, long seed, Path folder) {
        this.followers = followers;
        this.real = real;
        this.changes = changes;
        this.routes = routes;
        this.seed = seed;
        this.folder = folder;
    }

    // ---- the town ----

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

    private static String text(InetSocketAddress a) {
        return "127.0.0.1:" + a.getPort();
    }

    private void begin() throws Exception {
        List<ServerSocket> free = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            free.add(new ServerSocket(0));
            controls.add(new InetSocketAddress("127.0.0.1", free.get(i).getLocalPort()));
        }
        for (ServerSocket s : free) {
            s.close();
        }
        List<InetSocketAddress> far = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            relays.add(new Relay(controls.get(i), DELAY_MS, LOSS, seed + i, relayThreads));
            far.add(relays.get(i).listen());
        }
        for (int i = 0; i < 3; i++) {
            StringBuilder s = new StringBuilder(
                    "name = \"c" + i + "\"\nprimary = \"c0\"\nfolder = \"" + folder.resolve("c" + i) + "\"\n");
            for (int k = 0; k < 3; k++) {
                s.append("[[control]]\nname = \"c")
                        .append(k)
                        .append("\"\naddress = \"")
                        .append(text(k == i ? controls.get(k) : far.get(k)))
                        .append("\"\n");
            }
            Files.writeString(folder.resolve("c" + i + ".toml"), s);
        }
        startControl();
        for (int i = 0; i < real; i++) {
            Path file = Files.writeString(
                    folder.resolve("real-" + i + ".toml"),
                    "[control]\nname = \"a-real-"
                            + i + "\"\nfolder = \"" + folder.resolve("real-" + i) + "\"\naddresses = "
                            + far.stream().map(a -> "\"" + text(a) + "\"").toList() + "\n");
            start("real-" + i, 192, "serve", "--follow", file.toString());
        }
        for (int i = 0; i < followers; i++) {
            Hollow h = new Hollow("hollow-" + i, hollowThreads.next(), far, seed * 1000 + i, this::heard);
            hollow.add(h);
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

    private void heard(long number, long at) {
        Long began = published.get(number);
        if (began != null) {
            inForce.recordValue(Math.max(1, (at - began) / 1000));
        }
    }

    private Message.StatusResponse look(boolean whole) throws Exception {
        for (int i = 0; i < PATIENCE_S * 10; i++) {
            try (ControlClient c = new ControlClient(controls.get(0), 10_000)) {
                return c.request(new Message.StatusRequest(whole), Message.StatusResponse.class);
            } catch (IOException e) {
                Thread.sleep(100); // it is starting
            }
        }
        throw new IOException("the primary does not answer");
    }

    private void publish(ControlClient c) throws IOException {
        version++;
        published.put((long) version, System.nanoTime());
        Message.Published p = c.request(
                new Message.Publish(version - 1, "routes.toml", Routes.text(routes, version)), Message.Published.class);
        if (p.outcome() != Publisher.Outcome.ACCEPTED) {
            throw new IOException("a change was refused: " + p);
        }
    }

    /** Waits until all hollow ones, and the real ones as the primary knows, run the newest. */
    private void everywhere() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        long began = published.get((long) version);
        boolean[] seen = new boolean[real];
        int left = real;
        while (System.nanoTime() < end) {
            if (left > 0) {
                Message.StatusResponse l = look(false); // those that are missing, by name: real ones first
                Set<String> missing = new HashSet<>();
                l.states().forEach(r -> missing.add(r.name()));
                for (int i = 0; i < real && l.followers() >= followers + real; i++) {
                    if (!seen[i] && !missing.contains("a-real-" + i)) {
                        seen[i] = true;
                        left--;
                        realInForce.recordValue((System.nanoTime() - began) / 1000);
                    }
                }
            }
            if (left == 0 && hollow.stream().allMatch(h -> h.number >= version)) {
                return;
            }
            Thread.sleep(left > 0 ? 25 : 5);
        }
        throw new IOException("version " + version + " is not everywhere after " + PATIENCE_S + " s: " + look(false));
    }

    // ---- what is measured ----

    /** Bytes of each follower, second by second, while something is done. */
    private final class Meter {
        private final List<long[]> seconds = new ArrayList<>();
        /** When each was read: on a busy machine a second may be longer. */
        private final List<Long> times = new ArrayList<>();

        private final List<Long> connections = new ArrayList<>();
        private final Thread thread = new Thread(this::run, "meter");
        private volatile boolean over;

        Meter() {
            thread.start();
        }

        private long[] all() throws Exception {
            long[] all = new long[hollow.size()];
            for (int i = 0; i < all.length; i++) {
                all[i] = hollow.get(i).bytes();
            }
            return all;
        }

        private void run() {
            try {
                long next = System.nanoTime();
                while (!over) {
                    seconds.add(all());
                    times.add(System.nanoTime());
                    connections.add(
                            relays.stream().mapToLong(r -> r.connections.get()).sum());
                    next += TimeUnit.SECONDS.toNanos(1);
                    long rest = next - System.nanoTime();
                    if (rest > 0) {
                        Thread.sleep(rest / 1_000_000);
                    }
                }
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }

        void end() throws InterruptedException {
            over = true;
            thread.join();
        }

        double mean() {
            long[] a = seconds.get(0);
            long[] b = seconds.get(seconds.size() - 1);
            return (Arrays.stream(b).sum() - Arrays.stream(a).sum())
                    * 1e9
                    / a.length
                    / (times.get(times.size() - 1) - times.get(0));
        }

        double worst() {
            double worst = 0;
            for (int s = 1; s < seconds.size(); s++) {
                double length = Math.max(1, (times.get(s) - times.get(s - 1)) / 1e9);
                for (int i = 0; i < followers; i++) {
                    worst = Math.max(worst, (seconds.get(s)[i] - seconds.get(s - 1)[i]) / length);
                }
            }
            return worst;
        }

        double mostConnections() {
            long most = 0;
            for (int s = 1; s < connections.size(); s++) {
                most = Math.max(most, connections.get(s) - connections.get(s - 1));
            }
            return most;
        }
    }

    private static double cpuS(Process p) throws IOException {
        String[] stat = Files.readString(Path.of("/proc/" + p.pid() + "/stat"))
                .replaceFirst(".*\\) ", "")
                .split(" ");
        return (Double.parseDouble(stat[11]) + Double.parseDouble(stat[12])) / TICKS_A_SECOND;
    }

    private static double rssMb(Process p) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + p.pid() + "/status")).stream()
                .filter(l -> l.startsWith("VmRSS"))
                .mapToDouble(l -> Double.parseDouble(l.replaceAll("[^0-9]", "")) / 1024)
                .findFirst()
                .orElse(Double.NaN);
    }

    private double[] cpu(List<Process> all) throws IOException {
        double[] cpu = new double[all.size()];
        for (int i = 0; i < cpu.length; i++) {
            cpu[i] = cpuS(all.get(i));
        }
        return cpu;
    }

    private static double mean(double[] before, double[] after) {
        double sum = 0;
        for (int i = 0; i < before.length; i++) {
            sum += after[i] - before[i];
        }
        return sum / before.length;
    }

    /** whole: bursts, absences and outages as well. */
    private void play(boolean whole) throws Exception {
        begin();
        while (!look(false).inStep()) {
            Thread.sleep(50);
        }
        try (ControlClient c = new ControlClient(controls.get(0), 60_000)) {
            say("begins");
            publish(c);
            everywhere();
            List<Process> proxies = processes.subList(3, 3 + real);
            Thread.sleep(3000);
            inForce.reset();
            realInForce.reset();
            say("rest");
            double[] cpu = cpu(proxies);
            Meter m = new Meter();
            TimeUnit.SECONDS.sleep(REST_S);
            m.end();
            results.put("rest.bytes.mean", m.mean());
            results.put("rest.bytes.worst", m.worst());
            results.put("rest.proxy.cpu_ms_per_s", 1000 * mean(cpu, cpu(proxies)) / REST_S);
            say(changes + " changes in a row");
            row(c, proxies);
            sizes();
            if (whole) {
                say("a burst of " + changes);
                burst(c);
                say("away");
                away(c);
            }
        }
        if (whole) {
            say("outage");
            outage();
        }
        for (String k : List.of("c0", "c1")) {
            results.put("rss." + k, rssMb(controlProcesses.get(k.charAt(1) - '0')));
        }
        results.put(
                "proxy.rss",
                processes.subList(3, 3 + real).stream()
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

    private void row(ControlClient c, List<Process> proxies) throws Exception {
        double[] control = cpu(controlProcesses);
        double[] proxy = cpu(proxies);
        Meter m = new Meter();
        int made = 0;
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(ROW_S);
        for (; made < changes && System.nanoTime() < end; made++) {
            publish(c);
            everywhere();
        }
        results.put("row.changes", (double) made);
        m.end();
        results.put("row.bytes.mean", m.mean());
        results.put("row.bytes.worst", m.worst());
        double[] after = cpu(controlProcesses);
        results.put("row.primary.cpu_ms", 1000 * (after[0] - control[0]) / made);
        results.put("row.control.cpu_ms", 1000 * (after[1] + after[2] - control[1] - control[2]) / 2 / made);
        results.put("row.proxy.cpu_ms", 1000 * mean(proxy, cpu(proxies)) / made);
        put("in_force", inForce);
        put("real.in_force", realInForce);
    }

    private void put(String name, Histogram h) {
        results.put(name + ".p50", h.getValueAtPercentile(50) / 1e6);
        results.put(name + ".p99", h.getValueAtPercentile(99) / 1e6);
        results.put(name + ".p100", h.getMaxValue() / 1e6);
    }

    private void burst(ControlClient c) throws Exception {
        realInForce.reset();
        long began = System.nanoTime();
        Meter m = new Meter();
        for (int i = 0; i < changes; i++) {
            publish(c);
        }
        results.put("burst.accepted", (System.nanoTime() - began) / 1e9);
        everywhere();
        results.put("burst.last_in_force", (System.nanoTime() - published.get((long) version)) / 1e9);
        TimeUnit.SECONDS.sleep(1);
        m.end();
        results.put("burst.bytes.worst", m.worst());
    }

    private void away(ControlClient c) throws Exception {
        Hollow h = hollow.get(0);
        h.end();
        hollow.remove(h);
        for (int i = 0; i < HOUR; i++) {
            publish(c);
        }
        everywhere();
        long had = h.bytes();
        long began = System.nanoTime();
        h.start();
        hollow.add(0, h);
        while (h.number < version) {
            Thread.sleep(5);
        }
        results.put("away.in_force", (System.nanoTime() - began) / 1e9);
        results.put("away.bytes", (double) (h.bytes() - had));
    }

    /** What the program makes of the document and of an hour's changes to it; nothing is sent. */
    private void sizes() throws Exception {
        Document d = new Document(
                new Version(1, 1, Checksum.of(Routes.text(routes, 0)), Checksum.NONE), Routes.text(routes, 0));
        List<Delta> hour = new ArrayList<>();
        for (int i = 1; i <= HOUR; i++) {
            String text = Routes.text(routes, i);
            Document next = new Document(
                    new Version(1, i + 1, Checksum.of(text), d.version().id()), text);
            hour.add(Delta.between(d.text(), next));
            d = next;
        }
        results.put("hour.bytes", (double) Frames.of(new Message.Update(d.version(), null, hour, "")).stream()
                .mapToInt(f -> f.length)
                .sum());
        results.put("snapshot.bytes", (double)
                Frames.of(new Message.Update(look(false).head(), null, List.of(), Routes.text(routes, version)))
                        .stream()
                        .mapToInt(f -> f.length)
                        .sum());
        results.put("document.bytes", (double) Routes.text(routes, version).length());
    }

    private void outage() throws Exception {
        for (Process p : controlProcesses) {
            p.destroyForcibly().waitFor();
        }
        TimeUnit.SECONDS.sleep(OUTAGE_S);
        long before = hollow.stream().filter(h -> h.number < version).count();
        results.put("outage.older", (double) before);
        Meter m = new Meter();
        startControl();
        long began = System.nanoTime();
        AtomicInteger back = new AtomicInteger();
        AtomicIntegerArray seen = new AtomicIntegerArray(hollow.size());
        while (back.get() < hollow.size() && System.nanoTime() - began < BACK_S * 2_000_000_000L) {
            for (int i = 0; i < hollow.size(); i++) {
                if (seen.get(i) == 0 && hollow.get(i).connected()) {
                    seen.set(i, 1);
                    back.incrementAndGet();
                }
            }
            Thread.sleep(20);
        }
        results.put("outage.back", (System.nanoTime() - began) / 1e9);
        TimeUnit.SECONDS.sleep(5);
        m.end();
        results.put("outage.connections.worst", m.mostConnections());
        results.put("outage.bytes.worst", m.worst());
        while (!look(false).inStep()) {
            Thread.sleep(50);
        }
        try (ControlClient c = new ControlClient(controls.get(0), 60_000)) {
            publish(c);
            everywhere();
            results.put("outage.next_in_force", (System.nanoTime() - published.get((long) version)) / 1e9);
        }
    }

    private void say(String what) {
        System.err.println(followers + " followers: " + what);
    }

    private void end() {
        processes.forEach(Process::destroyForcibly);
        relays.forEach(Relay::close);
        hollowThreads.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        relayThreads.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    // ---- the command ----

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

    /** What was measured along one axis. */
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

    private static boolean run(VersionsRun run, Sweep into, int size, boolean whole) throws Exception {
        Thread end = new Thread(() -> run.processes.forEach(Process::destroyForcibly));
        Runtime.getRuntime().addShutdownHook(end);
        try {
            run.play(whole);
        } catch (IOException e) {
            System.err.println("versions.sh: " + e.getMessage());
            return false;
        } finally {
            run.end();
            Runtime.getRuntime().removeShutdownHook(end);
            run.results.forEach((k, v) -> into.points
                    .computeIfAbsent(k, x -> new ArrayList<>())
                    .add(new LinkedHashMap<>(Map.of("size", size, "value", Math.round(v * 1000) / 1000.0))));
        }
        return true;
    }

    private static void write(Sweep proxies, Sweep large, long seed, String commit, Path file) throws IOException {
        List<Map<String, Object>> series = new ArrayList<>(proxies.series());
        series.addAll(large.series());
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("script", "bench/scale/versions.sh");
        all.put("date", LocalDate.now().toString());
        all.put("commit", commit);
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
        all.put("machine", machine);
        all.put("seeds", List.of(seed));
        all.put("series", series);
        new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValue(file.toFile(), all);
    }

    private static List<Integer> numbers(String text) {
        return text.isEmpty()
                ? List.of()
                : Arrays.stream(text.split(",")).map(Integer::parseInt).toList();
    }

    /**
     * proxies (separated by commas, empty for no such sweep); real ones; changes in a row; routes; routes
     * of the second sweep (separated by commas); proxies and changes of that; seed; folder; commit; file.
     */
    public static void main(String[] args) throws Exception {
        int real = Integer.parseInt(args[1]);
        int changes = Integer.parseInt(args[2]);
        int routes = Integer.parseInt(args[3]);
        long seed = Long.parseLong(args[7]);
        Path folder = Path.of(args[8]);
        Map<String, Object> fixed = new LinkedHashMap<>(
                Map.of("control", 3, "delay_ms", DELAY_MS, "loss", LOSS, "outage_s", OUTAGE_S, "real_proxies", real));
        Sweep proxies =
                new Sweep("proxies", "versions.", new LinkedHashMap<>(fixed), numbers(args[0]), new LinkedHashMap<>());
        proxies.fixed.putAll(Map.of("changes", changes, "routes", routes));
        int few = Integer.parseInt(args[5]);
        Sweep large = new Sweep(
                "routes", "versions.by_routes.", new LinkedHashMap<>(fixed), numbers(args[4]), new LinkedHashMap<>());
        large.fixed.putAll(Map.of("changes", Integer.parseInt(args[6]), "proxies", few));
        boolean well = true;
        for (int size : proxies.sizes) {
            well &= run(
                    new VersionsRun(
                            size, real, changes, routes, seed, Files.createDirectories(folder.resolve("p" + size))),
                    proxies,
                    size,
                    true);
            write(proxies, large, seed, args[9], Path.of(args[10])); // whatever becomes of the rest
        }
        for (int size : large.sizes) {
            well &= run(
                    new VersionsRun(
                            few,
                            real,
                            Integer.parseInt(args[6]),
                            size,
                            seed,
                            Files.createDirectories(folder.resolve("r" + size))),
                    large,
                    size,
                    false);
        }
        write(proxies, large, seed, args[9], Path.of(args[10]));
        System.exit(well ? 0 : 1);
    }
}
