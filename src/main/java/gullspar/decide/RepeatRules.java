package gullspar.decide;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Profile;
import gullspar.decide.Balancer.Scope;
import gullspar.decide.Balancer.Settings;
import gullspar.decide.Balancer.Status;
import gullspar.decide.TrackedRequest.Attempt;

/** Whether a request may be retried, and how it may be answered, given the outcomes of its attempts. */
final class RepeatRules {
    /** How long after the time that it was advised to wait a client's repeat may reach a server. */
    static final long MAX_CLIENT_RETURN_NS = 200_000_000L;

    /** Before all times, with room for differences. */
    private static final long NEVER = Long.MIN_VALUE / 2;

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

    /**
     * Until when a repeat surely has no effect of its own, as servers drop it or every attempt never ran.
     *
     * @param binding the first attempt that may have run; null if none
     * @param isAnywhere whether the repeat may reach any server, as a client's, or only those in the class's scope
     */
    private long harmlessUntil(TrackedRequest t, Attempt binding, boolean isAnywhere) {
        if (binding == null || t.profile.effect() == Effect.IDEMPOTENT) {
            return Long.MAX_VALUE;
        }
        boolean isDropped = isAnywhere ? isDroppedEverywhere(t.profile) : t.profile.effect() == Effect.DEDUPLICATED;
        return isDropped ? binding.sentAt + t.profile.windowNs() - 2 * settings.clockStepNs() : NEVER;
    }

    /** Time from now within which an attempt must be sent; MAX_VALUE for no limit. */
    long startWithinNs(TrackedRequest t, Attempt binding, long now) {
        long until = harmlessUntil(t, binding, false);
        return until == Long.MAX_VALUE ? until : until - now;
    }

    /** Whether another attempt may start now. */
    boolean canAttempt(TrackedRequest t, long now) {
        return !t.isFinished
                && !t.isStreaming
                && now < t.usefulUntil
                && t.attempts.size() < maxAttempts(t.profile)
                && now < t.deadline - settings.clockStepNs()
                && now < harmlessUntil(t, bindingAttempt(t), false);
    }

    private int maxAttempts(Profile p) {
        return p.maxAttempts() > 0 ? p.maxAttempts() : settings.maxAttempts();
    }

    /** Whether a repeat by the client is safe, so that the request may be refused. */
    boolean canRefuse(TrackedRequest t, long now) {
        return safeReturnNs(t, now) > 0;
    }

    /** How long a refused client should wait, at most; 0 for no advice. */
    long retryAfterNs(TrackedRequest t, long now) {
        return Math.min(settings.maxRetryAfterNs(), safeReturnNs(t, now));
    }

    /** How long a client may be advised to wait so that its repeat, sent some time later, is still harmless. */
    private long safeReturnNs(TrackedRequest t, long now) {
        return harmlessUntil(t, bindingAttempt(t), true) - now - MAX_CLIENT_RETURN_NS;
    }

    /** Whether repeats are dropped at every server. */
    static boolean isDroppedEverywhere(Profile p) {
        return p.effect() == Effect.DEDUPLICATED && p.scope() == Scope.ALL;
    }
}
