package gullspar.decide;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Profile;
import gullspar.decide.Balancer.Scope;
import gullspar.decide.Balancer.Settings;
import gullspar.decide.Balancer.Status;
import gullspar.decide.TrackedRequest.Attempt;

/** Whether a request may be retried, and how it may be answered, given the outcomes of its attempts. */
final class RepeatRules {
    private final Settings settings;

    RepeatRules(Settings settings) {
        this.settings = settings;
    }

    /** The first attempt that may have run, which restricts all further ones; null if none may have run. */
    Attempt bindingAttempt(TrackedRequest t) {
        for (Attempt a : t.attempts) {
            boolean neverRan =
                    a.status != null && a.status.neverRan && !(a.status == Status.FULL && settings.fullMayHaveRun());
            if (!neverRan) {
                return a;
            }
        }
        return null;
    }

    /** How long repeats are certainly dropped, counted from the first attempt that may have run. */
    long safeRepeatNs(TrackedRequest t) {
        return t.profile.windowNs() - 2 * settings.clockStepNs();
    }

    /** Time from now within which an attempt must be sent; MAX_VALUE for no limit. */
    long startWithinNs(TrackedRequest t, Attempt binding, long now) {
        return binding == null || t.profile.effect() != Effect.DEDUPLICATED
                ? Long.MAX_VALUE
                : binding.sentAt + safeRepeatNs(t) - now;
    }

    /** Whether another attempt may start now. */
    boolean canAttempt(TrackedRequest t, long now) {
        if (t.isFinished
                || t.isStreaming
                || now >= t.usefulUntil
                || t.attempts.size() >= maxAttempts(t.profile)
                || now >= t.deadline - settings.clockStepNs()) {
            return false;
        }
        Attempt binding = bindingAttempt(t);
        return binding == null
                || t.profile.effect() == Effect.IDEMPOTENT
                || t.profile.effect() == Effect.DEDUPLICATED && now - binding.sentAt < safeRepeatNs(t);
    }

    private int maxAttempts(Profile p) {
        return p.maxAttempts() > 0 ? p.maxAttempts() : settings.maxAttempts();
    }

    /** Whether a repeat by the client is safe, so that the request may be refused. */
    boolean canRefuse(TrackedRequest t) {
        return bindingAttempt(t) == null || t.profile.effect() == Effect.IDEMPOTENT || isDroppedEverywhere(t.profile);
    }

    /** Whether repeats are dropped at every server. */
    static boolean isDroppedEverywhere(Profile p) {
        return p.effect() == Effect.DEDUPLICATED && p.scope() == Scope.ALL;
    }
}
