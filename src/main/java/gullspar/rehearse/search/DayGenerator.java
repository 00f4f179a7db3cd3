package gullspar.rehearse.search;

import gullspar.rehearse.script.Fault;
import gullspar.rehearse.script.FaultKind;
import gullspar.rehearse.script.FaultKind.Parameter;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.time.EventQueue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Generates days with random faults of the kinds and number that the script allows. */
final class DayGenerator {
    /** A parameter is between its default divided by this and its default times this, within its bounds. */
    private static final double PARAMETER_SPREAD = 4;
    /** The longest duration of a fault. */
    private static final double MAX_FAULT_S = 8;
    /** The share of the day, without its fault-free end, in which faults start. */
    private static final double START_SHARE = 0.8;

    private DayGenerator() {}

    /** Returns the day of that number: its seed is the number, its faults are random, the rest is the script's. */
    static Script generate(Script script, int number) {
        SplittableRandom random = new SplittableRandom(EventQueue.mix(script.seed() * 31 + 10) + number);
        List<Fault> faults = new ArrayList<>();
        int count = 1 + random.nextInt(script.search().maxFaults());
        for (int i = 0; i < count; i++) {
            faults.add(randomFault(
                    script,
                    script.search()
                            .kinds()
                            .get(random.nextInt(script.search().kinds().size())),
                    random));
        }
        faults.sort(Comparator.comparingDouble(Fault::startS));
        return script.withSeed(number).withFaults(faults);
    }

    private static double roundToTenth(double value) {
        return Math.rint(value * 10) / 10;
    }

    private static Fault randomFault(Script script, FaultKind kind, SplittableRandom random) {
        // A finding keeps the fault-free time of its search, which may be longer than the shortened day: then it is
        // ignored.
        double endS = script.seconds() > script.search().faultFreeS()
                ? script.seconds() - script.search().faultFreeS()
                : script.seconds();
        double startS = roundToTenth(random.nextDouble() * endS * START_SHARE);
        double maxDurationS = Math.min(MAX_FAULT_S, endS - startS);
        double durationS = kind.isMomentary()
                ? 0
                : Math.max(0.1, Math.floor(10 * maxDurationS * (0.05 + 0.95 * random.nextDouble())) / 10);
        Map<String, Double> parameters = new LinkedHashMap<>();
        for (Parameter parameter : kind.parameters()) {
            double factor = StrictMath.pow(PARAMETER_SPREAD, 2 * random.nextDouble() - 1);
            double value = Math.max(parameter.min(), Math.min(parameter.max(), parameter.defaultValue() * factor));
            parameters.put(
                    parameter.name(),
                    Math.max(parameter.min(), Math.min(parameter.max(), Math.rint(value * 1000) / 1000)));
        }
        return switch (kind.target()) {
            case NODES -> new Fault(
                    kind,
                    startS,
                    durationS,
                    1 + random.nextInt(Math.max(1, script.nodeCount() / 2)),
                    List.of(),
                    parameters);
            case PROXIES -> new Fault(
                    kind,
                    startS,
                    durationS,
                    Math.max(
                            kind.minTargets(),
                            1 + random.nextInt(script.proxies().count())),
                    List.of(),
                    parameters);
            case CLASS -> new Fault(
                    kind,
                    startS,
                    durationS,
                    1,
                    List.of(script.classes()
                            .get(random.nextInt(script.classes().size()))
                            .name()),
                    parameters);
            case LINK -> new Fault(kind, startS, durationS, 1, randomLinkEnds(script, random), parameters);
            case DATAGRAMS -> new Fault(
                    kind,
                    startS,
                    durationS,
                    1,
                    List.of(randomProxies(script, random), randomProxies(script, random)),
                    parameters);
            default -> new Fault(kind, startS, durationS, 0, List.of(), parameters);
        };
    }

    private static String randomProxies(Script script, SplittableRandom random) {
        return random.nextInt(3) == 0
                ? "proxies"
                : "p" + (1 + random.nextInt(script.proxies().count()));
    }

    /** All proxies or one of them, and nodes, clients, discovery or (with peers) proxies, in either direction. */
    private static List<String> randomLinkEnds(Script script, SplittableRandom random) {
        String proxy = random.nextBoolean()
                ? "proxies"
                : "p" + (1 + random.nextInt(script.proxies().count()));
        if (script.peers() != null && random.nextBoolean()) {
            return List.of(proxy, randomProxies(script, random));
        }
        String other =
                switch (random.nextInt(4)) {
                    case 0 -> "clients";
                    case 1 -> "discovery";
                    case 2 -> "nodes";
                    default -> "n" + (1 + random.nextInt(script.nodeCount()));
                };
        return random.nextBoolean() ? List.of(proxy, other) : List.of(other, proxy);
    }
}
