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

/** Lets the faults of a script happen at their times. */
final class Timeline {
    /** What still fails on a way right after it is whole again: a retransmission. */
    private static final long AFTER_NS = 1_000_000_000L;
    /** What must not make anybody's view wrong, however long it goes on. */
    private static final Set<FaultKind> HARMLESS =
            EnumSet.of(FaultKind.TWIN, FaultKind.FORGED_DATAGRAMS, FaultKind.MAD_MEMBER);

    private final RunEnvironment stage;
    private final Script script;
    private final EventLog eventLog;
    private final NodeFleet fleet;
    private final FrontBalancer front;
    private final LoadGenerator loadGenerator;
    private final MisbehavingClients rude;
    private final FaultInjector faultInjector;
    private final List<String> proxies;
    private final Platform platform;
    private final Set<String> twins = new HashSet<>();
    /** The number of the key that all proxies use, and until when the one before it is being replaced. */
    private int key;

    private long keyUntil;

    Timeline(
            RunEnvironment stage,
            Script script,
            EventLog eventLog,
            NodeFleet fleet,
            FrontBalancer front,
            LoadGenerator loadGenerator,
            MisbehavingClients rude,
            FaultInjector faultInjector,
            List<String> proxies) {
        this.stage = stage;
        this.script = script;
        this.eventLog = eventLog;
        this.fleet = fleet;
        this.front = front;
        this.loadGenerator = loadGenerator;
        this.rude = rude;
        this.faultInjector = faultInjector;
        this.proxies = proxies;
        this.platform = stage.platform("fleet");
    }

    /** The day begins: each fault happens so long from now. */
    void start() {
        List<Fault> faults = script.faults();
        for (int i = 0; i < faults.size(); i++) {
            Fault f = faults.get(i);
            // Who is struck is drawn for each fault by itself: one that is taken out must not change the
            // rest.
            SplittableRandom random = new SplittableRandom(script.seed() * 31
                    + 6
                    + Double.hashCode(f.startS())
                    + f.kind().ordinal() * 1_000_003L);
            after(f.startS(), () -> strike(f, random));
        }
    }

    private void after(double seconds, Runnable what) {
        platform.loop().schedule(what, (long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    }

    private void strike(Fault f, SplittableRandom random) {
        eventLog.addEvent(stage.now(), f.toString());
        switch (f.kind().target()) {
            case NODES -> struck(f, fleet.running(), random).forEach(n -> node(f, n));
            case PROXIES -> {
                List<String> struck = struck(f, proxies, random);
                if (f.kind() == FaultKind.PARTITION) {
                    partition(f, struck);
                } else {
                    together(f, struck);
                    struck.forEach(p -> proxy(f, p));
                }
            }
            case CLASS -> {
                if (f.kind() == FaultKind.LEAVING) {
                    loadGenerator.abandon(f.names().get(0), f.parameter("share"), f.parameter("within_ms"));
                    after(f.durationS(), () -> loadGenerator.abandon(f.names().get(0), 0, 0));
                    break;
                }
                loadGenerator.inflateWork(f.names().get(0), f.parameter("share"), f.parameter("times"));
                after(f.durationS(), () -> loadGenerator.inflateWork(f.names().get(0), 0, 1));
            }
            case LINK -> ways(f);
            case DATAGRAMS -> datagrams(f);
            default -> fleet(f);
        }
        if (f.durationS() > 0) {
            after(f.durationS(), () -> eventLog.addEvent(stage.now(), f.kind().scriptName() + " ends"));
        }
    }

    /** Whom it names, or as many as it says, drawn from those there are. */
    private static List<String> struck(Fault f, List<String> from, SplittableRandom random) {
        if (!f.names().isEmpty()) {
            return f.names();
        }
        List<String> left = new ArrayList<>(from);
        List<String> drawn = new ArrayList<>();
        while (drawn.size() < f.count() && !left.isEmpty()) {
            drawn.add(left.remove(random.nextInt(left.size())));
        }
        return drawn;
    }

    private void node(Fault f, String n) {
        switch (f.kind()) {
            case NEIGHBOUR -> neighbour(f, n, stage.now() + (long) (f.durationS() * 1e9));
            case CRASH -> fleet.crash(n, f.parameter("down_s"));
            case RESTART -> fleet.restart(n, f.parameter("grace_s"), f.parameter("down_s"));
            case REPLACE -> fleet.replace(n, f.parameter("grace_s"), f.parameter("down_s"));
            case DRAIN -> fleet.drain(n, f.parameter("grace_s"));
            case HANG -> during(f, on -> fleet.hang(n, on));
            case SPOIL -> during(f, on -> fleet.spoilResponses(n, on ? f.parameter("share") : 0));
            case SLOW_ANSWERS -> during(f, on -> fleet.trickleResponses(n, on ? f.parameter("bytes_per_s") : 0));
            case VANISH -> during(f, on -> faultInjector.vanish(n, on));
            default -> throw new IllegalStateException(f.kind().scriptName());
        }
    }

    private void during(Fault f, Consumer<Boolean> what) {
        what.accept(true);
        after(f.durationS(), () -> what.accept(false));
    }

    /** On and off until the end. */
    private void neighbour(Fault f, String n, long until) {
        if (stage.now() >= until) {
            return;
        }
        fleet.stealCpu(n, f.parameter("takes"));
        double on = Math.min(f.parameter("on_s"), (until - stage.now()) / 1e9);
        after(on, () -> {
            fleet.stealCpu(n, 0);
            after(Math.max(0.001, f.parameter("off_s")), () -> neighbour(f, n, until));
        });
    }

    private void partition(Fault f, List<String> one) {
        List<String> other = new ArrayList<>(proxies);
        other.removeAll(one);
        eventLog.partitioned(stage.now(), stage.now() + (long) (f.durationS() * 1e9), one);
        unsettled(f, proxies);
        during(
                f,
                on -> one.forEach(a -> other.forEach(b -> {
                    faultInjector.cut(a, b, on);
                    faultInjector.cut(b, a, on);
                })));
    }

    /** What these see of others, and others of them, may be wrong until it is over, and a while longer. */
    private void unsettled(Fault f, List<String> who) {
        long now = stage.now();
        who.forEach(p -> eventLog.unsettled(p, now, now + (long) (f.durationS() * 1e9)));
    }

    /** What strikes several as one. */
    private void together(Fault f, List<String> struck) {
        if (f.kind() == FaultKind.MOVE) {
            struck.forEach(p -> faultInjector.move(List.of(p)));
        } else if (f.kind() == FaultKind.TAKE_OVER) {
            faultInjector.move(struck);
        }
    }

    /** On and off until the end: of each period it runs for that share. */
    private void starved(Fault f, String p, long until) {
        if (stage.now() >= until) {
            return;
        }
        double period = f.parameter("period_ms") / 1e3;
        double stands = Math.min(period * (1 - f.parameter("share")), (until - stage.now()) / 1e9);
        faultInjector.pause(p, true);
        after(stands, () -> {
            faultInjector.pause(p, false);
            after(period - stands, () -> starved(f, p, until));
        });
    }

    /** Evenly spread, so many a second, until the end. */
    private void forged(Fault f, String p, long until) {
        if (stage.now() < until) {
            faultInjector.forge(p);
            after(1 / f.parameter("per_s"), () -> forged(f, p, until));
        }
    }

    /** Both know of it, then not at one time: the view of a name that two have is not wrong for that. */
    private void twin(Fault f, String p) {
        if (!twins.add(p)) {
            return; // it has one
        }
        after(f.durationS(), () -> twins.remove(p));
        during(f, on -> {
            eventLog.unsettled(p, stage.now(), stage.now());
            eventLog.unsettled(p + EventLog.TWIN, stage.now(), stage.now());
            faultInjector.twin(p, on);
        });
    }

    /** Three rounds over all proxies, one proxy after the other. Nobody is to notice. */
    private void newKey(Fault f) {
        if (stage.now() < keyUntil) {
            return; // one is being replaced: no operator begins with the next
        }
        keyUntil = stage.now() + (long) (f.durationS() * 1e9);
        int old = key++;
        List<List<Integer>> steps = List.of(List.of(old, old + 1), List.of(old + 1, old), List.of(old + 1));
        for (int i = 0; i < steps.size() * proxies.size(); i++) {
            List<Integer> keys = steps.get(i / proxies.size());
            String p = proxies.get(i % proxies.size());
            after(f.durationS() * i / (steps.size() * proxies.size()), () -> faultInjector.keys(p, keys));
        }
    }

    private void proxy(Fault f, String p) {
        long now = stage.now();
        long until = now + (long) (f.durationS() * 1e9);
        if (!HARMLESS.contains(f.kind())) {
            unsettled(f, List.of(p));
        }
        switch (f.kind()) {
            case RUSH -> {
                front.surge(p, f.parameter("share"));
                after(f.durationS(), () -> front.surge(null, 0));
            }
            case LATE_LIST -> during(f, on -> fleet.delayDiscovery(p, on ? f.parameter("by_s") : 0));
            case SILENT_LIST -> during(f, on -> fleet.silenceDiscovery(p, on));
            case RUDE_CLIENTS -> during(f, on -> rude.malformedRequests(p, on ? f.parameter("per_s") : 0));
            case SILENT_CLIENTS -> during(f, on -> rude.silentConnections(p, on ? f.parameter("per_s") : 0));
            case KILL, MOVE, TAKE_OVER -> {
                eventLog.addDisruption(p, now, now);
                faultInjector.kill(p, f.parameter("down_s"));
            }
            case STOP -> faultInjector.stop(p, f.parameter("down_s"));
            case RELOAD -> {
                fleet.moveDiscovery(p);
                faultInjector.reload(p);
            }
            case PAUSE -> {
                eventLog.addDisruption(p, now, until);
                during(f, on -> faultInjector.pause(p, on));
            }
            case STARVED -> {
                eventLog.addDisruption(p, now, until);
                starved(f, p, until);
            }
            case TWIN -> twin(f, p);
            case FORGED_DATAGRAMS -> forged(f, p, until);
            case MAD_MEMBER -> during(f, on -> faultInjector.mad(p, on ? (int) f.parameter("for_each") : 0));
            default -> throw new IllegalStateException(f.kind().scriptName());
        }
    }

    // ---- ways ----

    private List<String> machines(String end) {
        return switch (end) {
            case "nodes" -> fleet.machines();
            case "proxies" -> proxies;
            default -> List.of(end);
        };
    }

    private void ways(Fault f) {
        String from = f.names().get(0);
        String to = f.names().get(1);
        long now = stage.now();
        if (proxies.containsAll(machines(from)) && proxies.containsAll(machines(to))) {
            unsettled(f, machines(from));
            unsettled(f, machines(to));
            if (f.kind() == FaultKind.CUT_LINK && from.equals("proxies")) {
                machines(to).forEach(p -> eventLog.isolated(p, now, now + (long) (f.durationS() * 1e9)));
            }
        }
        excuse(from, to, now, now + (long) (f.durationS() * 1e9) + AFTER_NS);
        excuse(to, from, now, now + (long) (f.durationS() * 1e9) + AFTER_NS);
        switch (f.kind()) {
            case SLOW_LINK -> during(
                    f,
                    on -> each(
                            from,
                            to,
                            (a, b) -> faultInjector.slower(a, b, on ? (long) (f.parameter("adds_ms") * 1e6) : 0)));
            case LOSSY_LINK -> during(
                    f, on -> each(from, to, (a, b) -> faultInjector.lossy(a, b, on ? f.parameter("share") : 0)));
            case CUT_LINK -> during(f, on -> each(from, to, (a, b) -> faultInjector.cut(a, b, on)));
            case RESET_LINK -> each(from, to, faultInjector::reset);
            default -> throw new IllegalStateException(f.kind().scriptName());
        }
    }

    private void datagrams(Fault f) {
        String from = f.names().get(0);
        String to = f.names().get(1);
        unsettled(f, machines(from));
        unsettled(f, machines(to));
        DatagramLink.Impairment t =
                switch (f.kind()) {
                    case JITTERY_LINK -> DatagramLink.Impairment.JITTER;
                    case DOUBLED_LINK -> DatagramLink.Impairment.TWICE;
                    case TORN_LINK -> DatagramLink.Impairment.TORN;
                    case FLIPPED_LINK -> DatagramLink.Impairment.FLIPPED;
                    default -> DatagramLink.Impairment.STALLED;
                };
        double figure = f.kind() == FaultKind.JITTERY_LINK
                ? f.parameter("adds_ms") * 1e6
                : f.kind() == FaultKind.STALLED_LINK ? 1 : f.parameter("share");
        during(
                f,
                on -> each(from, to, (a, b) -> {
                    if (!a.equals(b)) {
                        faultInjector.trouble(a, b, t, on ? figure : 0);
                    }
                }));
    }

    /** What a client does not get over a way that is not sound is not the proxy's fault. */
    private void excuse(String from, String to, long since, long until) {
        if (from.equals("clients")) {
            machines(to).forEach(p -> eventLog.addDisruption(p, since, until));
        }
    }

    private void each(String from, String to, BiConsumer<String, String> what) {
        for (String a : machines(from)) {
            for (String b : machines(to)) {
                what.accept(a, b);
            }
        }
    }

    // ---- the fleet as a whole ----

    private void fleet(Fault f) {
        switch (f.kind()) {
            case DISCOVERY_DOWN -> during(f, fleet::discoveryDown);
            case OLD_LIST -> during(f, fleet::freezeDiscovery);
            case NEW_KEY -> newKey(f);
            case SHRINK -> {
                List<String> running = fleet.running();
                int leave = (int) Math.round(running.size() * (1 - f.parameter("to")));
                SplittableRandom random = new SplittableRandom(script.seed() * 31 + 7);
                List<String> left = new ArrayList<>(running);
                for (int i = 0; i < leave; i++) {
                    String n = left.remove(random.nextInt(left.size()));
                    after(f.durationS() * i / Math.max(1, leave), () -> fleet.drain(n, 1));
                }
                int steps = 10;
                for (int i = 1; i <= steps; i++) {
                    double factor = 1 + (f.parameter("traffic") - 1) * i / steps;
                    after(f.durationS() * i / steps, () -> loadGenerator.trafficFactor(factor));
                }
            }
            default -> throw new IllegalStateException(f.kind().scriptName());
        }
    }
}
