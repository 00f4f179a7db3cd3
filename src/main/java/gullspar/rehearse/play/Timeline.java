package gullspar.rehearse.play;

import gullspar.proxy.io.Platform;
import gullspar.rehearse.net.Datagrams;
import gullspar.rehearse.script.Fault;
import gullspar.rehearse.script.FaultKind;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.stage.Chronicle;
import gullspar.rehearse.stage.Crowd;
import gullspar.rehearse.stage.Fleet;
import gullspar.rehearse.stage.Front;
import gullspar.rehearse.stage.RudeClients;
import gullspar.rehearse.stage.Stage;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Lets the faults of a script happen at their times. */
final class Timeline {
    /** What still fails on a way right after it is whole again: a retransmission. */
    private static final long AFTER_NS = 1_000_000_000L;

    private final Stage stage;
    private final Script script;
    private final Chronicle chronicle;
    private final Fleet fleet;
    private final Front front;
    private final Crowd crowd;
    private final RudeClients rude;
    private final Strikes strikes;
    private final List<String> proxies;
    private final Platform platform;

    Timeline(Stage stage, Script script, Chronicle chronicle, Fleet fleet, Front front, Crowd crowd,
            RudeClients rude, Strikes strikes, List<String> proxies) {
        this.stage = stage;
        this.script = script;
        this.chronicle = chronicle;
        this.fleet = fleet;
        this.front = front;
        this.crowd = crowd;
        this.rude = rude;
        this.strikes = strikes;
        this.proxies = proxies;
        this.platform = stage.at("fleet");
    }

    /** The day begins: each fault happens so long from now. */
    void start() {
        List<Fault> faults = script.faults();
        for (int i = 0; i < faults.size(); i++) {
            Fault f = faults.get(i);
            // Who is struck is drawn for each fault by itself: one that is taken out must not change the
            // rest.
            SplittableRandom random = new SplittableRandom(script.seed() * 31 + 6 + Double.hashCode(f.at())
                    + f.kind().ordinal() * 1_000_003L);
            after(f.at(), () -> strike(f, random));
        }
    }

    private void after(double seconds, Runnable what) {
        platform.loop().schedule(what, (long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    }

    private void strike(Fault f, SplittableRandom random) {
        chronicle.happened(stage.now(), f.toString());
        switch (f.kind().strikes()) {
            case NODES -> struck(f, fleet.running(), random).forEach(n -> node(f, n));
            case PROXIES -> {
                List<String> struck = struck(f, proxies, random);
                if (f.kind() == FaultKind.PARTITION) {
                    partition(f, struck);
                } else {
                    struck.forEach(p -> proxy(f, p));
                }
            }
            case CLASS -> {
                crowd.heavy(f.names().get(0), f.figure("share"), f.figure("times"));
                after(f.lasts(), () -> crowd.heavy(f.names().get(0), 0, 1));
            }
            case LINK -> ways(f);
            case DATAGRAMS -> datagrams(f);
            default -> fleet(f);
        }
        if (f.lasts() > 0) {
            after(f.lasts(), () -> chronicle.happened(stage.now(), f.kind().named() + " ends"));
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
            case NEIGHBOUR -> neighbour(f, n, stage.now() + (long) (f.lasts() * 1e9));
            case CRASH -> fleet.crash(n, f.figure("down_s"));
            case RESTART -> fleet.restart(n, f.figure("grace_s"), f.figure("down_s"));
            case REPLACE -> fleet.replace(n, f.figure("grace_s"), f.figure("down_s"));
            case DRAIN -> fleet.drain(n, f.figure("grace_s"));
            case HANG -> during(f, on -> fleet.hang(n, on));
            case SPOIL -> during(f, on -> fleet.spoil(n, on ? f.figure("share") : 0));
            case SLOW_ANSWERS -> during(f, on -> fleet.trickle(n, on ? f.figure("bytes_per_s") : 0));
            case VANISH -> during(f, on -> strikes.vanish(n, on));
            default -> throw new IllegalStateException(f.kind().named());
        }
    }

    private void during(Fault f, Consumer<Boolean> what) {
        what.accept(true);
        after(f.lasts(), () -> what.accept(false));
    }

    /** On and off until the end. */
    private void neighbour(Fault f, String n, long until) {
        if (stage.now() >= until) {
            return;
        }
        fleet.neighbour(n, f.figure("takes"));
        double on = Math.min(f.figure("on_s"), (until - stage.now()) / 1e9);
        after(on, () -> {
            fleet.neighbour(n, 0);
            after(Math.max(0.001, f.figure("off_s")), () -> neighbour(f, n, until));
        });
    }

    private void partition(Fault f, List<String> one) {
        List<String> other = new ArrayList<>(proxies);
        other.removeAll(one);
        chronicle.parted(stage.now(), stage.now() + (long) (f.lasts() * 1e9), one);
        unsettled(f, proxies);
        during(f, on -> one.forEach(a -> other.forEach(b -> {
            strikes.cut(a, b, on);
            strikes.cut(b, a, on);
        })));
    }

    /** What these see of others, and others of them, may be wrong until it is over, and a while longer. */
    private void unsettled(Fault f, List<String> who) {
        long now = stage.now();
        who.forEach(p -> chronicle.unsettled(p, now, now + (long) (f.lasts() * 1e9)));
    }

    private void proxy(Fault f, String p) {
        long now = stage.now();
        unsettled(f, List.of(p));
        switch (f.kind()) {
            case RUSH -> {
                front.rush(p, f.figure("share"));
                after(f.lasts(), () -> front.rush(null, 0));
            }
            case LATE_LIST -> during(f, on -> fleet.late(p, on ? f.figure("by_s") : 0));
            case SILENT_LIST -> during(f, on -> fleet.silent(p, on));
            case RUDE_CLIENTS -> during(f, on -> rude.rude(p, on ? f.figure("per_s") : 0));
            case SILENT_CLIENTS -> during(f, on -> rude.silent(p, on ? f.figure("per_s") : 0));
            case KILL -> {
                chronicle.excuse(p, now, now);
                strikes.kill(p, f.figure("down_s"));
            }
            case STOP -> strikes.stop(p, f.figure("down_s"));
            case RELOAD -> {
                fleet.move(p);
                strikes.reload(p);
            }
            case PAUSE -> {
                chronicle.excuse(p, now, now + (long) (f.lasts() * 1e9));
                during(f, on -> strikes.pause(p, on));
            }
            default -> throw new IllegalStateException(f.kind().named());
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
                machines(to).forEach(p -> chronicle.deaf(p, now, now + (long) (f.lasts() * 1e9)));
            }
        }
        excuse(from, to, now, now + (long) (f.lasts() * 1e9) + AFTER_NS);
        excuse(to, from, now, now + (long) (f.lasts() * 1e9) + AFTER_NS);
        switch (f.kind()) {
            case SLOW_LINK -> during(f, on -> each(from, to,
                    (a, b) -> strikes.slower(a, b, on ? (long) (f.figure("adds_ms") * 1e6) : 0)));
            case LOSSY_LINK -> during(f, on -> each(from, to,
                    (a, b) -> strikes.lossy(a, b, on ? f.figure("share") : 0)));
            case CUT_LINK -> during(f, on -> each(from, to, (a, b) -> strikes.cut(a, b, on)));
            case RESET_LINK -> each(from, to, strikes::reset);
            default -> throw new IllegalStateException(f.kind().named());
        }
    }

    private void datagrams(Fault f) {
        String from = f.names().get(0);
        String to = f.names().get(1);
        unsettled(f, machines(from));
        unsettled(f, machines(to));
        Datagrams.Trouble t = switch (f.kind()) {
            case JITTERY_LINK -> Datagrams.Trouble.JITTER;
            case DOUBLED_LINK -> Datagrams.Trouble.TWICE;
            case TORN_LINK -> Datagrams.Trouble.TORN;
            case FLIPPED_LINK -> Datagrams.Trouble.FLIPPED;
            default -> Datagrams.Trouble.STALLED;
        };
        double figure = f.kind() == FaultKind.JITTERY_LINK ? f.figure("adds_ms") * 1e6
                : f.kind() == FaultKind.STALLED_LINK ? 1 : f.figure("share");
        during(f, on -> each(from, to, (a, b) -> {
            if (!a.equals(b)) {
                strikes.trouble(a, b, t, on ? figure : 0);
            }
        }));
    }

    /** What a client does not get over a way that is not sound is not the proxy's fault. */
    private void excuse(String from, String to, long since, long until) {
        if (from.equals("clients")) {
            machines(to).forEach(p -> chronicle.excuse(p, since, until));
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
            case DISCOVERY_DOWN -> during(f, fleet::down);
            case OLD_LIST -> during(f, fleet::freeze);
            case SHRINK -> {
                List<String> running = fleet.running();
                int leave = (int) Math.round(running.size() * (1 - f.figure("to")));
                SplittableRandom random = new SplittableRandom(script.seed() * 31 + 7);
                List<String> left = new ArrayList<>(running);
                for (int i = 0; i < leave; i++) {
                    String n = left.remove(random.nextInt(left.size()));
                    after(f.lasts() * i / Math.max(1, leave), () -> fleet.drain(n, 1));
                }
                int steps = 10;
                for (int i = 1; i <= steps; i++) {
                    double factor = 1 + (f.figure("traffic") - 1) * i / steps;
                    after(f.lasts() * i / steps, () -> crowd.traffic(factor));
                }
            }
            default -> throw new IllegalStateException(f.kind().named());
        }
    }
}
