package gullspar.decide;

/** A proxy's state for one server; makes no decision. */
final class Server {
    final int id;
    Balancer.ListedServer listed;
    /** Service time when warm: as used, from its own answers, and the number of samples behind that. */
    double serviceNs, ownServiceNs, serviceSamples;
    /** The reported spare share, the factor derived from it, the credit in the rotation. */
    double spareShare = 1, factor, rotationCredit;
    /** The last report; the load of other proxies in it, its freshness, and the current estimate of that load. */
    double reportedUtilization, reportedRequests, reportedForeignLoad, reportFreshness, foreignLoad;
    /** Requests that run concurrently without slowing each other, the unit of the loads above, and its inputs. */
    double concurrency, meanThroughput, meanUtilization, reportedThroughput;

    double tokens;
    final long startedAtNs;
    /** When a connection to it last failed; 0 for never. */
    long connectFailedAt;

    long factorUpdatedAt, serviceUpdatedAt, awaitingSince, nextTrialAt, trialPauseNs, tokensUpdatedAt;
    int openAttempts, consecutiveFailures;
    boolean isListed, isEjected, isEligible, lacksInflight;
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
        return openAttempts / concurrency + foreignLoad;
    }

    int zone() {
        return Math.max(0, listed.zone());
    }

    boolean isReady() {
        return isListed && listed.state() == Balancer.State.READY;
    }
}
