package gullspar.scale;

import gullspar.scale.DiscoveryStandIn.Told;
import java.io.IOException;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Measures the control part of a trial's proxies: at rest, by change, by whole list. */
final class Control {
    private static final int WITHIN_S = 120;

    /** What a number of equal events cost, each and at each proxy. */
    record Cost(double hollowMs, double realMs, double bytes, Histogram known) {}

    /** What a second at rest costs a proxy. */
    record Rest(double hollowMs, double realMs, double bytes, double messages) {}

    private interface Event {
        Told happen(int number);
    }

    private final Trial trial;
    private Rest rest = new Rest(0, 0, 0, 0);

    Control(Trial trial) {
        this.trial = trial;
    }

    /** Nothing happens for so long; what comes later is reckoned without it. */
    Rest rest(double seconds) throws ScaleException, IOException {
        Map<String, Tally.Sum> before = trial.discovery.kinds();
        Map<Long, Accounts.Booked> hollow = trial.hollowCpu();
        Map<Long, Accounts.Booked> real = trial.realCpu();
        long at = System.nanoTime();
        Pause.ms((long) (seconds * 1000));
        double passed = (System.nanoTime() - at) / 1e9;
        double hollowMs = Accounts.ms(hollow);
        double realMs = Accounts.ms(real);
        Tally.Sum told = sum(Tally.since(before, trial.discovery.kinds()));
        double all = passed * all();
        rest = new Rest(
                hollowMs / passed / Math.max(1, trial.shape.proxies()),
                realMs / passed / Math.max(1, trial.shape.real()),
                told.bytes() / all,
                told.messages() / all);
        return rest;
    }

    /** So many backends come and go, one at a time. */
    Cost changes(int count, double perSecond) throws ScaleException, IOException {
        Map<String, Tally.Sum> before = trial.discovery.kinds();
        Cost c = events(count, perSecond, i -> trial.discovery.change(trial.shape.backends() + i / 2 % 2, i % 2 == 0));
        Map<String, Tally.Sum> grown = Tally.since(before, trial.discovery.kinds());
        long told = grown.getOrDefault("change", Tally.NONE).messages();
        // A watch that was opened meanwhile was told of some in another way, or beside the one before it.
        if (grown.getOrDefault("call", Tally.NONE).messages() == 0 && told != (long) count * all()) {
            throw new ScaleException(
                    ScaleException.COUNT, told + " messages told " + count + " changes to " + all() + " proxies");
        }
        return c;
    }

    private int all() {
        return trial.shape.proxies() + trial.shape.real();
    }

    /** All weights are told anew, so many times. */
    Cost weights(int count) throws ScaleException, IOException {
        return events(count, 0, i -> trial.discovery.weights(trial.shape.backends(), 1 + i % 2 * 0.5));
    }

    /** So many changes in one go; what they cost and tell, each. */
    Cost burst(int count) throws ScaleException, IOException {
        return changes(count, 1e9);
    }

    /** All watches end, and all get the whole list, so many times. */
    Cost wholes(int count) throws ScaleException, IOException {
        Map<String, Tally.Sum> before = trial.discovery.kinds();
        Cost c = events(count, 0, i -> trial.discovery.startAnew());
        trial.discovery.remembers();
        Map<String, Tally.Sum> grown = Tally.since(before, trial.discovery.kinds());
        long told = grown.getOrDefault("whole", Tally.NONE).messages();
        long calls = grown.getOrDefault("call", Tally.NONE).messages();
        if (told != calls || calls < (long) count * all()) {
            throw new ScaleException(
                    ScaleException.COUNT,
                    told + " whole lists for " + calls + " calls of " + all() + " proxies, asked " + count
                            + " times each");
        }
        return c;
    }

    /** perSecond 0: each waits until all know the one before. */
    private Cost events(int count, double perSecond, Event event) throws ScaleException, IOException {
        Map<String, Tally.Sum> before = trial.discovery.kinds();
        Map<Long, Accounts.Booked> hollow = trial.hollowCpu();
        Map<Long, Accounts.Booked> real = trial.realCpu();
        long at = System.nanoTime();
        Told[] told = new Told[count];
        Histogram known = new Histogram(3);
        for (int i = 0; i < count; i++) {
            told[i] = event.happen(i);
            if (perSecond > 0) {
                Pause.ms((long) ((i + 1) * 1e3 / perSecond - (System.nanoTime() - at) / 1e6));
            } else {
                known.add(trial.known(told[i], WITHIN_S));
                allWatch();
            }
        }
        if (perSecond > 0) {
            trial.known(told[count - 1], WITHIN_S);
        }
        Pause.ms(200); // the real ones' last
        double passed = (System.nanoTime() - at) / 1e9;
        double hollowMs = Accounts.ms(hollow) / trial.shape.proxies() - passed * rest.hollowMs();
        double realMs = Accounts.ms(real) / Math.max(1, trial.shape.real()) - passed * rest.realMs();
        Tally.Sum sum = sum(Tally.since(before, trial.discovery.kinds()));
        for (int i = 0; perSecond > 0 && i < count; i++) {
            known.add(trial.known(told[i], WITHIN_S));
        }
        return new Cost(hollowMs / count, realMs / count, (double) sum.bytes() / count / all(), known);
    }

    /** The real ones have come back too. */
    private void allWatch() throws ScaleException {
        long end = System.nanoTime() + WITHIN_S * 1_000_000_000L;
        while (trial.discovery.watching() < all()) {
            if (System.nanoTime() > end) {
                throw new ScaleException(
                        ScaleException.COUNT,
                        trial.discovery.watching() + " of " + all() + " proxies watch discovery after " + WITHIN_S
                                + " s");
            }
            Pause.ms(5);
        }
    }

    /** All kinds together. */
    private static Tally.Sum sum(Map<String, Tally.Sum> kinds) {
        return kinds.values().stream().reduce(Tally.NONE, (a, b) -> a.plus(b.messages(), b.bytes()));
    }
}
