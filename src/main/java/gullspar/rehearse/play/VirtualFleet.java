package gullspar.rehearse.play;

import gullspar.config.FleetSettings;
import gullspar.peers.net.Membership;
import gullspar.peers.wire.Envelope;
import gullspar.proxy.io.Platform;
import gullspar.proxy.operator.AuxiliaryService;
import gullspar.rehearse.net.DatagramForger;
import gullspar.rehearse.net.FalseRumorInjector;
import gullspar.rehearse.net.Network;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.stage.EventLog;
import gullspar.rehearse.time.Agenda;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * The proxies' view of the fleet on a day in virtual time: where each process is found, which keys it has,
 * and who else speaks to it.
 */
final class VirtualFleet {
    private static final int SEEDS = 3;
    private static final int PORT = 9900;

    private final Script script;
    private final StandIns standIns;
    private final Network network;
    private final Function<String, InetSocketAddress> machines;
    private final VirtualPlay.Peering peering;
    private final Map<String, InetSocketAddress> homes = new HashMap<>();
    private final Map<String, Envelope> keys = new HashMap<>();
    private final Map<String, FalseRumorInjector> liars = new HashMap<>();
    private final DatagramForger forger;
    private int moves;

    /** machines: their addresses; each proxy is found at a port of its own machine at first. */
    VirtualFleet(
            Script script,
            StandIns standIns,
            Network network,
            Function<String, InetSocketAddress> machines,
            VirtualPlay.Peering peering) {
        this.script = script;
        this.standIns = standIns;
        this.network = network;
        this.machines = machines;
        this.peering = peering;
        this.forger = new DatagramForger(script.seed() * 31 + 13);
        network.setForger(forger);
    }

    /** A process begins to take part; who: its name, and which process of that name it is. On its loop. */
    Membership join(String process, String who, Platform platform, Supplier<AuxiliaryService.Load> load) {
        FleetSettings fleet = fleet(process);
        return Membership.join(
                fleet,
                peering.settings().apply(Membership.settings(fleet)),
                keysOf(process),
                Agenda.mix(script.seed() * 31 + 12 + peering.lives().applyAsLong(who)),
                platform,
                load);
    }

    private FleetSettings fleet(String process) {
        Script.Peers p = script.peers();
        String name = EventLog.baseName(process);
        return new FleetSettings(
                name,
                home(process),
                null,
                seeds(),
                null,
                standIns.front().site(name),
                (long) (p.intervalMs() * 1e6),
                (long) (p.windowS() * 1e9),
                0);
    }

    /** Where the first three proxies are found. */
    List<InetSocketAddress> seeds() {
        return standIns.proxies().stream().limit(SEEDS).map(this::home).toList();
    }

    private InetSocketAddress firstHome(String process) {
        return new InetSocketAddress(machines.apply(process).getAddress(), PORT);
    }

    private InetSocketAddress home(String process) {
        return homes.computeIfAbsent(process, this::firstHome);
    }

    /** As {@link FaultInjector#move} says. */
    void move(List<String> ring) {
        if (ring.size() == 1) {
            homes.put(
                    ring.get(0),
                    new InetSocketAddress(machines.apply(ring.get(0)).getAddress(), PORT + ++moves));
            return;
        }
        List<InetSocketAddress> were =
                new ArrayList<>(ring.stream().map(this::home).toList());
        for (int i = 0; i < ring.size(); i++) {
            homes.put(ring.get(i), were.get((i + 1) % were.size()));
        }
    }

    private Envelope keysOf(String process) {
        return keys.computeIfAbsent(process, p -> envelope(List.of(0)));
    }

    /** The keys of those numbers, for a process from now on. */
    Envelope keys(String process, List<Integer> numbers) {
        Envelope e = envelope(numbers);
        keys.put(process, e);
        return e;
    }

    private static Envelope envelope(List<Integer> numbers) {
        return new Envelope(numbers.stream()
                .map(n -> {
                    byte[] key = new byte[Envelope.MIN_KEY_BYTES];
                    Arrays.fill(key, n.byteValue());
                    return key;
                })
                .toList());
    }

    /** As {@link FaultInjector#mad} says. */
    void mad(String process, int forEach) {
        liars.computeIfAbsent(process, p -> {
                    FalseRumorInjector liar =
                            new FalseRumorInjector(() -> keysOf(p), script.seed() * 31 + 14 + StandIns.index(p));
                    standIns.proxies().stream().filter(o -> !o.equals(p)).forEach(o -> network.datagrams(p, o)
                            .falseRumorInjector(liar));
                    return liar;
                })
                .setFalseRumorsPerDatagram(forEach);
    }

    void forge(String process) {
        network.inject(process, forger.next());
    }
}
