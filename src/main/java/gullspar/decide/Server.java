package gullspar.decide;

/** A proxy's state for one server; makes no decision. */
final class Server {
    final int id;
    Balancer.ListedServer listed;
    /** Service time when warm, used for decisions: the mean of its own and its kind's, by number of samples. */
    double serviceNs;
    /** Service time when warm, from its own answers only, and the decaying number of samples behind it. */
    double ownServiceNs, serviceSamples;
    /** The share of its capacity that it reports as spare, 0 to 1. */
    double spareShare = 1;
    /** The factor derived from the spare share, and the credit in the rotation, in requests. */
    double factor, rotationCredit;
    /** Utilization (0 to 1) and number of requests in the last report. */
    double reportedUtilization, reportedRequests;
    /** Load of other proxies by the reports, and the weight of that in the current estimate, 1 when just reported. */
    double reportedForeignLoad, reportFreshness;
    /** Current estimate of the load of other proxies. */
    double foreignLoad;
    /** Requests that run concurrently without slowing each other; the unit of the loads. */
    double concurrency;
    /** Means of the reported throughput (requests per s) and utilization, and the last reported throughput. */
    double meanThroughput, meanUtilization, reportedThroughput;

    /** Requests that it may be sent now while it is cold; see {@link ColdBudget}. */
    double tokens;

    final long startedAtNs;
    /** When a connection to it last failed; 0 for never. */
    long connectFailedAt;

    long factorUpdatedAt, serviceUpdatedAt, tokensUpdatedAt;
    /** The last answer or failure, or, if later, the send of the first open attempt or the end of a stall. */
    long awaitingSince;
    /** When an ejected server gets its next trial, and the pause before that. */
    long nextTrialAt, trialPauseNs;

    int openAttempts, consecutiveFailures;
    /** Responses of ended attempts that are still being received. */
    int openResponses;

    boolean isListed, isEjected;
    /** Set in each pass of the rotation: the server may get the current request. */
    boolean isEligible;
    /** Its last report had no number of requests in flight. */
    boolean lacksInflight;
    /** Position in this proxy's order of the zone's servers, 0 to 1; the subset is the positions below its width. */
    double subsetPosition;

    Server(Balancer.ListedServer listed, double serviceNs, double concurrency, long now) {
        this.id = listed.id();
        this.listed = listed;
        this.startedAtNs = listed.startedAtNs();
        this.serviceNs = serviceNs;
        this.concurrency = concurrency;
        this.tokensUpdatedAt = now;
    }

    double load() {
        return ownRequests() / concurrency + foreignLoad;
    }

    /** The requests of this proxy that occupy it. */
    int ownRequests() {
        return openAttempts + openResponses;
    }

    int zone() {
        return Math.max(0, listed.zone());
    }

    boolean isReady() {
        return isListed && listed.state() == Balancer.State.READY;
    }
}
