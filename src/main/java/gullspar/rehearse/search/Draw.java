package gullspar.rehearse.search;

import gullspar.rehearse.script.Fault;
import gullspar.rehearse.script.FaultKind;
import gullspar.rehearse.script.FaultKind.Parameter;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.time.Agenda;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Draws the faults of a day at random, within what the script allows. */
final class Draw {
    /** Figures are drawn from the usual value's fraction of this to its multiple, within their bounds. */
    private static final double SPREAD = 4;
    /** The longest that a fault lasts, in s, and the part of the day in which faults begin. */
    private static final double LONGEST_S = 8, BEGIN_IN = 0.8;

    private Draw() {}

    /** The script's day of that number: its seed and its faults are drawn anew, all else stays. */
    static Script day(Script s, int number) {
        SplittableRandom r = new SplittableRandom(Agenda.mix(s.seed() * 31 + 10) + number);
        List<Fault> faults = new ArrayList<>();
        int count = 1 + r.nextInt(s.search().maxFaults());
        for (int i = 0; i < count; i++) {
            faults.add(
                    fault(s, s.search().kinds().get(r.nextInt(s.search().kinds().size())), r));
        }
        faults.sort(Comparator.comparingDouble(Fault::startS));
        return s.with((long) number).with(faults);
    }

    private static double tenth(double d) {
        return Math.rint(d * 10) / 10;
    }

    private static Fault fault(Script s, FaultKind kind, SplittableRandom r) {
        // A day that is all calm was cut down by a search: it has faults of its own.
        double end =
                s.seconds() > s.search().faultFreeS() ? s.seconds() - s.search().faultFreeS() : s.seconds();
        double at = tenth(r.nextDouble() * end * BEGIN_IN);
        double left = Math.min(LONGEST_S, end - at);
        double lasts =
                kind.isMomentary() ? 0 : Math.max(0.1, Math.floor(10 * left * (0.05 + 0.95 * r.nextDouble())) / 10);
        Map<String, Double> figures = new LinkedHashMap<>();
        for (Parameter f : kind.parameters()) {
            double spread = StrictMath.pow(SPREAD, 2 * r.nextDouble() - 1);
            double value = Math.max(f.min(), Math.min(f.max(), f.defaultValue() * spread));
            figures.put(f.name(), Math.max(f.min(), Math.min(f.max(), Math.rint(value * 1000) / 1000)));
        }
        return switch (kind.target()) {
            case NODES -> new Fault(kind, at, lasts, 1 + r.nextInt(Math.max(1, s.nodeCount() / 2)), List.of(), figures);
            case PROXIES -> new Fault(
                    kind,
                    at,
                    lasts,
                    Math.max(kind.minTargets(), 1 + r.nextInt(s.proxies().count())),
                    List.of(),
                    figures);
            case CLASS -> new Fault(
                    kind,
                    at,
                    lasts,
                    1,
                    List.of(s.classes().get(r.nextInt(s.classes().size())).name()),
                    figures);
            case LINK -> new Fault(kind, at, lasts, 1, ends(s, r), figures);
            case DATAGRAMS -> new Fault(kind, at, lasts, 1, List.of(proxies(s, r), proxies(s, r)), figures);
            default -> new Fault(kind, at, lasts, 0, List.of(), figures);
        };
    }

    private static String proxies(Script s, SplittableRandom r) {
        return r.nextInt(3) == 0 ? "proxies" : "p" + (1 + r.nextInt(s.proxies().count()));
    }

    /** Proxies to nodes or back, or one of them to one, or the clients' way to the proxies. */
    private static List<String> ends(Script s, SplittableRandom r) {
        String proxy =
                r.nextBoolean() ? "proxies" : "p" + (1 + r.nextInt(s.proxies().count()));
        if (s.peers() != null && r.nextBoolean()) {
            return List.of(proxy, proxies(s, r));
        }
        String other =
                switch (r.nextInt(4)) {
                    case 0 -> "clients";
                    case 1 -> "discovery";
                    case 2 -> "nodes";
                    default -> "n" + (1 + r.nextInt(s.nodeCount()));
                };
        return r.nextBoolean() ? List.of(proxy, other) : List.of(other, proxy);
    }
}
