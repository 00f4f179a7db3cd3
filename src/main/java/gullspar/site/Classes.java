package gullspar.site;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Profile;
import gullspar.decide.Balancer.Scope;
import gullspar.route.Route;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The classes of requests that a pool's module knows: one for each way in which routes lead to the pool. */
final class Classes {
    private final Map<Profile, Integer> places = new HashMap<>();
    private final List<Profile> all = new ArrayList<>();

    Classes() {
        place(profile(Route.RequestClass.SAFE, false, new Route.Limits(60_000_000_000L, 3, 0, 0, Set.of(), 0)));
    }

    List<Profile> all() {
        return List.copyOf(all);
    }

    /** The place of a class in the list; a new one if it is not there. */
    int place(Profile p) {
        return places.computeIfAbsent(p, n -> {
            all.add(n);
            return all.size() - 1;
        });
    }

    int size() {
        return all.size();
    }

    /**
     * What the module is to know of requests of a kind; keyed: it has an Idempotency-Key. Without one a
     * request of a keyed route may not run twice.
     */
    static Profile profile(Route.RequestClass kind, boolean keyed, Route.Limits limits) {
        Effect effect = kind == Route.RequestClass.SAFE
                ? Effect.IDEMPOTENT
                : kind == Route.RequestClass.KEYED && keyed ? Effect.DEDUPLICATED : Effect.AT_MOST_ONCE;
        return new Profile(
                effect,
                Scope.ALL,
                effect == Effect.DEDUPLICATED ? limits.keyRetentionNs() : 0,
                limits.deadlineNs(),
                limits.deadlineNs(),
                1,
                1,
                true,
                false,
                limits.maxAttempts(),
                limits.attemptTimeoutNs());
    }
}
