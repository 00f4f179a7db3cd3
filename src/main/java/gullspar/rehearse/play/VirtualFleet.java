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
    private static final int SEED_COUNT = 3;
    private static final int PORT = 9900;

    private final Script script;
    private final Testbed testbed;
    private final Network network;
    private final Function<String, InetSocketAddress> machineAddresses;
    private final VirtualPlay.MembershipOptions membershipOptions;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<String, Envelope> envelopes = new HashMap<>();
    private final Map<String, FalseRumorInjector> falseRumorInjectors = new HashMap<>();
    private final DatagramForger forger;
    private int addressChanges;

    /** machineAddresses: of the machines; each proxy is found at a port of its own machine at first. */
    VirtualFleet(
            Script script,
            Testbed testbed,
            Network network,
            Function<String, InetSocketAddress> machineAddresses,
            VirtualPlay.MembershipOptions membershipOptions) {
        this.script = script;
        this.testbed = testbed;
        this.network = network;
        this.machineAddresses = machineAddresses;
        this.membershipOptions = membershipOptions;
        this.forger = new DatagramForger(script.seed() * 31 + 13);
        network.setForger(forger);
    }

    /** A process begins to take part; processName: its name, and which process of that name it is. On its loop. */
    Membership join(String process, String processName, Platform platform, Supplier<AuxiliaryService.Load> load) {
        FleetSettings fleet = fleetSettings(process);
        return Membership.join(
                fleet,
                membershipOptions.settings().apply(Membership.settings(fleet)),
                keysOf(process),
                Agenda.mix(
                        script.seed() * 31 + 12 + membershipOptions.lifeSeed().applyAsLong(processName)),
                platform,
                load);
    }

    private FleetSettings fleetSettings(String process) {
        Script.Peers p = script.peers();
        String name = EventLog.baseName(process);
        return new FleetSettings(
                name,
                address(process),
                null,
                seeds(),
                null,
                testbed.front().site(name),
                (long) (p.intervalMs() * 1e6),
                (long) (p.windowS() * 1e9),
                0);
    }

    /** Where the first three proxies are found. */
    List<InetSocketAddress> seeds() {
        return testbed.proxies().stream().limit(SEED_COUNT).map(this::address).toList();
    }

    private InetSocketAddress initialAddress(String process) {
        return new InetSocketAddress(machineAddresses.apply(process).getAddress(), PORT);
    }

    private InetSocketAddress address(String process) {
        return addresses.computeIfAbsent(process, this::initialAddress);
    }

    /** As {@link FaultInjector#reassignAddresses} says. */
    void reassignAddresses(List<String> ring) {
        if (ring.size() == 1) {
            addresses.put(
                    ring.get(0),
                    new InetSocketAddress(machineAddresses.apply(ring.get(0)).getAddress(), PORT + ++addressChanges));
            return;
        }
        List<InetSocketAddress> previous =
                new ArrayList<>(ring.stream().map(this::address).toList());
        for (int i = 0; i < ring.size(); i++) {
            addresses.put(ring.get(i), previous.get((i + 1) % previous.size()));
        }
    }

    private Envelope keysOf(String process) {
        return envelopes.computeIfAbsent(process, p -> envelope(List.of(0)));
    }

    /** The keys of those numbers, for a process from now on. */
    Envelope setKeys(String process, List<Integer> keyNumbers) {
        Envelope e = envelope(keyNumbers);
        envelopes.put(process, e);
        return e;
    }

    private static Envelope envelope(List<Integer> keyNumbers) {
        return new Envelope(keyNumbers.stream()
                .map(n -> {
                    byte[] key = new byte[Envelope.MIN_KEY_BYTES];
                    Arrays.fill(key, n.byteValue());
                    return key;
                })
                .toList());
    }

    /** As {@link FaultInjector#setFalseRumors} says. */
    void setFalseRumors(String process, int perDatagram) {
        falseRumorInjectors
                .computeIfAbsent(process, p -> {
                    FalseRumorInjector injector =
                            new FalseRumorInjector(() -> keysOf(p), script.seed() * 31 + 14 + Testbed.proxyIndex(p));
                    testbed.proxies().stream().filter(o -> !o.equals(p)).forEach(o -> network.datagrams(p, o)
                            .falseRumorInjector(injector));
                    return injector;
                })
                .setFalseRumorsPerDatagram(perDatagram);
    }

    void sendForgedDatagram(String process) {
        network.inject(process, forger.next());
    }
}
