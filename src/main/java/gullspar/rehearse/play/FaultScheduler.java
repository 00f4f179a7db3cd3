package gullspar.rehearse.play;

import gullspar.proxy.io.Platform;
import gullspar.rehearse.net.DatagramLink;
import gullspar.rehearse.script.Fault;
import gullspar.rehearse.script.FaultKind;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.stage.EventLog;
import gullspar.rehearse.stage.FrontBalancer;
import gullspar.rehearse.stage.LoadGenerator;
import gullspar.rehearse.stage.MisbehavingClients;
import gullspar.rehearse.stage.NodeFleet;
import gullspar.rehearse.stage.RunEnvironment;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Schedules the faults of a script, and records the intervals in which failed requests or wrong views are due to a
 * fault, so that the judge does not count them as violations.
 */
final class FaultScheduler {
    /** Requests may still fail this long after a link is restored, until lost segments are retransmitted. */
    private static final long LINK_RECOVERY_NS = 1_000_000_000L;
    /** Faults during which every view of the fleet must stay correct, however long they last. */
    private static final Set<FaultKind> VIEW_NEUTRAL_FAULTS =
            EnumSet.of(FaultKind.TWIN, FaultKind.FORGED_DATAGRAMS, FaultKind.MAD_MEMBER);

    private final RunEnvironment environment;
    private final Script script;
    private final EventLog eventLog;
    private final NodeFleet fleet;
    private final FrontBalancer front;
    private final LoadGenerator loadGenerator;
    private final MisbehavingClients misbehavingClients;
    private final FaultInjector faultInjector;
    private final List<String> proxies;
    private final Platform platform;
    private final Set<String> twins = new HashSet<>();
    /** The number of the current key; until keyChangeUntil the proxies are being changed over to it. */
    private int keyNumber;

    private long keyChangeUntil;

    FaultScheduler(
            RunEnvironment environment,
            Script script,
            EventLog eventLog,
            NodeFleet fleet,
            FrontBalancer front,
            LoadGenerator loadGenerator,
            MisbehavingClients misbehavingClients,
            FaultInjector faultInjector,
            List<String> proxies) {
        this.environment = environment;
        this.script = script;
        this.eventLog = eventLog;
        this.fleet = fleet;
        this.front = front;
        this.loadGenerator = loadGenerator;
        this.misbehavingClients = misbehavingClients;
        this.faultInjector = faultInjector;
        this.proxies = proxies;
        this.platform = environment.platform("fleet");
    }

    /** Schedules all faults, relative to the current time as the start of the day. */
    void start() {
        List<Fault> faults = script.faults();
        for (int i = 0; i < faults.size(); i++) {
            Fault fault = faults.get(i);
            // Each fault draws its targets from its own generator: removing a fault from the script must not
            // change the targets of the others.
            SplittableRandom random = new SplittableRandom(script.seed() * 31
                    + 6
                    + Double.hashCode(fault.startS())
                    + fault.kind().ordinal() * 1_000_003L);
            schedule(fault.startS(), () -> apply(fault, random));
        }
    }

    private void schedule(double seconds, Runnable action) {
        platform.loop().schedule(action, (long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    }

    private void apply(Fault fault, SplittableRandom random) {
        eventLog.addEvent(environment.now(), fault.toString());
        switch (fault.kind().target()) {
            case NODES -> targets(fault, fleet.running(), random).forEach(n -> applyToNode(fault, n));
            case PROXIES -> {
                List<String> targets = targets(fault, proxies, random);
                if (fault.kind() == FaultKind.PARTITION) {
                    partition(fault, targets);
                } else {
                    reassignAddresses(fault, targets);
                    targets.forEach(p -> applyToProxy(fault, p));
                }
            }
            case CLASS -> {
                if (fault.kind() == FaultKind.LEAVING) {
                    loadGenerator.setAbandonment(
                            fault.names().get(0), fault.parameter("share"), fault.parameter("within_ms"));
                    schedule(
                            fault.durationS(),
                            () -> loadGenerator.setAbandonment(fault.names().get(0), 0, 0));
                    break;
                }
                loadGenerator.setWorkInflation(
                        fault.names().get(0), fault.parameter("share"), fault.parameter("times"));
                schedule(
                        fault.durationS(),
                        () -> loadGenerator.setWorkInflation(fault.names().get(0), 0, 1));
            }
            case LINK -> applyToLink(fault);
            case DATAGRAMS -> applyToDatagrams(fault);
            default -> applyToFleet(fault);
        }
        if (fault.durationS() > 0) {
            schedule(
                    fault.durationS(),
                    () -> eventLog.addEvent(environment.now(), fault.kind().scriptName() + " ends"));
        }
    }

    /** Returns the targets that the fault names, or else draws the given number from the candidates. */
    private static List<String> targets(Fault fault, List<String> candidates, SplittableRandom random) {
        if (!fault.names().isEmpty()) {
            return fault.names();
        }
        List<String> remaining = new ArrayList<>(candidates);
        List<String> drawn = new ArrayList<>();
        while (drawn.size() < fault.count() && !remaining.isEmpty()) {
            drawn.add(remaining.remove(random.nextInt(remaining.size())));
        }
        return drawn;
    }

    private void applyToNode(Fault fault, String node) {
        switch (fault.kind()) {
            case NEIGHBOUR -> runNeighbour(fault, node, environment.now() + (long) (fault.durationS() * 1e9));
            case CRASH -> fleet.crash(node, fault.parameter("down_s"));
            case RESTART -> fleet.restart(node, fault.parameter("grace_s"), fault.parameter("down_s"));
            case REPLACE -> fleet.replace(node, fault.parameter("grace_s"), fault.parameter("down_s"));
            case DRAIN -> fleet.drain(node, fault.parameter("grace_s"));
            case HANG -> applyFor(fault, on -> fleet.setHung(node, on));
            case SPOIL -> applyFor(fault, on -> fleet.setSpoiltShare(node, on ? fault.parameter("share") : 0));
            case SLOW_ANSWERS -> applyFor(
                    fault, on -> fleet.setTrickleRate(node, on ? fault.parameter("bytes_per_s") : 0));
            case VANISH -> applyFor(fault, on -> faultInjector.setUnreachable(node, on));
            default -> throw new IllegalStateException(fault.kind().scriptName());
        }
    }

    /** Runs the action with true now, and with false at the end of the fault. */
    private void applyFor(Fault fault, Consumer<Boolean> action) {
        action.accept(true);
        schedule(fault.durationS(), () -> action.accept(false));
    }

    /** Takes processor time on a node, on and off, until the given time. */
    private void runNeighbour(Fault fault, String node, long until) {
        if (environment.now() >= until) {
            return;
        }
        fleet.stealCpu(node, fault.parameter("takes"));
        double onS = Math.min(fault.parameter("on_s"), (until - environment.now()) / 1e9);
        schedule(onS, () -> {
            fleet.stealCpu(node, 0);
            schedule(Math.max(0.001, fault.parameter("off_s")), () -> runNeighbour(fault, node, until));
        });
    }

    private void partition(Fault fault, List<String> group) {
        List<String> others = new ArrayList<>(proxies);
        others.removeAll(group);
        eventLog.addPartition(environment.now(), environment.now() + (long) (fault.durationS() * 1e9), group);
        markUnsettled(fault, proxies);
        applyFor(
                fault,
                on -> group.forEach(a -> others.forEach(b -> {
                    faultInjector.cut(a, b, on);
                    faultInjector.cut(b, a, on);
                })));
    }

    /** Records that these proxies' views, and others' views of them, may be wrong until some time after the fault. */
    private void markUnsettled(Fault fault, List<String> affected) {
        long now = environment.now();
        affected.forEach(p -> eventLog.addUnsettledInterval(p, now, now + (long) (fault.durationS() * 1e9)));
    }

    /** Changes the addresses of all targets of a move or take-over together, before they are killed. */
    private void reassignAddresses(Fault fault, List<String> targets) {
        if (fault.kind() == FaultKind.MOVE) {
            targets.forEach(p -> faultInjector.reassignAddresses(List.of(p)));
        } else if (fault.kind() == FaultKind.TAKE_OVER) {
            faultInjector.reassignAddresses(targets);
        }
    }

    /** Until the given time, lets a proxy run for its share of each period and pauses it for the rest. */
    private void starve(Fault fault, String proxy, long until) {
        if (environment.now() >= until) {
            return;
        }
        double periodS = fault.parameter("period_ms") / 1e3;
        double pausedS = Math.min(periodS * (1 - fault.parameter("share")), (until - environment.now()) / 1e9);
        faultInjector.setPaused(proxy, true);
        schedule(pausedS, () -> {
            faultInjector.setPaused(proxy, false);
            schedule(periodS - pausedS, () -> starve(fault, proxy, until));
        });
    }

    /** Sends per_s datagrams a second, evenly spaced, until the given time. */
    private void sendForgedDatagrams(Fault fault, String proxy, long until) {
        if (environment.now() < until) {
            faultInjector.sendForgedDatagram(proxy);
            schedule(1 / fault.parameter("per_s"), () -> sendForgedDatagrams(fault, proxy, until));
        }
    }

    /**
     * Runs a second process under the proxy's name. Both count as unsettled only at the moments when the twin starts
     * and ends, not while both run: two processes under one name do not make the view of that name wrong.
     */
    private void runTwin(Fault fault, String proxy) {
        if (!twins.add(proxy)) {
            return; // it already has a twin
        }
        schedule(fault.durationS(), () -> twins.remove(proxy));
        applyFor(fault, on -> {
            eventLog.addUnsettledInterval(proxy, environment.now(), environment.now());
            eventLog.addUnsettledInterval(proxy + EventLog.TWIN, environment.now(), environment.now());
            faultInjector.setTwinRunning(proxy, on);
        });
    }

    /**
     * Replaces the fleet's key in three rounds over all proxies, one proxy after the other: the new key is accepted,
     * then used, then the old one is removed. Communication must not be disturbed at any step.
     */
    private void replaceKey(Fault fault) {
        if (environment.now() < keyChangeUntil) {
            return; // a key change is in progress, and operators do not start another meanwhile
        }
        keyChangeUntil = environment.now() + (long) (fault.durationS() * 1e9);
        int oldKey = keyNumber++;
        List<List<Integer>> steps =
                List.of(List.of(oldKey, oldKey + 1), List.of(oldKey + 1, oldKey), List.of(oldKey + 1));
        for (int i = 0; i < steps.size() * proxies.size(); i++) {
            List<Integer> keys = steps.get(i / proxies.size());
            String p = proxies.get(i % proxies.size());
            schedule(fault.durationS() * i / (steps.size() * proxies.size()), () -> faultInjector.setKeys(p, keys));
        }
    }

    private void applyToProxy(Fault fault, String proxy) {
        long now = environment.now();
        long until = now + (long) (fault.durationS() * 1e9);
        if (!VIEW_NEUTRAL_FAULTS.contains(fault.kind())) {
            markUnsettled(fault, List.of(proxy));
        }
        switch (fault.kind()) {
            case RUSH -> {
                front.setSurge(proxy, fault.parameter("share"));
                schedule(fault.durationS(), () -> front.setSurge(null, 0));
            }
            case LATE_LIST -> applyFor(fault, on -> fleet.setDiscoveryDelay(proxy, on ? fault.parameter("by_s") : 0));
            case SILENT_LIST -> applyFor(fault, on -> fleet.setDiscoverySilenced(proxy, on));
            case RUDE_CLIENTS -> applyFor(
                    fault, on -> misbehavingClients.setMalformedRequestRate(proxy, on ? fault.parameter("per_s") : 0));
            case SILENT_CLIENTS -> applyFor(
                    fault, on -> misbehavingClients.setSilentConnectionRate(proxy, on ? fault.parameter("per_s") : 0));
            case KILL, MOVE, TAKE_OVER -> {
                eventLog.addDisruption(proxy, now, now);
                faultInjector.kill(proxy, fault.parameter("down_s"));
            }
            case STOP -> faultInjector.stop(proxy, fault.parameter("down_s"));
            case RELOAD -> {
                fleet.moveDiscovery(proxy);
                faultInjector.reload(proxy);
            }
            case PAUSE -> {
                eventLog.addDisruption(proxy, now, until);
                applyFor(fault, on -> faultInjector.setPaused(proxy, on));
            }
            case STARVED -> {
                eventLog.addDisruption(proxy, now, until);
                starve(fault, proxy, until);
            }
            case TWIN -> runTwin(fault, proxy);
            case FORGED_DATAGRAMS -> sendForgedDatagrams(fault, proxy, until);
            case MAD_MEMBER -> applyFor(
                    fault, on -> faultInjector.setFalseRumors(proxy, on ? (int) fault.parameter("for_each") : 0));
            default -> throw new IllegalStateException(fault.kind().scriptName());
        }
    }

    // ---- links ----

    private List<String> machines(String endpoint) {
        return switch (endpoint) {
            case "nodes" -> fleet.machines();
            case "proxies" -> proxies;
            default -> List.of(endpoint);
        };
    }

    private void applyToLink(Fault fault) {
        String from = fault.names().get(0);
        String to = fault.names().get(1);
        long now = environment.now();
        if (proxies.containsAll(machines(from)) && proxies.containsAll(machines(to))) {
            markUnsettled(fault, machines(from));
            markUnsettled(fault, machines(to));
            if (fault.kind() == FaultKind.CUT_LINK && from.equals("proxies")) {
                machines(to).forEach(p -> eventLog.addIsolation(p, now, now + (long) (fault.durationS() * 1e9)));
            }
        }
        recordClientDisruption(from, to, now, now + (long) (fault.durationS() * 1e9) + LINK_RECOVERY_NS);
        recordClientDisruption(to, from, now, now + (long) (fault.durationS() * 1e9) + LINK_RECOVERY_NS);
        switch (fault.kind()) {
            case SLOW_LINK -> applyFor(
                    fault,
                    on -> forEachLink(
                            from,
                            to,
                            (a, b) -> faultInjector.setExtraDelay(
                                    a, b, on ? (long) (fault.parameter("adds_ms") * 1e6) : 0)));
            case LOSSY_LINK -> applyFor(
                    fault,
                    on -> forEachLink(
                            from, to, (a, b) -> faultInjector.setLoss(a, b, on ? fault.parameter("share") : 0)));
            case CUT_LINK -> applyFor(fault, on -> forEachLink(from, to, (a, b) -> faultInjector.cut(a, b, on)));
            case RESET_LINK -> forEachLink(from, to, faultInjector::resetConnections);
            default -> throw new IllegalStateException(fault.kind().scriptName());
        }
    }

    private void applyToDatagrams(Fault fault) {
        String from = fault.names().get(0);
        String to = fault.names().get(1);
        markUnsettled(fault, machines(from));
        markUnsettled(fault, machines(to));
        DatagramLink.Impairment impairment =
                switch (fault.kind()) {
                    case JITTERY_LINK -> DatagramLink.Impairment.JITTER;
                    case DOUBLED_LINK -> DatagramLink.Impairment.TWICE;
                    case TORN_LINK -> DatagramLink.Impairment.TORN;
                    case FLIPPED_LINK -> DatagramLink.Impairment.FLIPPED;
                    default -> DatagramLink.Impairment.STALLED;
                };
        double value = fault.kind() == FaultKind.JITTERY_LINK
                ? fault.parameter("adds_ms") * 1e6
                : fault.kind() == FaultKind.STALLED_LINK ? 1 : fault.parameter("share");
        applyFor(
                fault,
                on -> forEachLink(from, to, (a, b) -> {
                    if (!a.equals(b)) {
                        faultInjector.setImpairment(a, b, impairment, on ? value : 0);
                    }
                }));
    }

    /** Records a disruption for links to or from clients: responses lost there are not the proxy's fault. */
    private void recordClientDisruption(String from, String to, long since, long until) {
        if (from.equals("clients")) {
            machines(to).forEach(p -> eventLog.addDisruption(p, since, until));
        }
    }

    private void forEachLink(String from, String to, BiConsumer<String, String> action) {
        for (String a : machines(from)) {
            for (String b : machines(to)) {
                action.accept(a, b);
            }
        }
    }

    // ---- the fleet as a whole ----

    private void applyToFleet(Fault fault) {
        switch (fault.kind()) {
            case DISCOVERY_DOWN -> applyFor(fault, fleet::setDiscoveryDown);
            case OLD_LIST -> applyFor(fault, fleet::setDiscoveryFrozen);
            case NEW_KEY -> replaceKey(fault);
            case SHRINK -> {
                List<String> running = fleet.running();
                int drainCount = (int) Math.round(running.size() * (1 - fault.parameter("to")));
                SplittableRandom random = new SplittableRandom(script.seed() * 31 + 7);
                List<String> remaining = new ArrayList<>(running);
                for (int i = 0; i < drainCount; i++) {
                    String n = remaining.remove(random.nextInt(remaining.size()));
                    schedule(fault.durationS() * i / Math.max(1, drainCount), () -> fleet.drain(n, 1));
                }
                int steps = 10;
                for (int i = 1; i <= steps; i++) {
                    double factor = 1 + (fault.parameter("traffic") - 1) * i / steps;
                    schedule(fault.durationS() * i / steps, () -> loadGenerator.setTrafficFactor(factor));
                }
            }
            default -> throw new IllegalStateException(fault.kind().scriptName());
        }
    }
}
