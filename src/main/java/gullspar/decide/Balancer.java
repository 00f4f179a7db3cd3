package gullspar.decide;

import java.util.List;

/**
 * The whole interface of the decision module: what it is told at the start, the events that it hears and the
 * actions that it may take. One instance serves one proxy. It keeps no thread, no clock and no I/O of its
 * own; the host calls it from one thread at a time with a clock that never goes back, in nanoseconds from
 * any origin. Tickets and server ids are opaque 32-bit values; the sign means nothing.
 */
public interface Balancer {

    /** May a request of a class run twice? */
    enum Effect {
        IDEMPOTENT,
        DEDUPLICATED,
        AT_MOST_ONCE
    }

    /** Which servers drop repeats of a DEDUPLICATED request. */
    enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** State of a server in the list. */
    enum State {
        GONE,
        READY,
        DRAINING
    }

    /** What a list event is: changes only, a whole list, the whole list as cached, or a failed call. */
    enum ListKind {
        DELTA,
        FULL,
        CACHED,
        FAILED
    }

    /** How an attempt ended. */
    enum Status {
        ERROR(false),
        OK(false),
        FULL(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        MOOT(true);

        /** True if this outcome proves that the attempt never ran; FULL unless the settings deny it. */
        public final boolean neverRan;

        Status(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /**
     * A class of request. Times in ns; lateShare is the share of the worth for an answer after the promise;
     * windowNs is how long a repeat of a DEDUPLICATED request is dropped within its scope. Requests of all
     * sequential classes with one key run one at a time, in the order taken. attempts: so many at the most, 0
     * for what the settings say; attemptNs: the longest that one may take, 0 for no limit of its own.
     */
    record Profile(
            Effect effect,
            Scope scope,
            long windowNs,
            long latencyTargetNs,
            long clientTimeoutNs,
            double worth,
            double lateShare,
            boolean streamed,
            boolean sequential,
            int maxAttempts,
            long attemptTimeoutNs) {
        public Profile(
                Effect effect,
                Scope scope,
                long windowNs,
                long promiseNs,
                long giveUpNs,
                double worth,
                double lateShare,
                boolean streamed,
                boolean sequential) {
            this(effect, scope, windowNs, promiseNs, giveUpNs, worth, lateShare, streamed, sequential, 0, 0);
        }

        /** The same with so many attempts at the most. */
        public Profile withMaxAttempts(int maxAttempts) {
            return new Profile(
                    effect,
                    scope,
                    windowNs,
                    latencyTargetNs,
                    clientTimeoutNs,
                    worth,
                    lateShare,
                    streamed,
                    sequential,
                    maxAttempts,
                    attemptTimeoutNs);
        }
    }

    /**
     * What the deployment states at the start. Times in ns, the price as a fraction of the result.
     * fullIsNoProof: FULL does not prove that an attempt never ran. turnGapNs: how long a key rests after an
     * attempt that may still be running. listWeights: while no server reports its load, requests follow the
     * weights of the list, and the promises are limits rather than what is usual.
     */
    record Settings(
            int proxyIndex,
            int proxyCount,
            int zone,
            List<Profile> profiles,
            boolean listOnRequest,
            boolean canCancel,
            int maxAttempts,
            long maxRetryAfterNs,
            double startCapacity,
            long coldStartNs,
            double overloadMultiple,
            long overloadWindowNs,
            long refreshWithinNs,
            long clockStepNs,
            double crossZonePrice,
            boolean fullMayHaveRun,
            long sequentialGapNs,
            boolean usesListWeights) {
        public Settings {
            profiles = List.copyOf(profiles);
        }

        public Settings(
                int me,
                int balancers,
                int zone,
                List<Profile> profiles,
                boolean askForList,
                boolean mayCancel,
                int maxAttempts,
                long maxRetryAfterNs,
                double startCapacity,
                long coldNs,
                double tipMultiple,
                long fallNs,
                long askWithinNs,
                long stepNs,
                double crossZonePrice,
                boolean fullIsNoProof,
                long turnGapNs) {
            this(
                    me,
                    balancers,
                    zone,
                    profiles,
                    askForList,
                    mayCancel,
                    maxAttempts,
                    maxRetryAfterNs,
                    startCapacity,
                    coldNs,
                    tipMultiple,
                    fallNs,
                    askWithinNs,
                    stepNs,
                    crossZonePrice,
                    fullIsNoProof,
                    turnGapNs,
                    false);
        }
    }

    /** A server as listed. bootNs is when it last started, by the clock of now; 0 for long ago. */
    record ListedServer(int id, int kind, State state, long startedAtNs, int cell, int zone, double weight) {}

    /**
     * A request; key 0 is none; leftNs is the time until the client abandons it; hintNs 0 is no hint. ageNs:
     * how long it may have waited since its client sent it, unread or in line behind another.
     */
    record Request(
            int ticket,
            int profile,
            int tenant,
            long key,
            long timeLeftNs,
            long workHintNs,
            boolean isRepeat,
            long ageNs) {
        /** One that is told of as it is sent. */
        public Request(int ticket, int profile, int tenant, long key, long leftNs, long hintNs, boolean repeat) {
            this(ticket, profile, tenant, key, leftNs, hintNs, repeat, 0);
        }
    }

    /** A load report; NaN for each value that the servers do not report. */
    record Report(
            double inflight,
            double queued,
            double utilization,
            double recentMs,
            double requestsPerSecond,
            double errorsPerSecond) {}

    /** How an attempt ended; over: the request is finished; report may be null. */
    record Outcome(
            int ticket, int attempt, int server, Status status, long elapsedNs, boolean isFinal, Report report) {}

    /** Makes the balancer of one proxy. */
    interface Factory {
        Balancer create(Settings settings, long seed, long now, Actions actions);
    }

    /** What the module may do. All take effect at once, in the order called. */
    interface Actions {
        /** Starts an attempt, numbered 0, 1, 2... per ticket; timeoutNs 0 is until the client gives up. */
        void send(int ticket, int server, long timeoutNs);

        /**
         * The same where the rules bind a repeat to a time: it goes out within so long from now, though a
         * connection may have to be made first, or ends as MOOT; Long.MAX_VALUE for whenever it may be. A
         * host whose attempts go out at once need not look.
         */
        default void send(int ticket, int server, long timeoutNs, long withinNs) {
            send(ticket, server, timeoutNs);
        }

        /** Final answer: refused, and harmless to try again; retryInNs 0 is no advice. */
        void refuse(int ticket, long retryAfterNs);

        /** Final answer: failed, with no promise about the effect. */
        void fail(int ticket);

        void cancel(int ticket, int attempt);

        void setTimer(long atNs, long token);

        void probe(int server);

        /** Closes the idle connections to a server. */
        void closeIdleConnections(int server);

        void sendToPeer(int peer, byte[] message);

        void log(String line);

        void subscribe(boolean on);

        /** Asks for the whole list once. */
        void requestList();
    }

    /** Discovery news, in order; members is empty for FAILED. */
    void onServerList(long now, ListKind kind, long version, List<ListedServer> servers);

    void onRequest(long now, Request request);

    /** A streamed answer has begun: the attempt is the client's, no time-out or deadline counts any more. */
    void onStreamStarted(long now, int ticket, int attempt, int server, long elapsedNs);

    void onOutcome(long now, Outcome outcome);

    /** The client has left; no answer is owed. */
    void onClientDisconnected(long now, int ticket);

    void onTimer(long now, long token);

    /** Classes of requests that come later: the whole list, in which those known keep their places. */
    default void onProfiles(List<Profile> profiles) {
        throw new UnsupportedOperationException("this module knows its classes from the start");
    }

    /** Listed servers that get nothing new now, as an operator is told. */
    default int avoidedServers() {
        return 0;
    }

    /** The result of a probe; not heard by a module that sends none. */
    default void onProbeResult(long now, int server, Status status, long elapsedNs, Report report) {}

    /** A message of another proxy; not heard by a module that shares nothing. */
    default void onPeerMessage(long now, int peer, byte[] message) {}
}
