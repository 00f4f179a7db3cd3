package gullspar.rehearse.play;

import gullspar.decide.Balancer;
import gullspar.decide.Policy;
import gullspar.peers.Settings;
import gullspar.peers.net.Membership;
import gullspar.peers.wire.Envelope;
import gullspar.proxy.Proxy;
import gullspar.proxy.config.Config;
import gullspar.proxy.config.ConfigException;
import gullspar.proxy.config.Fnv;
import gullspar.proxy.io.Platform;
import gullspar.proxy.operator.AuxiliaryService;
import gullspar.rehearse.judge.Judge;
import gullspar.rehearse.net.DatagramLink;
import gullspar.rehearse.net.Host;
import gullspar.rehearse.net.MemoryChannel;
import gullspar.rehearse.net.Network;
import gullspar.rehearse.record.DecisionLog;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.stage.EventLog;
import gullspar.rehearse.stage.FleetSnapshot;
import gullspar.rehearse.stage.RunEnvironment;
import gullspar.rehearse.time.EventQueue;
import gullspar.rehearse.time.VirtualLoop;
import io.netty.channel.Channel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import java.util.function.UnaryOperator;

/**
 * Plays a day in virtual time: the daemon's own code on a virtual clock and an in-memory network, all in the calling
 * thread. The same script gives the same decisions on any machine.
 */
public final class VirtualPlay implements RunEnvironment, FaultInjector {
    /** The virtual time at which every run begins, Unix time in ns: 2027-01-15T08:00:00Z. */
    private static final long EPOCH_NS = 1_800_000_000L * 1_000_000_000L;
    /** Virtual time within which all proxies must be ready; after that the day fails. */
    private static final long READY_TIMEOUT_NS = 60_000_000_000L;
    /** The share of the start-up time after which the daemon requests the list: 0.7 s of 2.5 s on half a core. */
    private static final double LIST_REQUEST_SHARE = 0.3;

    private static final int MAX_LOG_LINES = 10_000;

    /**
     * Options for playing a day. decisionLog receives the decision log, or is null; moduleWrapper and platformWrapper
     * wrap each proxy's decision module and its platform: the identity, except where a test plants a fault.
     */
    public record Options(
            Writer decisionLog,
            UnaryOperator<Balancer.Factory> moduleWrapper,
            UnaryOperator<Platform> platformWrapper,
            ProgressListener progressListener,
            MembershipOptions membership) {
        public Options(
                Writer decisionLog,
                UnaryOperator<Balancer.Factory> moduleWrapper,
                UnaryOperator<Platform> platformWrapper,
                ProgressListener progressListener) {
            this(
                    decisionLog,
                    moduleWrapper,
                    platformWrapper,
                    progressListener,
                    new MembershipOptions(Fnv::hash, UnaryOperator.identity()));
        }

        /** Without a decision log, progress notifications or wrappers. */
        public static Options defaults() {
            return withDecisionLog(null, ProgressListener.NONE);
        }

        /** With a decision log, which may be null, and progress notifications. */
        public static Options withDecisionLog(Writer decisionLog, ProgressListener progressListener) {
            return new Options(decisionLog, UnaryOperator.identity(), UnaryOperator.identity(), progressListener);
        }
    }

    /**
     * Options of fleet membership, for tests that plant faults: lifeSeed gives the seed of a process's life from its
     * name and number, settings changes the settings of each member.
     */
    public record MembershipOptions(ToLongFunction<String> lifeSeed, UnaryOperator<Settings> settings) {}

    private final Script script;
    private final Options options;
    private final EventQueue eventQueue;
    private final Network network;
    private final VirtualLoop loop;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<String, ProxyProcess> processes = new LinkedHashMap<>();
    private final Map<Integer, String> nodeNames = new HashMap<>();
    private final List<String> proxyLog = new ArrayList<>();
    private final DecisionLog decisionLog;
    private final Testbed testbed;
    private final EventLog eventLog;
    private final VirtualFleet fleet;
    private Throwable failure;

    private VirtualPlay(Script script, Options options) {
        this.script = script;
        this.options = options;
        this.eventQueue = new EventQueue(script.seed(), EPOCH_NS);
        this.network = new Network(eventQueue, script.seed() * 31 + 8, this::oneWayDelayNs);
        this.loop = new VirtualLoop(eventQueue, e -> failure = failure == null ? e : failure);
        this.decisionLog = new DecisionLog(() -> eventQueue.now() - EPOCH_NS, this::nodeName, options.decisionLog());
        this.testbed = new Testbed(this, script, this);
        this.eventLog = testbed.eventLog();
        this.fleet = script.peers() == null
                ? null
                : new VirtualFleet(script, testbed, network, this::address, options.membership());
    }

    /** Plays a day to its end. */
    public static DayResult play(Script script, Options options) {
        return new VirtualPlay(script, options).play();
    }

    private DayResult play() {
        long startedAtNs = System.nanoTime(); // wall time, only for the report
        testbed.startNodes();
        testbed.proxies().forEach(this::start);
        if (fleet != null) {
            takeFleetSnapshots();
        }
        long[] endNs = {EPOCH_NS + READY_TIMEOUT_NS};
        testbed.startWhenReady(() -> endNs[0] = eventQueue.now() + (long) (script.seconds() * 1e9));
        runUntil(endNs);
        if (eventLog.start() == 0) {
            throw new IllegalStateException(
                    "the proxies were not ready within " + READY_TIMEOUT_NS / 1_000_000_000L + " s: " + proxyLog);
        }
        endNs[0] = eventQueue.now() + testbed.tailNs();
        runUntil(endNs);
        options.progressListener().onProgress(script.seconds(), script.seconds());
        return new DayResult(
                script,
                eventLog,
                Judge.judge(script, eventLog, 0),
                decisionLog.hash(),
                decisionLog.lineCount(),
                proxyLog,
                List.of(),
                System.nanoTime() - startedAtNs);
    }

    /** Runs all events up to endNs[0], which an event may change. */
    private void runUntil(long[] endNs) {
        long nextProgressNs = eventQueue.now();
        while (eventQueue.hasEventBy(endNs[0])) {
            eventQueue.runNext();
            if (failure != null) {
                throw new IllegalStateException(
                        "the rehearsal itself failed at " + (eventQueue.now() - eventLog.start()) / 1e9 + " s",
                        failure);
            }
            if (eventQueue.now() >= nextProgressNs && eventLog.start() != 0) {
                options.progressListener()
                        .onProgress(
                                Math.min(script.seconds(), (eventQueue.now() - eventLog.start()) / 1e9),
                                script.seconds());
                nextProgressNs = eventQueue.now() + 1_000_000_000L;
            }
        }
        eventQueue.advanceTo(endNs[0]);
    }

    // ---- the environment ----

    private String siteOf(String machine) {
        if (machine.startsWith("n")) {
            return testbed.fleet().site(machine);
        }
        return machine.startsWith("p") ? testbed.front().site(EventLog.baseName(machine)) : null;
    }

    private long oneWayDelayNs(String from, String to) {
        String fromSite = siteOf(from);
        String toSite = siteOf(to);
        // Clients and discovery's agents are in the proxy's own site.
        boolean sameSite = fromSite == null || toSite == null || fromSite.equals(toSite);
        if (sameSite) {
            return (long) (script.localDelayMs().midpoint() * 1e6);
        }
        // One draw for each pair of sites, the same in both directions.
        String pair = fromSite.compareTo(toSite) < 0 ? fromSite + ' ' + toSite : toSite + ' ' + fromSite;
        double position = (EventQueue.mix(script.seed() + Fnv.hash(pair)) >>> 11) * 0x1p-53;
        return (long) ((script.siteDelayMs().from()
                        + position
                                * (script.siteDelayMs().to()
                                        - script.siteDelayMs().from()))
                * 1e6);
    }

    @Override
    public Platform platform(String machine) {
        Host host = network.host(machine);
        host.setProcess(loop);
        return new Platform(loop, eventQueue::now, network.transport(host), line -> {});
    }

    @Override
    public long now() {
        return eventQueue.now();
    }

    @Override
    public InetSocketAddress address(String machine) {
        return addresses.computeIfAbsent(machine, m -> {
            int i = addresses.size() + 1;
            return new InetSocketAddress("127.1." + i / 250 + "." + (i % 250 + 1), 9000);
        });
    }

    @Override
    public long sentAt(Channel channel) {
        return ((MemoryChannel) channel).sentAtNs();
    }

    @Override
    public void processEnded(String machine) {
        network.closeSockets(network.host(machine));
    }

    /** The name of the node that the decision module knows by this number. */
    private String nodeName(int number) {
        return nodeNames.computeIfAbsent(number, n -> {
            for (String machine : testbed.fleet().machines()) {
                for (int instance = 1; instance <= testbed.fleet().instanceCount(machine); instance++) {
                    String id = instance == 1 ? machine : machine + "-" + instance;
                    if ((int) (Fnv.hash(id) >>> 32) == n) {
                        return id;
                    }
                }
            }
            return "#" + n;
        });
    }

    // ---- the proxies ----

    /** One process of a proxy. */
    private static final class ProxyProcess {
        private final int number;
        private final VirtualLoop loop;
        private Proxy proxy;
        private Membership membership;
        private boolean paused;

        ProxyProcess(int number, VirtualLoop loop) {
            this.number = number;
            this.loop = loop;
        }
    }

    private Config config(String name, int processNumber) {
        long seed = EventQueue.mix(script.seed() * 31 + 9 + Testbed.proxyIndex(name) * 1000L + processNumber);
        try {
            return Config.parse(
                    ProxySettings.of(
                            script,
                            Testbed.proxyIndex(name),
                            name,
                            address(name),
                            testbed.fleet().discoveryAddress(name),
                            seed,
                            testbed.fleet().listJson(name)),
                    Map.of());
        } catch (ConfigException e) {
            throw new IllegalStateException(e);
        }
    }

    private void start(String name) {
        int number = processes.get(name) == null ? 1 : processes.get(name).number + 1;
        String processName = number == 1 ? name : name + "." + number;
        ProxyProcess process =
                new ProxyProcess(number, new VirtualLoop(eventQueue, e -> addLogLine(processName, "uncaught: " + e)));
        processes.put(name, process);
        Host host = network.host(name);
        host.setProcess(process.loop);
        Platform platform = options.platformWrapper()
                .apply(new Platform(
                        process.loop,
                        eventQueue::now,
                        network.transport(host),
                        line -> addLogLine(processName, line),
                        process.loop::inputDelayNs,
                        null));
        long startUpNs = (long) (script.proxies().startS() * 1e9);
        if (fleet != null) {
            eventLog.processStarted(name, eventQueue.now());
            process.loop.execute(() -> process.membership = fleet.join(
                    name,
                    processName,
                    platform,
                    () -> process.proxy == null ? AuxiliaryService.Load.NONE : process.proxy.load()));
        }
        process.loop.schedule(
                () -> {
                    testbed.fleet().recordStartingList(name);
                    Proxy proxy = Proxy.startUnopened(
                            config(name, number),
                            platform,
                            decisionLog.wrap(
                                    processName, options.moduleWrapper().apply(Policy::new)),
                            0);
                    process.loop.schedule(
                            () -> {
                                process.proxy = proxy;
                                proxy.open();
                                if (process.membership != null) {
                                    process.membership.onStage(AuxiliaryService.Stage.SERVING);
                                }
                                if (testbed.proxies().contains(name)) {
                                    // The front balancer checks its health from now on; it does not know twins.
                                    loop.execute(() -> testbed.front().proxyStarted(name));
                                }
                            },
                            startUpNs - (long) (startUpNs * LIST_REQUEST_SHARE),
                            TimeUnit.NANOSECONDS);
                },
                (long) (startUpNs * LIST_REQUEST_SHARE),
                TimeUnit.NANOSECONDS);
    }

    /** Periodically records the view of the fleet of each running proxy. */
    private void takeFleetSnapshots() {
        processes.forEach((name, process) -> {
            String view = process.membership == null || process.loop.hasEnded() || process.paused
                    ? null
                    : process.membership.query("/_fleet");
            if (view != null) {
                try {
                    eventLog.addFleetSnapshot(FleetSnapshot.parse(eventQueue.now(), name, view));
                } catch (IOException e) {
                    throw new UncheckedIOException("a proxy returned an invalid view of the fleet", e);
                }
            }
        });
        loop.schedule(
                this::takeFleetSnapshots,
                FleetSnapshot.intervalMs(testbed.proxies().size()),
                TimeUnit.MILLISECONDS);
    }

    private void addLogLine(String processName, String line) {
        if (proxyLog.size() < MAX_LOG_LINES) {
            proxyLog.add(
                    String.format(Locale.ROOT, "%.6f %s %s", (eventQueue.now() - EPOCH_NS) / 1e9, processName, line));
        }
    }

    private void endProcess(String name, ProxyProcess process) {
        process.loop.end();
        if (fleet != null) {
            eventLog.processEnded(name, eventQueue.now());
        }
        network.closeSockets(network.host(name));
    }

    private void scheduleStart(String name, double downS) {
        loop.schedule(() -> start(name), (long) (downS * 1e9), TimeUnit.NANOSECONDS);
    }

    @Override
    public void kill(String name, double downS) {
        ProxyProcess process = processes.get(name);
        if (process.loop.hasEnded()) {
            return;
        }
        endProcess(name, process);
        testbed.front().proxyEnded(name);
        scheduleStart(name, downS);
    }

    @Override
    public void stop(String name, double downS) {
        ProxyProcess process = processes.get(name);
        if (process.loop.hasEnded() || process.proxy == null) {
            return;
        }
        testbed.front().proxyEnded(name);
        if (process.membership != null) {
            process.loop.execute(() -> process.membership.onStage(AuxiliaryService.Stage.DRAINING));
        }
        process.proxy
                .drain()
                .thenCompose(v -> process.membership == null
                        ? CompletableFuture.completedFuture(null)
                        : process.membership.leave())
                .thenRun(() -> {
                    if (!process.loop.hasEnded()) {
                        // On the shared loop: a process must not be ended from a task of its own loop.
                        loop.execute(() -> {
                            endProcess(name, process);
                            scheduleStart(name, downS);
                        });
                    }
                });
    }

    @Override
    public void reload(String name) {
        ProxyProcess process = processes.get(name);
        if (!process.loop.hasEnded() && process.proxy != null) {
            Config config = config(name, process.number);
            process.loop.execute(() -> process.proxy.reload(config));
        }
    }

    @Override
    public void setPaused(String name, boolean on) {
        processes.get(name).paused = on;
        processes.get(name).loop.pause(on);
    }

    @Override
    public void reassignAddresses(List<String> ring) {
        List<InetSocketAddress> previousSeeds = fleet.seeds();
        fleet.reassignAddresses(ring);
        List<InetSocketAddress> seeds = fleet.seeds();
        if (!seeds.equals(previousSeeds)) {
            processes.values().forEach(process -> process.loop.execute(() -> process.membership.setSeeds(seeds)));
        }
    }

    @Override
    public void setTwinRunning(String proxy, boolean on) {
        String twin = proxy + EventLog.TWIN;
        if (on) {
            start(twin);
        } else {
            endProcess(twin, processes.get(twin));
        }
    }

    @Override
    public void setKeys(String proxy, List<Integer> keyNumbers) {
        ProxyProcess process = processes.get(proxy);
        Envelope keys = fleet.setKeys(proxy, keyNumbers);
        process.loop.execute(() -> process.membership.setKeys(keys));
    }

    @Override
    public void sendForgedDatagram(String proxy) {
        fleet.sendForgedDatagram(proxy);
    }

    @Override
    public void setFalseRumors(String proxy, int perDatagram) {
        fleet.setFalseRumors(proxy, perDatagram);
    }

    // ---- the links ----

    @Override
    public void setExtraDelay(String from, String to, long extraNs) {
        network.link(from, to).setExtraDelayNs(extraNs);
        network.datagrams(from, to).setExtraDelayNs(extraNs);
    }

    @Override
    public void setLoss(String from, String to, double share) {
        network.link(from, to).setLoss(share);
        network.datagrams(from, to).setLoss(share);
    }

    @Override
    public void cut(String from, String to, boolean on) {
        network.cut(from, to, on);
        network.datagrams(from, to).cut(on);
    }

    @Override
    public void setImpairment(String from, String to, DatagramLink.Impairment impairment, double value) {
        network.setImpairment(from, to, impairment, value);
    }

    @Override
    public void resetConnections(String from, String to) {
        network.reset(network.host(from), network.host(to));
    }

    @Override
    public void setUnreachable(String machine, boolean on) {
        network.setUnreachable(network.host(machine), on);
    }
}
