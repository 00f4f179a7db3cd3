package gullspar.decide;

import java.util.List;

/** Outlier ejection: servers that fail repeatedly or stop answering get only an occasional trial request. */
final class Ejection {
    /** Consecutive failures that eject a server; one or two occur on healthy ones. */
    static final int FAILURES_TO_EJECT = 4;
    /** Largest share of the ready servers that may be ejected; more would overload the rest of a busy fleet. */
    private static final double MAX_EJECTED_SHARE = 0.34;
    /** A server is silent after this many of its usual gaps between answers plus a share of a latency target. */
    private static final double SILENT_ANSWER_GAPS = 6;

    private static final double SILENT_TARGET_SHARE = 0.8; // of the shortest latency target of all classes
    /** Pause before the first trial of an ejected server; doubles with each trial, up to four times this. */
    private static final long FIRST_TRIAL_PAUSE_NS = 500_000_000L;

    private final List<Server> servers;

    Ejection(List<Server> servers) {
        this.servers = servers;
    }

    /** Whether a server with open attempts has stopped answering; the answer gaps distinguish it from a slow one. */
    boolean isSilent(Server s, double minLatencyTargetNs, long now) {
        return s.openAttempts > 0
                && now - s.awaitingSince
                        > minLatencyTargetNs * SILENT_TARGET_SHARE
                                + SILENT_ANSWER_GAPS * s.serviceNs * (1 + s.foreignLoad / s.openAttempts);
    }

    /** Ejects a server unless too many are ejected, or postpones the next trial of an ejected one. */
    void eject(Server s, long now) {
        long ready = servers.stream().filter(Server::isReady).count();
        long ejected = servers.stream().filter(o -> o.isReady() && o.isEjected).count();
        if (s.isEjected || ejected + 1 <= ready * MAX_EJECTED_SHARE) {
            s.trialPauseNs =
                    s.isEjected ? Math.min(s.trialPauseNs * 2, 4 * FIRST_TRIAL_PAUSE_NS) : FIRST_TRIAL_PAUSE_NS;
            s.nextTrialAt = now + s.trialPauseNs;
            s.isEjected = true;
        }
    }
}
