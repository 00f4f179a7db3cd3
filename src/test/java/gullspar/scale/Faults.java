package gullspar.scale;

import gullspar.scale.DiscoveryStandIn.Told;
import gullspar.scale.Results.About;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/** What faults bring: a tenth killed and back, a zone cut off and back, discovery gone and back. */
final class Faults {
    private static final int WITHIN_S = 60;

    private final Options options;
    private final Children children;
    private final Results results;
    private Shape shape;
    private Trial trial;

    Faults(Options options, Children children, Results results) {
        this.options = options;
        this.children = children;
        this.results = results;
    }

    /** Ten processes of hollow ones, and some real ones; each fault lasts so long. */
    void run(Shape of, double seconds) throws ScaleException, IOException {
        shape = of;
        System.out.println("faults: " + of);
        try (Trial t = new Trial(children, of, options.port())) {
            t.processes().proxies();
            trial = t;
            new Control(t).wholes(1);
            tenthKilled(seconds);
            zoneCutOff(seconds);
            discoveryGone(seconds);
            t.sound();
        }
    }

    private void tenthKilled(double seconds) throws ScaleException, IOException {
        trial.kill(0);
        known("tenth.killed", trial.discovery.change(shape.backends(), true));
        Pause.ms((long) (seconds * 1000));
        trial.discovery.change(shape.backends(), false);
        long at = System.nanoTime();
        Told told = new Told(trial.discovery.version(), at);
        trial.revive(0);
        add(
                "tenth.back.known",
                "from the start of a tenth of the proxies until the last has the list, its "
                        + "runtime's start included",
                "ms",
                trial.known(told, WITHIN_S).getMaxValue() / 1e3);
        worst("tenth.back", at);
    }

    private void zoneCutOff(double seconds) throws ScaleException {
        Map<String, Tally.Sum> before = trial.discovery.kinds();
        trial.discovery.cut(1, true);
        Told told = trial.discovery.change(shape.backends(), true);
        Pause.ms((long) (seconds * 1000));
        long at = System.nanoTime();
        trial.discovery.cut(1, false);
        add(
                "zone.back.known",
                "from the end of a zone's cut until the last proxy knows what changed in it",
                "ms",
                trial.known(new Told(told.version(), at), WITHIN_S).getMaxValue() / 1e3);
        Pause.ms(1500);
        worst("zone.back", at);
        Tally.Sum calls = Tally.since(before, trial.discovery.kinds()).getOrDefault("call", Tally.NONE);
        add("zone.back.calls", "watches opened during the cut and after it, of all", "1", calls.messages());
    }

    private void discoveryGone(double seconds) throws ScaleException, IOException {
        long connects = trial.connects();
        Map<Long, Accounts.Booked> cpu = trial.hollowCpu();
        trial.discovery.down(true);
        Pause.ms((long) (seconds * 1000));
        double ms = Accounts.ms(cpu);
        add(
                "discovery.gone.connects",
                "connections that a proxy tries in a second while it is gone",
                "1/s",
                (trial.connects() - connects) / seconds / shape.proxies());
        add(
                "discovery.gone.cpu",
                "processor time of a proxy while discovery is gone",
                "ms/s",
                ms / seconds / shape.proxies());
        connects = trial.connects();
        long at = System.nanoTime();
        trial.discovery.down(false);
        Told told = trial.discovery.change(shape.backends(), false);
        add(
                "discovery.back.known",
                "from discovery's return until the last proxy knows a change since",
                "ms",
                trial.known(new Told(told.version(), at), WITHIN_S).getMaxValue() / 1e3);
        Pause.ms(1500);
        add(
                "discovery.back.reconnects",
                "connections that all proxies make when discovery is back",
                "1",
                trial.connects() - connects);
        worst("discovery.back", at);
        if (trial.discovery.watching() < shape.proxies() + shape.real()) {
            throw new ScaleException(
                    ScaleException.COUNT,
                    "only " + trial.discovery.watching() + " of " + (shape.proxies() + shape.real())
                            + " proxies watch discovery again");
        }
    }

    private void known(String fault, Told told) throws ScaleException {
        add(
                fault + ".known",
                "from a change at discovery until the last living proxy knows it, a tenth just " + "killed",
                "ms",
                trial.known(told, WITHIN_S).getMaxValue() / 1e3);
    }

    private void worst(String fault, long at) {
        add(
                fault + ".worst",
                "bytes between discovery and all proxies in the worst second after it",
                "B/s",
                trial.discovery.worstSecond(at));
    }

    private void add(String id, String what, String unit, double value) {
        results.add(
                new About("fault." + id, what, unit, "proxies", new TreeMap<>(Map.of("backends", shape.backends()))),
                shape.proxies(),
                value);
    }
}
