package gullspar.peers;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Members that are gone are knocked at, ever more seldom, and so are the seeds where nobody known lives:
 * two parts of a fleet that were cut off from each other find each other again with no operator.
 */
final class ReconnectBackoff {
    /** How often a seed is knocked at while others are there, in intervals. */
    private static final int SEED_EVERY = 30;
    /** Knocks in an interval, while this process is alone or cut off. */
    private static final int MANY = 3;

    private final Settings settings;
    private final Self self;
    private final Roster roster;
    private final Detector detector;
    private final RandomGenerator random;
    private List<String> seeds;
    private int seed;
    private long seedAt;

    ReconnectBackoff(
            Settings settings,
            Self self,
            Roster roster,
            Detector detector,
            RandomGenerator random,
            List<String> seeds) {
        this.settings = settings;
        this.self = self;
        this.roster = roster;
        this.detector = detector;
        this.random = random;
        this.seeds = List.copyOf(seeds);
    }

    /** Others may be found there from now on, and it is looked soon. */
    void seeds(List<String> others) {
        seeds = List.copyOf(others);
        seedAt = Long.MIN_VALUE;
    }

    /** To be called once an interval. */
    void knock(long now, boolean cutOff) {
        boolean alone = roster.present().isEmpty();
        for (int i = 0; i < (alone || cutOff ? MANY : 1); i++) {
            gone(now);
        }
        if (!seeds.isEmpty() && (alone || now >= seedAt)) {
            for (int i = 0; i < (alone ? Math.min(MANY, seeds.size()) : 1); i++) {
                seed(now);
            }
        }
    }

    private void gone(long now) {
        Peer due = null;
        for (Peer p : roster.all()) {
            if (p.verdict == MemberStatus.GONE && now >= p.knockAt && (due == null || p.knockAt < due.knockAt)) {
                due = p;
            }
        }
        if (due != null) {
            detector.ask(now, due);
            due.knockGap = Math.min(settings.knockMost() * settings.intervalNs(), due.knockGap * 2);
            due.knockAt = now + (long) (due.knockGap * (0.75 + random.nextDouble() / 2));
        }
    }

    private void seed(long now) {
        seedAt = now + SEED_EVERY * settings.intervalNs();
        String address = seeds.get(seed++ % seeds.size());
        if (!address.equals(self.address())
                && roster.present().stream().noneMatch(p -> p.address().equals(address))) {
            detector.prove(now, address, null);
        }
    }
}
