package gullspar.decide;

/** What a proxy knows of one server. State only, no decision. */
final class Server {
    final int id;
    Balancer.Member listed;
    /** Time of a request when warm: as used, as its own answers tell, and how many of them count. */
    double pace, ownPace, seen;
    /** The reported spare share, the factor made of it, the rotation's tally. */
    double spare = 1, factor, tally;
    /** The last report; the others' requests by it, how fresh that is, and what is held of them now. */
    double util, held, heard, fresh, others;
    /** Requests that run side by side without slowing each other: the requests above count in these. */
    double parallel, rate, busy, told;

    double tokens;
    final long bootNs;
    /** When a connection to it failed last; 0 for never. */
    long refusedAt;

    long renewedAt, learntAt, owedSince, trialAt, trialPause, tokensAt;
    int out, failures;
    boolean named, ejected, fit, blind;
    /** Place in this proxy's order of the zone's servers, 0 to 1: the subset is those under its width. */
    double place;

    Server(Balancer.Member listed, double pace, double parallel, long now) {
        this.id = listed.id();
        this.listed = listed;
        this.bootNs = listed.bootNs();
        this.pace = pace;
        this.parallel = parallel;
        this.tokensAt = now;
    }

    double load() {
        return out / parallel + others;
    }

    /** The number of its zone. */
    int zone() {
        return Math.max(0, listed.zone());
    }

    boolean ready() {
        return named && listed.state() == Balancer.State.READY;
    }
}
