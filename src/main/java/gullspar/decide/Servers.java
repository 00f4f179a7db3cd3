package gullspar.decide;

import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.Member;
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
    private static final double SUBSET_LEAST = 2;

    private static final double SUBSET_HEARD = 2;
    /** Spreads the proxies' subsets evenly over the servers, however many of each there are. */
    private static final double GOLDEN = 0.6180339887;

    private final Settings settings;
    private final SplittableRandom random;
    private final ZoneFigures zones;
    private final KindPaces kinds;
    private final ServerWeights weights;
    private final IntMap<Server> byId = new IntMap<>();
    private final List<Server> all = new ArrayList<>();

    Servers(Settings settings, SplittableRandom random, ZoneFigures zones, KindPaces kinds, ServerWeights weights) {
        this.settings = settings;
        this.random = random;
        this.zones = zones;
        this.kinds = kinds;
        this.weights = weights;
    }

    /** By their numbers, the same order at every proxy. */
    List<Server> all() {
        return all;
    }

    /** A list that was not a failed call. */
    void learn(long now, ListKind kind, List<Member> members) {
        for (Server s : all) {
            s.named &= kind == ListKind.DELTA; // missing from a whole list: gone
        }
        for (Member m : members) {
            Server s = byId.get(m.id());
            if (s == null || m.bootNs() > s.bootNs) {
                s = started(m, now);
            }
            s.listed = m;
            s.named = true;
        }
        place();
    }

    private void place() {
        zones.forgetReady();
        all.sort(Comparator.comparingInt(s -> s.id));
        for (Iterator<Server> i = all.iterator(); i.hasNext(); ) {
            Server s = i.next();
            s.place = s.ready() ? zones.countReady(s.zone()) : zones.ready(s.zone());
            if (s.out == 0 && (!s.named || s.listed.state() == State.GONE)) {
                i.remove();
                byId.remove(s.id);
            }
        }
        for (Server s : all) {
            double place = s.place / Math.max(1, zones.ready(s.zone())) + settings.me() * GOLDEN;
            s.place = place - Math.floor(place);
        }
    }

    /** A server is new or has started anew: nothing learnt of an old process holds. */
    private Server started(Member m, long now) {
        Server s = new Server(m, kinds.of(m.kind()), weights.parallel(), now); // it needs what its kind needs
        s.named = true;
        Server old = byId.get(s.id);
        if (old != null) {
            all.remove(old);
        }
        all.add(s);
        byId.put(s.id, s);
        weights.renew(s, now);
        spread(s, now);
        return s;
    }

    /**
     * Proxies that take a server for cold from one moment on must not all turn to it at once: a phase of its
     * own in the rotation, and part of a token, so that their first requests are spread as their later ones.
     */
    void spread(Server s, long now) {
        s.tokens = random.nextDouble();
        s.tokensAt = now;
        s.tally = -random.nextDouble();
    }

    /** Subsetting: servers of a zone that can each be heard of within a promise, and none left out. */
    double subset(double arrivals, double minPromiseNs) {
        double heard = arrivals * minPromiseNs / ZoneFigures.USUAL_NS / SUBSET_HEARD;
        return Math.max(heard, SUBSET_LEAST * Math.max(1, all.size() / (double) settings.balancers()));
    }
}
