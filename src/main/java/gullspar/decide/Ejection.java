package gullspar.decide;

import java.util.List;

/** Outlier ejection: servers that fail in a row or owe answers get nothing but a trial now and then. */
final class Ejection {
    /** Failures in a row that eject a server; one or two happen to a healthy one. */
    static final int FAILURES = 4;
    /** Never more of the ready servers than this: ejecting most of a crowded fleet drowns the rest. */
    private static final double MOST = 0.34;
    /** Silent: owes answers, and gave none for so many of its usual gaps plus this share of a promise. */
    private static final double SILENT_GAPS = 6;

    private static final double SILENT_PROMISE = 0.8;
    /** Pause before the first trial of an ejected server, in ns; doubles, four times at most. */
    private static final long TRIAL_NS = 500_000_000L;

    private final List<Server> servers;

    Ejection(List<Server> servers) {
        this.servers = servers;
    }

    /** Owes answers and gives none: told from a slow one by the gaps between its answers, to any request. */
    boolean silent(Server s, double minPromiseNs, long now) {
        return s.out > 0
                && now - s.owedSince > minPromiseNs * SILENT_PROMISE + SILENT_GAPS * s.pace * (1 + s.others / s.out);
    }

    /** Ejects a server, if not too many are, or puts off the next trial of one that is. */
    void eject(Server s, long now) {
        long ready = servers.stream().filter(Server::ready).count();
        long ejected = servers.stream().filter(o -> o.ready() && o.ejected).count();
        if (s.ejected || ejected + 1 <= ready * MOST) {
            s.trialPause = s.ejected ? Math.min(s.trialPause * 2, 4 * TRIAL_NS) : TRIAL_NS;
            s.trialAt = now + s.trialPause;
            s.ejected = true;
        }
    }
}
