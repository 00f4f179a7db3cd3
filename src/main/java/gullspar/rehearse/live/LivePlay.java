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
import gullspar.rehearse.time.Agenda;
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
 * Plays a day live: the same script and the same stand-ins, in this process and in real time, with real
 * daemon processes on loopback sockets. All but the start and the end happens on one event loop.
 */
public final class LivePlay implements RunEnvironment, FaultInjector, AutoCloseable {
    /** How far a time that is seen here may lie from the true one. */
    private static final long SLACK_NS = 50_000_000L;
    /** What is under way when a process is killed or stopped is seen up to so much later. */
    private static final long SIGNAL_NS = 300_000_000L;

    private static final long READY_S = 60;
    private static final long PROGRESS_MS = 200;
    /** What is told of a day without end is that of the last so long. */
    private static final long LOOK_BACK_NS = 10_000_000_000L;

    private static final int MOST_LOG_LINES = 10_000;

    private final Script script;
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final Clock clock = Clock.system();
    private final Path folder;
    private final LiveWays ways;
    private final Lateness lateness = new Lateness(loop);
    private final Map<String, LiveTransport> transports = new HashMap<>();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<InetSocketAddress, String> names = new HashMap<>();
    /** Also looked at from outside the loop, when all must end. */
    private final Map<String, DaemonProcess> daemons = new ConcurrentHashMap<>();

    private final Map<String, Integer> lives = new HashMap<>();
    /** Proxies that are meant to end. */
    private final Set<String> ending = new HashSet<>();

    private final List<String> log = new ArrayList<>();
    private final CompletableFuture<Void> begun = new CompletableFuture<>();
    private final Thread atExit = new Thread(this::killAll, "end of the daemons");
    private final Testbed standIns;
    private final LiveFleet fleet;
    private boolean over;

    private LivePlay(Script script) throws IOException {
        this.script = script;
        this.folder = Files.createTempDirectory("gullspar-live");
        this.ways = new LiveWays(script.seed());
        Runtime.getRuntime().addShutdownHook(atExit);
        this.standIns = new Testbed(this, script, this);
        this.fleet = script.peers() == null
                ? null
                : new LiveFleet(
                        script, folder, loop, clock::now, standIns.proxies(), standIns.eventLog()::addFleetSnapshot);
    }

    /** Plays a day to its end; an IOException if it cannot be played here. */
    public static DayResult play(Script script, ProgressListener progress) throws IOException {
        try (LivePlay p = new LivePlay(script)) {
            return p.play(progress);
        }
    }

    /** Starts all and waits until the day has begun; then runs, on the loop, at that moment. */
    private void begin(Runnable then) throws IOException {
        onLoop(() -> {
            standIns.startNodes();
            standIns.startWhenReady(() -> {
                then.run();
                begun.complete(null);
            });
            standIns.proxies().forEach(this::start);
            if (fleet != null) {
                fleet.look(p -> daemons.containsKey(p) && daemons.get(p).alive());
            }
        });
        try {
            begun.get(READY_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException(
                    (e instanceof ExecutionException
                                    ? e.getCause().getMessage()
                                    : "the proxies were not ready within " + READY_S + " s")
                            + "; they said: "
                            + String.join("; ", log.subList(Math.max(0, log.size() - 5), log.size())),
                    e);
        }
    }

    private DayResult play(ProgressListener progress) throws IOException {
        long began = System.nanoTime();
        begin(lateness::start);
        try {
            CompletableFuture<Void> ended = new CompletableFuture<>();
            long start = now();
            loop.schedule(
                    () -> ended.complete(null),
                    (long) (script.seconds() * 1e9) + standIns.tailNs(),
                    TimeUnit.NANOSECONDS);
            while (!over(ended)) {
                // Here and not on the loop: whoever shows it may be slow, and the stand-ins must not wait.
                progress.onProgress(Math.min(script.seconds(), (now() - start) / 1e9), script.seconds());
            }
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
        List<DayResult> played = new ArrayList<>();
        onLoop(() -> {
            over = true;
            Verdict verdict = Judge.judge(script, standIns.eventLog(), SLACK_NS);
            played.add(new DayResult(
                    script, standIns.eventLog(), verdict, "", 0, log, lateness.notes(), System.nanoTime() - began));
        });
        return played.get(0);
    }

    /** Waits for the end of a day, but no longer than until its progress is to be shown. */
    private static boolean over(CompletableFuture<Void> ended) throws InterruptedException, ExecutionException {
        try {
            ended.get(PROGRESS_MS, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException e) {
            return false;
        }
    }

    /** What one looks at while a day without end goes on. */
    public record Now(InetSocketAddress proxy, int nodes, double rate, double inTime, int manualRequests) {}

    /** Plays on until it is told to end; the consumer is told how it goes, every second. */
    public static void playOn(Script script, Consumer<Now> now, CountDownLatch end) throws IOException {
        try (LivePlay p = new LivePlay(script)) {
            p.playOn(now, end);
        }
    }

    private void playOn(Consumer<Now> now, CountDownLatch end) throws IOException {
        ManualRequests manualRequests = new ManualRequests(script, this);
        begin(() -> standIns.eventLog().serveUnknownRequests(manualRequests));
        try {
            do {
                List<Now> look = new ArrayList<>(1);
                onLoop(() -> look.add(look(manualRequests)));
                now.accept(look.get(0));
            } while (!end.await(1, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Now look(ManualRequests manualRequests) {
        standIns.eventLog().discardBefore(now() - LOOK_BACK_NS);
        // The last of them are still under way.
        long before = now() - LOOK_BACK_NS / 5;
        List<Order> ended =
                standIns.eventLog().orders().stream().filter(o -> o.at < before).toList();
        double inTime =
                ended.isEmpty() ? 1 : ended.stream().filter(Order::isInTime).count() / (double) ended.size();
        return new Now(
                address("p1"),
                standIns.fleet().running().size(),
                ended.size() / (LOOK_BACK_NS / 1e9 * 4 / 5),
                inTime,
                manualRequests.served());
    }

    private void onLoop(Runnable what) throws IOException {
        try {
            loop.submit(what).get();
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

    /** Ends all that is still there. */
    @Override
    public void close() throws IOException {
        onLoop(() -> {
            over = true;
            killAll();
            transports.values().forEach(LiveTransport::reset);
            if (fleet != null) {
                fleet.relay.close();
            }
        });
        daemons.values().forEach(DaemonProcess::awaitEnd);
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
        try {
            Runtime.getRuntime().removeShutdownHook(atExit);
        } catch (IllegalStateException e) {
            killAll(); // this process is ending: the hook does the same
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        }
    }

    // ---- the stage ----

    @Override
    public Platform platform(String machine) {
        LiveTransport t = transports.computeIfAbsent(
                machine, m -> new LiveTransport(loop, ways, m, clock::now, a -> names.getOrDefault(a, "")));
        return new Platform(loop, clock, t, line -> {});
    }

    @Override
    public long now() {
        return clock.now();
    }

    /** One that was free when it was asked for: the kernel gives another to whoever asks next. */
    @Override
    public InetSocketAddress address(String machine) {
        return addresses.computeIfAbsent(machine, m -> {
            try {
                InetSocketAddress a = Ports.tcp(4, 1).get(0);
                while (names.containsKey(a)) {
                    a = Ports.tcp(4, 1).get(0);
                }
                names.put(a, m);
                return a;
            } catch (IOException e) {
                throw new UncheckedIOException("no free port on loopback", e);
            }
        });
    }

    @Override
    public long sentAt(Channel channel) {
        return LinkHandler.readAt(channel, clock.now());
    }

    @Override
    public void setPeer(Channel channel, String machine) {
        LinkHandler.peer(channel, machine);
    }

    @Override
    public void processEnded(String machine) {
        transports.get(machine).reset();
    }

    // ---- the proxies ----

    private JsonNode settings(String name) {
        long seed = Agenda.mix(script.seed() * 31 + 9 + Testbed.proxyIndex(name) * 1000L + lives.getOrDefault(name, 1));
        JsonNode settings = ProxySettings.of(
                script,
                Testbed.proxyIndex(name),
                name,
                address(name),
                standIns.fleet().discoveryAddress(name),
                seed,
                standIns.fleet().listJson(name));
        return fleet == null ? settings : fleet.with(name, settings);
    }

    private void start(String name) {
        if (over) {
            return;
        }
        int life = lives.merge(name, 1, Integer::sum);
        ending.remove(name);
        String who = life == 1 ? name : name + "." + life;
        try {
            standIns.fleet().recordStartingList(name);
            DaemonProcess d = DaemonProcess.start(
                    folder,
                    name,
                    settings(name),
                    script.proxies().memoryMb(),
                    line -> loop.execute(() -> say(who, line)));
            daemons.put(name, d);
            standIns.eventLog().processStarted(name, now());
            d.onEnd(() -> loop.execute(() -> ended(name, d)));
            if (standIns.proxies().contains(name)) {
                standIns.front().proxyStarted(name); // of a twin it does not know
            }
        } catch (IOException e) {
            begun.completeExceptionally(e);
        }
    }

    private void ended(String name, DaemonProcess d) {
        if (daemons.get(name) == d) {
            standIns.eventLog().processEnded(name, now());
        }
        if (!over && !ending.contains(name) && daemons.get(name) == d) {
            standIns.eventLog().addCrash(name, "exit code " + d.exitCode(), now());
            if (standIns.proxies().contains(name)) {
                standIns.front().proxyEnded(name);
            }
            begun.completeExceptionally(new IOException(name + " ended by itself, exit code " + d.exitCode()));
        }
    }

    private void say(String who, String line) {
        if (log.size() < MOST_LOG_LINES) {
            log.add(String.format(Locale.ROOT, "%s %s", who, line));
        }
    }

    @Override
    public void kill(String name, double downS) {
        DaemonProcess d = daemons.get(name);
        if (!d.alive()) {
            return;
        }
        ending.add(name);
        standIns.eventLog().addDisruption(name, now(), now() + SIGNAL_NS);
        standIns.front().proxyEnded(name);
        d.kill();
        d.onEnd(() -> loop.execute(() -> startLater(name, downS)));
    }

    @Override
    public void stop(String name, double downS) {
        DaemonProcess d = daemons.get(name);
        if (!d.alive()) {
            return;
        }
        ending.add(name);
        standIns.front().proxyEnded(name);
        d.stop();
        d.onEnd(() -> loop.execute(() -> startLater(name, downS)));
    }

    private void startLater(String name, double downS) {
        loop.schedule(() -> start(name), (long) (downS * 1e9), TimeUnit.NANOSECONDS);
    }

    @Override
    public void reload(String name) {
        try {
            if (daemons.get(name).alive()) {
                daemons.get(name).reload(settings(name));
            }
        } catch (IOException e) {
            standIns.eventLog().addEvent(now(), name + " could not be told to reload: " + e.getMessage());
        }
    }

    @Override
    public void setPaused(String name, boolean on) {
        try {
            standIns.eventLog().addDisruption(name, now(), now() + SIGNAL_NS);
            if (daemons.get(name).alive()) {
                daemons.get(name).pause(on);
            }
        } catch (IOException e) {
            standIns.eventLog().addEvent(now(), name + " could not be paused: " + e.getMessage());
        }
    }

    @Override
    public void reassignAddresses(List<String> ring) {
        if (fleet.move(ring)) {
            daemons.keySet().forEach(this::reload);
        }
    }

    @Override
    public void setTwinRunning(String proxy, boolean on) {
        String twin = proxy + EventLog.TWIN;
        if (on) {
            start(twin);
        } else {
            ending.add(twin);
            daemons.get(twin).kill();
        }
    }

    @Override
    public void setKeys(String proxy, List<Integer> numbers) {
        fleet.keys(proxy, numbers);
        reload(proxy);
    }

    @Override
    public void sendForgedDatagram(String proxy) {
        fleet.relay.forge(proxy);
    }

    @Override
    public void setFalseRumors(String proxy, int forEach) {
        fleet.mad(proxy, forEach);
    }

    // ---- the ways ----

    @Override
    public void setExtraDelay(String from, String to, long byNs) {
        ways.slower(from, to, byNs);
        if (fleet != null) {
            fleet.relay.way(from, to).setExtraDelayNs(byNs);
        }
    }

    @Override
    public void setLoss(String from, String to, double share) {
        ways.lossy(from, to, share);
        if (fleet != null) {
            fleet.relay.way(from, to).setLoss(share);
        }
    }

    @Override
    public void cut(String from, String to, boolean on) {
        ways.cut(from, to, on);
        if (fleet != null) {
            fleet.relay.way(from, to).cut(on);
        }
    }

    @Override
    public void setImpairment(String from, String to, DatagramLink.Impairment t, double figure) {
        fleet.relay.trouble(from, to, t, figure);
    }

    @Override
    public void resetConnections(String from, String to) {
        ways.reset(from, to);
    }

    @Override
    public void setUnreachable(String machine, boolean on) {
        ways.vanish(machine, on);
    }
}
