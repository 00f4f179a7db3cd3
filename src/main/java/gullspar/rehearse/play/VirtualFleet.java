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
import gullspar.rehearse.time.EventQueue;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Fleet membership of the proxies on a day in virtual time: the address and the keys of each process, and the sources
 * of false rumors and forged datagrams.
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

    /** machineAddresses: the address of each machine; initially each proxy uses a port of its own machine. */
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

    /** Joins a process to the fleet; called on its loop. processName: its name and number among those of that name. */
    Membership join(String process, String processName, Platform platform, Supplier<AuxiliaryService.Load> load) {
        FleetSettings fleet = fleetSettings(process);
        return Membership.join(
                fleet,
                membershipOptions.settings().apply(Membership.settings(fleet)),
                keysOf(process),
                EventQueue.mix(
                        script.seed() * 31 + 12 + membershipOptions.lifeSeed().applyAsLong(processName)),
                platform,
                load);
    }

    private FleetSettings fleetSettings(String process) {
        Script.Peers peers = script.peers();
        String name = EventLog.baseName(process);
        return new FleetSettings(
                name,
                address(process),
                null,
                seeds(),
                null,
                testbed.front().site(name),
                (long) (peers.intervalMs() * 1e6),
                (long) (peers.windowS() * 1e9),
                0);
    }

    /** The current addresses of the first three proxies. */
    List<InetSocketAddress> seeds() {
        return testbed.proxies().stream().limit(SEED_COUNT).map(this::address).toList();
    }

    private InetSocketAddress initialAddress(String process) {
        return new InetSocketAddress(machineAddresses.apply(process).getAddress(), PORT);
    }

    private InetSocketAddress address(String process) {
        return addresses.computeIfAbsent(process, this::initialAddress);
    }

    /** See {@link FaultInjector#reassignAddresses}. */
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

    /** Sets the keys of a process, by number, and returns an envelope with them. */
    Envelope setKeys(String process, List<Integer> keyNumbers) {
        Envelope envelope = envelope(keyNumbers);
        envelopes.put(process, envelope);
        return envelope;
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

    /** See {@link FaultInjector#setFalseRumors}. */
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
