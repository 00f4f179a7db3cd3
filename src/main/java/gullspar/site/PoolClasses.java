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

/** The classes of requests that the decision module of a pool knows: one for each distinct route profile. */
final class PoolClasses {
    private final Map<Profile, Integer> indexes = new HashMap<>();
    private final List<Profile> all = new ArrayList<>();

    PoolClasses() {
        indexOf(profile(Route.RequestClass.SAFE, false, new Route.Limits(60_000_000_000L, 3, 0, 0, Set.of(), 0)));
    }

    List<Profile> all() {
        return List.copyOf(all);
    }

    /** The index of a class in the list; adds the class if it is new. */
    int indexOf(Profile p) {
        return indexes.computeIfAbsent(p, n -> {
            all.add(n);
            return all.size() - 1;
        });
    }

    int size() {
        return all.size();
    }

    /**
     * The profile of requests of a kind; hasKey: the request has an Idempotency-Key. Without one, a request of a
     * keyed route must not run twice.
     */
    static Profile profile(Route.RequestClass kind, boolean hasKey, Route.Limits limits) {
        Effect effect = kind == Route.RequestClass.SAFE
                ? Effect.IDEMPOTENT
                : kind == Route.RequestClass.KEYED && hasKey ? Effect.DEDUPLICATED : Effect.AT_MOST_ONCE;
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
