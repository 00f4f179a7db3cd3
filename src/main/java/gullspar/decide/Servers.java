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

/** The listed servers, and the subset of them that this proxy uses. */
final class Servers {
    private static final double MIN_SUBSET = 2; // minimum size of the subset in the own zone, in servers
    private static final double ANSWERS_PER_TARGET = 2; // answers needed from each server per latency target
    /** Spreads the proxies' subsets evenly over the servers, for any number of either. */
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

    /** Sorted by id, the same order at every proxy. */
    List<Server> all() {
        return all;
    }

    /** The server with this id; null if it is not listed. */
    Server get(int id) {
        return byId.get(id);
    }

    /** Applies a list event other than FAILED. */
    void applyList(long now, ListKind kind, List<ListedServer> listedServers) {
        for (Server s : all) {
            s.isListed &= kind == ListKind.DELTA; // absent from a complete list: no longer listed
        }
        for (ListedServer listed : listedServers) {
            Server s = byId.get(listed.id());
            if (s == null || listed.startedAtNs() > s.startedAtNs) {
                s = addStarted(listed, now);
            }
            s.listed = listed;
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

    /** Adds a new or restarted server with its kind's service time; an old process's statistics do not apply. */
    private Server addStarted(ListedServer listed, long now) {
        Server s = new Server(listed, serviceTimes.get(listed.kind()), weights.meanConcurrency(), now);
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
     * Gives a server a random rotation credit and part of a token, so that proxies that consider it cold from the
     * same moment do not all send their first request at once.
     */
    void randomizePhase(Server s, long now) {
        s.tokens = random.nextDouble();
        s.tokensUpdatedAt = now;
        s.rotationCredit = -random.nextDouble();
    }

    /** Subset size: servers that each answer within a latency target, with every server used by some proxy. */
    double subsetSize(double arrivals, double minLatencyTargetNs) {
        double observable = arrivals * minLatencyTargetNs / ZoneStats.LOAD_DECAY_NS / ANSWERS_PER_TARGET;
        return Math.max(observable, MIN_SUBSET * Math.max(1, all.size() / (double) settings.proxyCount()));
    }
}
