package gullspar.peers;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Probes members that are gone, with a pause that doubles after each probe, and seeds at whose address no member is
 * present. So the parts of a fleet that were partitioned reconnect without an operator.
 */
final class ReconnectBackoff {
    /** Protocol intervals between two probes of seeds while other members are present. */
    private static final int SEED_PROBE_INTERVALS = 30;
    /** Probes per protocol interval while this process is alone or partitioned. */
    private static final int PROBES_WHEN_ISOLATED = 3;

    private final Settings settings;
    private final Self self;
    private final Roster roster;
    private final Detector detector;
    private final RandomGenerator random;
    private List<String> seeds;
    private int nextSeedIndex;
    private long nextSeedProbeAt;

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

    /** Replaces the seeds; the next one is probed in the next interval. */
    void setSeeds(List<String> updated) {
        seeds = List.copyOf(updated);
        nextSeedProbeAt = Long.MIN_VALUE;
    }

    /** Must be called once per protocol interval; cutOff: fewer than half of the members are alive in this view. */
    void reconnect(long now, boolean cutOff) {
        boolean alone = roster.present().isEmpty();
        for (int i = 0; i < (alone || cutOff ? PROBES_WHEN_ISOLATED : 1); i++) {
            probeGone(now);
        }
        if (!seeds.isEmpty() && (alone || now >= nextSeedProbeAt)) {
            for (int i = 0; i < (alone ? Math.min(PROBES_WHEN_ISOLATED, seeds.size()) : 1); i++) {
                probeNextSeed(now);
            }
        }
    }

    private void probeGone(long now) {
        Peer due = null;
        for (Peer p : roster.all()) {
            if (p.status == MemberStatus.GONE
                    && now >= p.reconnectAt
                    && (due == null || p.reconnectAt < due.reconnectAt)) {
                due = p;
            }
        }
        if (due != null) {
            detector.probe(now, due);
            due.reconnectPauseNs =
                    Math.min(settings.maxReconnectIntervals() * settings.intervalNs(), due.reconnectPauseNs * 2);
            due.reconnectAt = now + (long) (due.reconnectPauseNs * (0.75 + random.nextDouble() / 2));
        }
    }

    private void probeNextSeed(long now) {
        nextSeedProbeAt = now + SEED_PROBE_INTERVALS * settings.intervalNs();
        String address = seeds.get(nextSeedIndex++ % seeds.size());
        if (!address.equals(self.address())
                && roster.present().stream().noneMatch(p -> p.address().equals(address))) {
            detector.verify(now, address, null);
        }
    }
}
