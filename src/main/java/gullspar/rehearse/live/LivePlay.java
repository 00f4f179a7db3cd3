package gullspar.rehearse.live;

import com.fasterxml.jackson.databind.JsonNode;
import gullspar.proxy.io.Clock;
import gullspar.proxy.io.Platform;
import gullspar.rehearse.judge.Judge;
import gullspar.rehearse.judge.Verdict;
import gullspar.rehearse.net.DatagramLink;
import gullspar.rehearse.play.DayResult;
import gullspar.rehearse.play.FaultInjector;
import gullspar.rehearse.play.ProgressListener;
import gullspar.rehearse.play.ProxySettings;
import gullspar.rehearse.play.Testbed;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.stage.EventLog;
import gullspar.rehearse.stage.ManualRequests;
import gullspar.rehearse.stage.Order;
import gullspar.rehearse.stage.RunEnvironment;
import gullspar.rehearse.time.EventQueue;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Plays a day in real time: the nodes, the clients and discovery are simulated in this process as in virtual time,
 * while the proxies are real daemon processes; all communicate over loopback sockets. Everything except start and end
 * runs on one event loop.
 */
public final class LivePlay implements RunEnvironment, FaultInjector, AutoCloseable {
    /** Maximum error of times observed in this process. */
    private static final long TIME_TOLERANCE_NS = 50_000_000L;
    /** Requests in flight when a process is killed or paused may be affected for up to this long afterwards. */
    private static final long SIGNAL_EFFECT_NS = 300_000_000L;

    private static final long READY_TIMEOUT_S = 60;
    private static final long PROGRESS_INTERVAL_MS = 200;
    /** Period that the status of a day without an end covers. */
    private static final long STATUS_WINDOW_NS = 10_000_000_000L;

    private static final int MAX_LOG_LINES = 10_000;

    private final Script script;
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final Clock clock = Clock.system();
    private final Path directory;
    private final TcpLinks tcpLinks;
    private final EventLoopLag eventLoopLag = new EventLoopLag(loop);
    private final Map<String, LiveTransport> transports = new HashMap<>();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<InetSocketAddress, String> machinesByAddress = new HashMap<>();
    /** Also read outside the loop, to kill all processes. */
    private final Map<String, DaemonProcess> daemons = new ConcurrentHashMap<>();

    private final Map<String, Integer> startCounts = new HashMap<>();
    /** Proxies whose process is expected to exit. */
    private final Set<String> endingProxies = new HashSet<>();

    private final List<String> log = new ArrayList<>();
    private final CompletableFuture<Void> started = new CompletableFuture<>();
    private final Thread shutdownHook = new Thread(this::killAll, "kill daemons");
    private final Testbed testbed;
    private final LiveFleet fleet;
    private boolean hasEnded;

    private LivePlay(Script script) throws IOException {
        this.script = script;
        this.directory = Files.createTempDirectory("gullspar-live");
        this.tcpLinks = new TcpLinks(script.seed());
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        this.testbed = new Testbed(this, script, this);
        this.fleet = script.peers() == null
                ? null
                : new LiveFleet(
                        script, directory, loop, clock::now, testbed.proxies(), testbed.eventLog()::addFleetSnapshot);
    }

    /** Plays a day to its end; throws an IOException if it cannot be played on this machine. */
    public static DayResult play(Script script, ProgressListener progress) throws IOException {
        try (LivePlay p = new LivePlay(script)) {
            return p.play(progress);
        }
    }

    /** Starts everything and waits until the day has started; onStarted is called on the loop at that time. */
    private void startDay(Runnable onStarted) throws IOException {
        runOnLoop(() -> {
            testbed.startNodes();
            testbed.startWhenReady(() -> {
                onStarted.run();
                started.complete(null);
            });
            testbed.proxies().forEach(this::startProxy);
            if (fleet != null) {
                fleet.poll(p -> daemons.containsKey(p) && daemons.get(p).isAlive());
            }
        });
        try {
            started.get(READY_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException(
                    (e instanceof ExecutionException
                                    ? e.getCause().getMessage()
                                    : "the proxies were not ready within " + READY_TIMEOUT_S + " s")
                            + "; last log lines: "
                            + String.join("; ", log.subList(Math.max(0, log.size() - 5), log.size())),
                    e);
        }
    }

    private DayResult play(ProgressListener progress) throws IOException {
        long startedAt = System.nanoTime();
        startDay(eventLoopLag::start);
        try {
            CompletableFuture<Void> ended = new CompletableFuture<>();
            long dayStart = now();
            loop.schedule(
                    () -> ended.complete(null),
                    (long) (script.seconds() * 1e9) + testbed.tailNs(),
                    TimeUnit.NANOSECONDS);
            while (!awaitEnd(ended)) {
                // Not called on the loop: a slow display of the progress must not delay the simulated machines.
                progress.onProgress(Math.min(script.seconds(), (now() - dayStart) / 1e9), script.seconds());
            }
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
        List<DayResult> played = new ArrayList<>();
        runOnLoop(() -> {
            hasEnded = true;
            Verdict verdict = Judge.judge(script, testbed.eventLog(), TIME_TOLERANCE_NS);
            played.add(new DayResult(
                    script,
                    testbed.eventLog(),
                    verdict,
                    "",
                    0,
                    log,
                    eventLoopLag.stop(),
                    System.nanoTime() - startedAt));
        });
        return played.get(0);
    }

    /** Waits for the end of the day for up to the progress interval; returns whether the day has ended. */
    private static boolean awaitEnd(CompletableFuture<Void> ended) throws InterruptedException, ExecutionException {
        try {
            ended.get(PROGRESS_INTERVAL_MS, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException e) {
            return false;
        }
    }

    /**
     * The state of a day without an end.
     *
     * @param nodes the number of nodes that are running
     * @param inTimeShare the share of recent orders that were served in time, 0 to 1
     * @param manualRequests the number of requests served that no simulated client sent
     */
    public record Status(
            InetSocketAddress proxyAddress, int nodes, double ordersPerS, double inTimeShare, int manualRequests) {}

    /** Plays until end is counted down; onStatus is called every second. */
    public static void playUntil(Script script, Consumer<Status> onStatus, CountDownLatch end) throws IOException {
        try (LivePlay p = new LivePlay(script)) {
            p.playUntil(onStatus, end);
        }
    }

    private void playUntil(Consumer<Status> onStatus, CountDownLatch end) throws IOException {
        ManualRequests manualRequests = new ManualRequests(script, this);
        startDay(() -> testbed.eventLog().serveUnknownRequests(manualRequests));
        try {
            do {
                List<Status> status = new ArrayList<>(1);
                runOnLoop(() -> status.add(status(manualRequests)));
                onStatus.accept(status.get(0));
            } while (!end.await(1, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Status status(ManualRequests manualRequests) {
        testbed.eventLog().discardBefore(now() - STATUS_WINDOW_NS);
        // Later orders may still be in progress.
        long latest = now() - STATUS_WINDOW_NS / 5;
        List<Order> ended =
                testbed.eventLog().orders().stream().filter(o -> o.at < latest).toList();
        double inTimeShare =
                ended.isEmpty() ? 1 : ended.stream().filter(Order::isInTime).count() / (double) ended.size();
        return new Status(
                address("p1"),
                testbed.fleet().running().size(),
                ended.size() / (STATUS_WINDOW_NS / 1e9 * 4 / 5),
                inTimeShare,
                manualRequests.served());
    }

    private void runOnLoop(Runnable task) throws IOException {
        try {
            loop.submit(task).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    private void killAll() {
        daemons.values().forEach(DaemonProcess::kill);
    }

    /** Ends all processes and deletes their files. */
    @Override
    public void close() throws IOException {
        runOnLoop(() -> {
            hasEnded = true;
            killAll();
            transports.values().forEach(LiveTransport::reset);
            if (fleet != null) {
                fleet.relay.close();
            }
        });
        daemons.values().forEach(DaemonProcess::awaitExit);
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            killAll(); // this process is shutting down, and the hook does the same
        }
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        }
    }

    // ---- environment of the simulated machines ----

    @Override
    public Platform platform(String machine) {
        LiveTransport transport = transports.computeIfAbsent(
                machine,
                m -> new LiveTransport(loop, tcpLinks, m, clock::now, a -> machinesByAddress.getOrDefault(a, "")));
        return new Platform(loop, clock, transport, line -> {});
    }

    @Override
    public long now() {
        return clock.now();
    }

    /** Assigned at the first call, with a free port; the kernel returns a different port to the next caller. */
    @Override
    public InetSocketAddress address(String machine) {
        return addresses.computeIfAbsent(machine, m -> {
            try {
                InetSocketAddress address = Ports.freeTcp(4, 1).get(0);
                while (machinesByAddress.containsKey(address)) {
                    address = Ports.freeTcp(4, 1).get(0);
                }
                machinesByAddress.put(address, m);
                return address;
            } catch (IOException e) {
                throw new UncheckedIOException("no free port on loopback", e);
            }
        });
    }

    @Override
    public long sentAt(Channel channel) {
        return TcpLinkHandler.readAt(channel, clock.now());
    }

    @Override
    public void setPeer(Channel channel, String machine) {
        TcpLinkHandler.setPeer(channel, machine);
    }

    @Override
    public void processEnded(String machine) {
        transports.get(machine).reset();
    }

    // ---- proxies ----

    private JsonNode settings(String name) {
        long seed = EventQueue.mix(
                script.seed() * 31 + 9 + Testbed.proxyIndex(name) * 1000L + startCounts.getOrDefault(name, 1));
        JsonNode settings = ProxySettings.of(
                script,
                Testbed.proxyIndex(name),
                name,
                address(name),
                testbed.fleet().discoveryAddress(name),
                seed,
                testbed.fleet().listJson(name));
        return fleet == null ? settings : fleet.addFleetSettings(name, settings);
    }

    private void startProxy(String name) {
        if (hasEnded) {
            return;
        }
        int startCount = startCounts.merge(name, 1, Integer::sum);
        endingProxies.remove(name);
        String logName = startCount == 1 ? name : name + "." + startCount;
        try {
            testbed.fleet().recordStartingList(name);
            DaemonProcess daemon = DaemonProcess.start(
                    directory,
                    name,
                    settings(name),
                    script.proxies().memoryMb(),
                    line -> loop.execute(() -> appendLog(logName, line)));
            daemons.put(name, daemon);
            testbed.eventLog().processStarted(name, now());
            daemon.onExit(() -> loop.execute(() -> proxyExited(name, daemon)));
            if (testbed.proxies().contains(name)) {
                testbed.front().proxyStarted(name); // the front balancer does not know twins
            }
        } catch (IOException e) {
            started.completeExceptionally(e);
        }
    }

    private void proxyExited(String name, DaemonProcess daemon) {
        if (daemons.get(name) == daemon) {
            testbed.eventLog().processEnded(name, now());
        }
        if (!hasEnded && !endingProxies.contains(name) && daemons.get(name) == daemon) {
            testbed.eventLog().addCrash(name, "exit code " + daemon.exitCode(), now());
            if (testbed.proxies().contains(name)) {
                testbed.front().proxyEnded(name);
            }
            started.completeExceptionally(
                    new IOException(name + " exited unexpectedly, exit code " + daemon.exitCode()));
        }
    }

    private void appendLog(String logName, String line) {
        if (log.size() < MAX_LOG_LINES) {
            log.add(String.format(Locale.ROOT, "%s %s", logName, line));
        }
    }

    @Override
    public void kill(String name, double downS) {
        DaemonProcess daemon = daemons.get(name);
        if (!daemon.isAlive()) {
            return;
        }
        endingProxies.add(name);
        testbed.eventLog().addDisruption(name, now(), now() + SIGNAL_EFFECT_NS);
        testbed.front().proxyEnded(name);
        daemon.kill();
        daemon.onExit(() -> loop.execute(() -> startProxyAfter(name, downS)));
    }

    @Override
    public void stop(String name, double downS) {
        DaemonProcess daemon = daemons.get(name);
        if (!daemon.isAlive()) {
            return;
        }
        endingProxies.add(name);
        testbed.front().proxyEnded(name);
        daemon.stop();
        daemon.onExit(() -> loop.execute(() -> startProxyAfter(name, downS)));
    }

    private void startProxyAfter(String name, double downS) {
        loop.schedule(() -> startProxy(name), (long) (downS * 1e9), TimeUnit.NANOSECONDS);
    }

    @Override
    public void reload(String name) {
        try {
            if (daemons.get(name).isAlive()) {
                daemons.get(name).reload(settings(name));
            }
        } catch (IOException e) {
            testbed.eventLog().addEvent(now(), name + " could not be reloaded: " + e.getMessage());
        }
    }

    @Override
    public void setPaused(String name, boolean on) {
        try {
            testbed.eventLog().addDisruption(name, now(), now() + SIGNAL_EFFECT_NS);
            if (daemons.get(name).isAlive()) {
                daemons.get(name).pause(on);
            }
        } catch (IOException e) {
            testbed.eventLog().addEvent(now(), name + " could not be paused: " + e.getMessage());
        }
    }

    @Override
    public void reassignAddresses(List<String> ring) {
        if (fleet.reassignAddresses(ring)) {
            daemons.keySet().forEach(this::reload);
        }
    }

    @Override
    public void setTwinRunning(String proxy, boolean on) {
        String twin = proxy + EventLog.TWIN;
        if (on) {
            startProxy(twin);
        } else {
            endingProxies.add(twin);
            daemons.get(twin).kill();
        }
    }

    @Override
    public void setKeys(String proxy, List<Integer> keyNumbers) {
        fleet.setKeys(proxy, keyNumbers);
        reload(proxy);
    }

    @Override
    public void sendForgedDatagram(String proxy) {
        fleet.relay.forge(proxy);
    }

    @Override
    public void setFalseRumors(String proxy, int perDatagram) {
        fleet.setFalseRumors(proxy, perDatagram);
    }

    // ---- links ----

    @Override
    public void setExtraDelay(String from, String to, long extraNs) {
        tcpLinks.setExtraDelayNs(from, to, extraNs);
        if (fleet != null) {
            fleet.relay.link(from, to).setExtraDelayNs(extraNs);
        }
    }

    @Override
    public void setLoss(String from, String to, double share) {
        tcpLinks.setLoss(from, to, share);
        if (fleet != null) {
            fleet.relay.link(from, to).setLoss(share);
        }
    }

    @Override
    public void cut(String from, String to, boolean on) {
        tcpLinks.setCut(from, to, on);
        if (fleet != null) {
            fleet.relay.link(from, to).cut(on);
        }
    }

    @Override
    public void setImpairment(String from, String to, DatagramLink.Impairment impairment, double value) {
        fleet.relay.setImpairment(from, to, impairment, value);
    }

    @Override
    public void resetConnections(String from, String to) {
        tcpLinks.reset(from, to);
    }

    @Override
    public void setUnreachable(String machine, boolean on) {
        tcpLinks.setUnreachable(machine, on);
    }
}
