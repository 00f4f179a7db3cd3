package gullspar.decide;

import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.ListedServer;
import gullspar.decide.Balancer.Settings;
import gullspar.decide.Balancer.State;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;

/** The servers as they are listed, and which of them this proxy uses (its subset). */
final class Servers {
    /** Servers of the own zone in the subset at the least; how often to hear of each in a promise. */
    private static final double MIN_SUBSET = 2;

    private static final double ANSWERS_PER_TARGET = 2;
    /** Spreads the proxies' subsets evenly over the servers, however many of each there are. */
    private static final double GOLDEN_RATIO = 0.6180339887;

    private final Settings settings;
    private final SplittableRandom random;
    private final ZoneStats zones;
    private final KindServiceTimes serviceTimes;
    private final ServerWeights weights;
    private final IntMap<Server> byId = new IntMap<>();
    private final List<Server> all = new ArrayList<>();

    Servers(
            Settings settings,
            SplittableRandom random,
            ZoneStats zones,
            KindServiceTimes serviceTimes,
            ServerWeights weights) {
        this.settings = settings;
        this.random = random;
        this.zones = zones;
        this.serviceTimes = serviceTimes;
        this.weights = weights;
    }

    /** By their numbers, the same order at every proxy. */
    List<Server> all() {
        return all;
    }

    /** A list that was not a failed call. */
    void applyList(long now, ListKind kind, List<ListedServer> servers) {
        for (Server s : all) {
            s.isListed &= kind == ListKind.DELTA; // missing from a whole list: gone
        }
        for (ListedServer m : servers) {
            Server s = byId.get(m.id());
            if (s == null || m.startedAtNs() > s.startedAtNs) {
                s = addStarted(m, now);
            }
            s.listed = m;
            s.isListed = true;
        }
        updatePositions();
    }

    private void updatePositions() {
        zones.resetReady();
        all.sort(Comparator.comparingInt(s -> s.id));
        for (Iterator<Server> i = all.iterator(); i.hasNext(); ) {
            Server s = i.next();
            s.subsetPosition = s.isReady() ? zones.countReady(s.zone()) : zones.readyCount(s.zone());
            if (s.openAttempts == 0 && (!s.isListed || s.listed.state() == State.GONE)) {
                i.remove();
                byId.remove(s.id);
            }
        }
        for (Server s : all) {
            double position =
                    s.subsetPosition / Math.max(1, zones.readyCount(s.zone())) + settings.proxyIndex() * GOLDEN_RATIO;
            s.subsetPosition = position - Math.floor(position);
        }
    }

    /** A server is new or has started anew: nothing learnt of an old process holds. */
    private Server addStarted(ListedServer m, long now) {
        Server s = new Server(
                m, serviceTimes.get(m.kind()), weights.meanConcurrency(), now); // it needs what its kind needs
        s.isListed = true;
        Server old = byId.get(s.id);
        if (old != null) {
            all.remove(old);
        }
        all.add(s);
        byId.put(s.id, s);
        weights.updateFactor(s, now);
        randomizePhase(s, now);
        return s;
    }

    /**
     * Proxies that take a server for cold from one moment on must not all turn to it at once: a phase of its
     * own in the rotation, and part of a token, so that their first requests are spread as their later ones.
     */
    void randomizePhase(Server s, long now) {
        s.tokens = random.nextDouble();
        s.tokensUpdatedAt = now;
        s.rotationCredit = -random.nextDouble();
    }

    /** Subsetting: servers of a zone that can each be heard of within a promise, and none left out. */
    double subsetSize(double arrivals, double minLatencyTargetNs) {
        double observable = arrivals * minLatencyTargetNs / ZoneStats.DECAY_NS / ANSWERS_PER_TARGET;
        return Math.max(observable, MIN_SUBSET * Math.max(1, all.size() / (double) settings.proxyCount()));
    }
}
