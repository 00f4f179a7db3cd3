package gullspar.decide;

/** What a proxy knows of one server. State only, no decision. */
final class Server {
    final int id;
    Balancer.ListedServer listed;
    /** Time of a request when warm: as used, as its own answers tell, and how many of them count. */
    double serviceNs, ownServiceNs, serviceSamples;
    /** The reported spare share, the factor made of it, the rotation's tally. */
    double spareShare = 1, factor, rotationCredit;
    /** The last report; the others' requests by it, how fresh that is, and what is held of them now. */
    double reportedUtilization, reportedRequests, reportedForeignLoad, reportFreshness, foreignLoad;
    /** Requests that run side by side without slowing each other: the requests above count in these. */
    double concurrency, meanThroughput, meanUtilization, reportedThroughput;

    double tokens;
    final long startedAtNs;
    /** When a connection to it failed last; 0 for never. */
    long connectFailedAt;

    long factorUpdatedAt, serviceUpdatedAt, awaitingSince, nextTrialAt, trialPauseNs, tokensUpdatedAt;
    int openAttempts, consecutiveFailures;
    boolean isListed, isEjected, isEligible, lacksInflight;
    /** Place in this proxy's order of the zone's servers, 0 to 1: the subset is those under its width. */
    double subsetPosition;

    Server(Balancer.ListedServer listed, double pace, double parallel, long now) {
        this.id = listed.id();
        this.listed = listed;
        this.startedAtNs = listed.startedAtNs();
        this.serviceNs = pace;
        this.concurrency = parallel;
        this.tokensUpdatedAt = now;
    }

    double load() {
        return openAttempts / concurrency + foreignLoad;
    }

    /** The number of its zone. */
    int zone() {
        return Math.max(0, listed.zone());
    }

    boolean isReady() {
        return isListed && listed.state() == Balancer.State.READY;
    }
}
