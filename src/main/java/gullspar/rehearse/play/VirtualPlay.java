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
import gullspar.rehearse.time.Agenda;
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
 * Plays a day in virtual time: the daemon's own code on a virtual clock and a network in memory, all in the
 * calling thread. The same script gives the same decisions, whatever machine it is played on.
 */
public final class VirtualPlay implements RunEnvironment, FaultInjector {
    /** When every day begins, Unix time in ns: 2027-01-15T08:00:00Z. */
    private static final long EPOCH_NS = 1_800_000_000L * 1_000_000_000L;
    /** Proxies that are not ready by then never will be. */
    private static final long READY_NS = 60_000_000_000L;
    /** The share of a start after which the daemon asks for the list: 0.7 of 2.5 s as seen on half a core. */
    private static final double ASKS_AFTER = 0.3;

    private static final int MOST_LOG_LINES = 10_000;

    /**
     * How a day is to be played. decisions gets the decision log, or is null; module and platform stand
     * between a proxy and its decision module, and between it and its machine: the identity, but where a test
     * plants a fault.
     */
    public record Options(
            Writer decisions,
            UnaryOperator<Balancer.Factory> module,
            UnaryOperator<Platform> platform,
            Progress progress,
            Peering peering) {
        public Options(
                Writer decisions,
                UnaryOperator<Balancer.Factory> module,
                UnaryOperator<Platform> platform,
                Progress progress) {
            this(decisions, module, platform, progress, new Peering(Fnv::hash, UnaryOperator.identity()));
        }

        /** Nothing but the day. */
        public static Options plain() {
            return logged(null, Progress.NONE);
        }

        /** With its decisions written down and its progress heard. */
        public static Options logged(Writer decisions, Progress progress) {
            return new Options(decisions, UnaryOperator.identity(), UnaryOperator.identity(), progress);
        }
    }

    /**
     * How a process of that name draws its life, and how it watches the fleet; for tests that plant faults.
     */
    public record Peering(ToLongFunction<String> lives, UnaryOperator<Settings> settings) {}

    private final Script script;
    private final Options options;
    private final Agenda agenda;
    private final Network network;
    private final VirtualLoop loop;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<String, Life> lives = new LinkedHashMap<>();
    private final Map<Integer, String> nodeNames = new HashMap<>();
    private final List<String> log = new ArrayList<>();
    private final DecisionLog decisions;
    private final StandIns standIns;
    private final EventLog eventLog;
    private final VirtualFleet fleet;
    private Throwable slip;

    private VirtualPlay(Script script, Options options) {
        this.script = script;
        this.options = options;
        this.agenda = new Agenda(script.seed(), EPOCH_NS);
        this.network = new Network(agenda, script.seed() * 31 + 8, this::distance);
        this.loop = new VirtualLoop(agenda, e -> slip = slip == null ? e : slip);
        this.decisions = new DecisionLog(() -> agenda.now() - EPOCH_NS, this::nodeName, options.decisions());
        this.standIns = new StandIns(this, script, this);
        this.eventLog = standIns.eventLog();
        this.fleet = script.peers() == null
                ? null
                : new VirtualFleet(script, standIns, network, this::address, options.peering());
    }

    /** Plays a day to its end. */
    public static Played play(Script script, Options options) {
        return new VirtualPlay(script, options).play();
    }

    private Played play() {
        long began = System.nanoTime(); // only to say how long it took
        standIns.open();
        standIns.proxies().forEach(this::start);
        if (fleet != null) {
            look();
        }
        long[] end = {EPOCH_NS + READY_NS};
        standIns.begin(() -> end[0] = agenda.now() + (long) (script.seconds() * 1e9));
        run(end);
        if (eventLog.start() == 0) {
            throw new IllegalStateException(
                    "the proxies were not ready within " + READY_NS / 1_000_000_000L + " s: " + log);
        }
        end[0] = agenda.now() + standIns.tailNs();
        run(end);
        options.progress().at(script.seconds(), script.seconds());
        return new Played(
                script,
                eventLog,
                Judge.judge(script, eventLog, 0),
                decisions.hash(),
                decisions.lineCount(),
                log,
                List.of(),
                System.nanoTime() - began);
    }

    /** Up to a time that may be moved meanwhile. */
    private void run(long[] end) {
        long next = agenda.now();
        while (agenda.hasEventBy(end[0])) {
            agenda.runNext();
            if (slip != null) {
                throw new IllegalStateException(
                        "the rehearsal itself failed at " + (agenda.now() - eventLog.start()) / 1e9 + " s", slip);
            }
            if (agenda.now() >= next && eventLog.start() != 0) {
                options.progress()
                        .at(Math.min(script.seconds(), (agenda.now() - eventLog.start()) / 1e9), script.seconds());
                next = agenda.now() + 1_000_000_000L;
            }
        }
        agenda.advanceTo(end[0]);
    }

    // ---- the stage ----

    private String siteOf(String machine) {
        if (machine.startsWith("n")) {
            return standIns.fleet().site(machine);
        }
        return machine.startsWith("p") ? standIns.front().site(EventLog.baseName(machine)) : null;
    }

    private long distance(String from, String to) {
        String a = siteOf(from);
        String b = siteOf(to);
        // Clients come from the proxy's own site, discovery has an agent there.
        boolean near = a == null || b == null || a.equals(b);
        if (near) {
            return (long) (script.localDelayMs().midpoint() * 1e6);
        }
        // One draw for each pair of sites, the same both ways.
        String pair = a.compareTo(b) < 0 ? a + ' ' + b : b + ' ' + a;
        double at = (Agenda.mix(script.seed() + Fnv.hash(pair)) >>> 11) * 0x1p-53;
        return (long) ((script.siteDelayMs().from()
                        + at * (script.siteDelayMs().to() - script.siteDelayMs().from()))
                * 1e6);
    }

    @Override
    public Platform platform(String machine) {
        Host host = network.host(machine);
        host.setProcess(loop);
        return new Platform(loop, agenda::now, network.transport(host), line -> {});
    }

    @Override
    public long now() {
        return agenda.now();
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

    /** The name of a node by the number under which the module knows it. */
    private String nodeName(int number) {
        return nodeNames.computeIfAbsent(number, n -> {
            for (String machine : standIns.fleet().machines()) {
                for (int life = 1; life <= standIns.fleet().instanceCount(machine); life++) {
                    String id = life == 1 ? machine : machine + "-" + life;
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
    private static final class Life {
        private final int number;
        private final VirtualLoop loop;
        private Proxy proxy;
        private Membership member;
        private boolean paused;

        Life(int number, VirtualLoop loop) {
            this.number = number;
            this.loop = loop;
        }
    }

    private Config config(String name, int life) {
        long seed = Agenda.mix(script.seed() * 31 + 9 + StandIns.index(name) * 1000L + life);
        try {
            return Config.parse(
                    ProxySettings.of(
                            script,
                            StandIns.index(name),
                            name,
                            address(name),
                            standIns.fleet().discoveryAddress(name),
                            seed,
                            standIns.fleet().listJson(name)),
                    Map.of());
        } catch (ConfigException e) {
            throw new IllegalStateException(e);
        }
    }

    private void start(String name) {
        int number = lives.get(name) == null ? 1 : lives.get(name).number + 1;
        String who = number == 1 ? name : name + "." + number;
        Life life = new Life(number, new VirtualLoop(agenda, e -> say(who, "uncaught: " + e)));
        lives.put(name, life);
        Host host = network.host(name);
        host.setProcess(life.loop);
        Platform platform = options.platform()
                .apply(new Platform(
                        life.loop,
                        agenda::now,
                        network.transport(host),
                        line -> say(who, line),
                        life.loop::inputDelayNs,
                        null));
        long warm = (long) (script.proxies().startS() * 1e9);
        if (fleet != null) {
            eventLog.processStarted(name, agenda.now());
            life.loop.execute(() -> life.member = fleet.join(
                    name, who, platform, () -> life.proxy == null ? AuxiliaryService.Load.NONE : life.proxy.load()));
        }
        life.loop.schedule(
                () -> {
                    standIns.fleet().recordStartingList(name);
                    Proxy asking = Proxy.startUnopened(
                            config(name, number),
                            platform,
                            decisions.wrap(who, options.module().apply(Policy::new)));
                    life.loop.schedule(
                            () -> {
                                life.proxy = asking;
                                asking.open();
                                if (life.member != null) {
                                    life.member.onStage(AuxiliaryService.Stage.SERVING);
                                }
                                if (standIns.proxies().contains(name)) {
                                    // The front looks at it from now on; at a twin nobody does.
                                    loop.execute(() -> standIns.front().proxyStarted(name));
                                }
                            },
                            warm - (long) (warm * ASKS_AFTER),
                            TimeUnit.NANOSECONDS);
                },
                (long) (warm * ASKS_AFTER),
                TimeUnit.NANOSECONDS);
    }

    /** Asks each that runs how it sees the fleet, again and again. */
    private void look() {
        lives.forEach((name, life) -> {
            String answer =
                    life.member == null || life.loop.hasEnded() || life.paused ? null : life.member.query("/_fleet");
            if (answer != null) {
                try {
                    eventLog.addFleetSnapshot(FleetSnapshot.parse(agenda.now(), name, answer));
                } catch (IOException e) {
                    throw new UncheckedIOException("a proxy answered what is no view", e);
                }
            }
        });
        loop.schedule(this::look, FleetSnapshot.intervalMs(standIns.proxies().size()), TimeUnit.MILLISECONDS);
    }

    private void say(String who, String line) {
        if (log.size() < MOST_LOG_LINES) {
            log.add(String.format(Locale.ROOT, "%.6f %s %s", (agenda.now() - EPOCH_NS) / 1e9, who, line));
        }
    }

    private void endNow(String name, Life life) {
        life.loop.end();
        if (fleet != null) {
            eventLog.processEnded(name, agenda.now());
        }
        network.closeSockets(network.host(name));
    }

    private void startLater(String name, double downS) {
        loop.schedule(() -> start(name), (long) (downS * 1e9), TimeUnit.NANOSECONDS);
    }

    @Override
    public void kill(String name, double downS) {
        Life life = lives.get(name);
        if (life.loop.hasEnded()) {
            return;
        }
        endNow(name, life);
        standIns.front().proxyEnded(name);
        startLater(name, downS);
    }

    @Override
    public void stop(String name, double downS) {
        Life life = lives.get(name);
        if (life.loop.hasEnded() || life.proxy == null) {
            return;
        }
        standIns.front().proxyEnded(name);
        if (life.member != null) {
            life.loop.execute(() -> life.member.onStage(AuxiliaryService.Stage.DRAINING));
        }
        life.proxy
                .drain()
                .thenCompose(v -> life.member == null ? CompletableFuture.completedFuture(null) : life.member.leave())
                .thenRun(() -> {
                    if (!life.loop.hasEnded()) {
                        // Not from inside its own wake-up.
                        loop.execute(() -> {
                            endNow(name, life);
                            startLater(name, downS);
                        });
                    }
                });
    }

    @Override
    public void reload(String name) {
        Life life = lives.get(name);
        if (!life.loop.hasEnded() && life.proxy != null) {
            Config config = config(name, life.number);
            life.loop.execute(() -> life.proxy.reload(config));
        }
    }

    @Override
    public void pause(String name, boolean on) {
        lives.get(name).paused = on;
        lives.get(name).loop.pause(on);
    }

    @Override
    public void move(List<String> ring) {
        List<InetSocketAddress> before = fleet.seeds();
        fleet.move(ring);
        List<InetSocketAddress> seeds = fleet.seeds();
        if (!seeds.equals(before)) {
            lives.values().forEach(life -> life.loop.execute(() -> life.member.setSeeds(seeds)));
        }
    }

    @Override
    public void twin(String proxy, boolean on) {
        String twin = proxy + EventLog.TWIN;
        if (on) {
            start(twin);
        } else {
            endNow(twin, lives.get(twin));
        }
    }

    @Override
    public void keys(String proxy, List<Integer> numbers) {
        Life life = lives.get(proxy);
        Envelope e = fleet.keys(proxy, numbers);
        life.loop.execute(() -> life.member.setKeys(e));
    }

    @Override
    public void forge(String proxy) {
        fleet.forge(proxy);
    }

    @Override
    public void mad(String proxy, int forEach) {
        fleet.mad(proxy, forEach);
    }

    // ---- the ways ----

    @Override
    public void slower(String from, String to, long byNs) {
        network.link(from, to).setExtraDelayNs(byNs);
        network.datagrams(from, to).setExtraDelayNs(byNs);
    }

    @Override
    public void lossy(String from, String to, double share) {
        network.link(from, to).setLoss(share);
        network.datagrams(from, to).setLoss(share);
    }

    @Override
    public void cut(String from, String to, boolean on) {
        network.cut(from, to, on);
        network.datagrams(from, to).cut(on);
    }

    @Override
    public void trouble(String from, String to, DatagramLink.Impairment t, double figure) {
        network.setImpairment(from, to, t, figure);
    }

    @Override
    public void reset(String from, String to) {
        network.reset(network.host(from), network.host(to));
    }

    @Override
    public void vanish(String machine, boolean on) {
        network.setUnreachable(network.host(machine), on);
    }
}
