package gullspar.decide;

import java.util.List;

/** Outlier ejection: servers that fail in a row or owe answers get nothing but a trial now and then. */
final class Ejection {
    /** Failures in a row that eject a server; one or two happen to a healthy one. */
    static final int FAILURES_TO_EJECT = 4;
    /** Never more of the ready servers than this: ejecting most of a crowded fleet drowns the rest. */
    private static final double MAX_EJECTED_SHARE = 0.34;
    /** Silent: owes answers, and gave none for so many of its usual gaps plus this share of a promise. */
    private static final double SILENT_ANSWER_GAPS = 6;

    private static final double SILENT_TARGET_SHARE = 0.8;
    /** Pause before the first trial of an ejected server, in ns; doubles, four times at most. */
    private static final long FIRST_TRIAL_PAUSE_NS = 500_000_000L;

    private final List<Server> servers;

    Ejection(List<Server> servers) {
        this.servers = servers;
    }

    /** Owes answers and gives none: told from a slow one by the gaps between its answers, to any request. */
    boolean isSilent(Server s, double minLatencyTargetNs, long now) {
        return s.openAttempts > 0
                && now - s.awaitingSince
                        > minLatencyTargetNs * SILENT_TARGET_SHARE
                                + SILENT_ANSWER_GAPS * s.serviceNs * (1 + s.foreignLoad / s.openAttempts);
    }

    /** Ejects a server, if not too many are, or puts off the next trial of one that is. */
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
