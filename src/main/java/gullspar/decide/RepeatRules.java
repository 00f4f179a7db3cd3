package gullspar.decide;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Profile;
import gullspar.decide.Balancer.Scope;
import gullspar.decide.Balancer.Settings;
import gullspar.decide.Balancer.Status;
import gullspar.decide.Ticket.Attempt;

/** Whether a request may be sent again, and what may be said of it, by what became of its attempts. */
final class RepeatRules {
    private final Settings settings;

    RepeatRules(Settings settings) {
        this.settings = settings;
    }

    /** The first attempt that may have run: it binds all further ones. Null if none may have. */
    Attempt bound(Ticket t) {
        for (Attempt a : t.attempts) {
            boolean never =
                    a.ended != null && a.ended.neverRan && !(a.ended == Status.FULL && settings.fullIsNoProof());
            if (!never) {
                return a;
            }
        }
        return null;
    }

    /** For how long repeats are surely dropped, from the first attempt that may have run, in ns. */
    long rememberedNs(Ticket t) {
        return t.profile.windowNs() - 2 * settings.stepNs();
    }

    /** Within that time from now an attempt has to go out, in ns; MAX_VALUE for whenever it may be. */
    long withinNs(Ticket t, Attempt bound, long now) {
        return bound == null || t.profile.effect() != Effect.DEDUPLICATED
                ? Long.MAX_VALUE
                : bound.sentAt + rememberedNs(t) - now;
    }

    /** May another attempt start now? */
    boolean mayAttempt(Ticket t, long now) {
        if (t.over
                || t.begun
                || now >= t.aim
                || t.attempts.size() >= most(t.profile)
                || now >= t.deadline - settings.stepNs()) {
            return false;
        }
        Attempt bound = bound(t);
        return bound == null
                || t.profile.effect() == Effect.IDEMPOTENT
                || t.profile.effect() == Effect.DEDUPLICATED && now - bound.sentAt < rememberedNs(t);
    }

    private int most(Profile p) {
        return p.attempts() > 0 ? p.attempts() : settings.maxAttempts();
    }

    /** Is a repeat by the client harmless, so that the request may be refused? */
    boolean refusable(Ticket t) {
        return bound(t) == null || t.profile.effect() == Effect.IDEMPOTENT || droppedEverywhere(t.profile);
    }

    /** Are repeats dropped wherever they go? */
    static boolean droppedEverywhere(Profile p) {
        return p.effect() == Effect.DEDUPLICATED && p.scope() == Scope.ALL;
    }
}
