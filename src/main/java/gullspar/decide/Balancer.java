package gullspar.decide;

import java.util.List;

/**
 * The interface of the decision module: its settings, the events it receives and the actions it can take.
 * One instance serves one proxy and has no thread, clock or I/O of its own; the host calls it from one
 * thread at a time with a monotonic clock, in nanoseconds from any origin. Tickets and server ids are opaque
 * 32-bit values; the sign has no meaning.
 */
public interface Balancer {

    /** Whether a request of a class may run more than once. */
    enum Effect {
        /** It may run any number of times. */
        IDEMPOTENT,
        /** The servers drop its repeats, within a scope and for a limited time. */
        DEDUPLICATED,
        /** It must not be repeated once an attempt may have run. */
        AT_MOST_ONCE
    }

    /** The servers among which repeats of a DEDUPLICATED request are dropped. */
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

    /** Kind of a list event: changes only, a complete list, a cached complete list, or a failed call. */
    enum ListKind {
        DELTA,
        FULL,
        CACHED,
        FAILED
    }

    /** Outcome of an attempt. The wire protocol of the simulator identifies the constants by position. */
    enum Status {
        /** The server answered with an error, or with an answer that cannot be used. */
        ERROR(false),
        OK(false),
        /** The server had no room and rejected the request. */
        FULL(true),
        /** No answer came within the timeout of the attempt or the client's. */
        TIMEOUT(false),
        /** No connection was made, or it failed before the request was sent. */
        CONNECT_FAILED(true),
        /** The connection failed after the request was sent. */
        RESET(false),
        /** The attempt was cancelled after it was sent. */
        CANCELLED(false),
        /** The attempt was not sent, or any server would reject the request; no evidence about the server. */
        MOOT(true);

        /** True if this outcome proves that the attempt never ran; for FULL only unless fullMayHaveRun is set. */
        public final boolean neverRan;

        Status(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /**
     * A class of request. worth is the relative value of an answer within the latency target, and lateShare the
     * share of it that a later answer earns. clientTimeoutNs is the time after which a client gives up on a first
     * try. windowNs is how long a repeat of a DEDUPLICATED request is dropped within its scope. streamed: answers
     * are streamed. Requests of all sequential classes with one key run one at a time, in order of arrival.
     * maxAttempts 0 uses the limit of the settings; attemptTimeoutNs 0 sets no timeout for a single attempt.
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
                long latencyTargetNs,
                long clientTimeoutNs,
                double worth,
                double lateShare,
                boolean streamed,
                boolean sequential) {
            this(
                    effect,
                    scope,
                    windowNs,
                    latencyTargetNs,
                    clientTimeoutNs,
                    worth,
                    lateShare,
                    streamed,
                    sequential,
                    0,
                    0);
        }

        /** A copy with another limit on attempts. */
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
     * Settings of the deployment. listOnRequest: the module has to subscribe to the list, and must repeat an
     * unanswered call within refreshWithinNs; otherwise the host delivers the list unasked. canCancel: the host can
     * cancel open attempts. maxRetryAfterNs is the time that refused clients are advised to wait, 0 for no
     * advice. startCapacity is the share of its capacity that a server has at its start; it has all of it after
     * coldStartNs. No server may be sent more than overloadMultiple times its current capacity in overloadWindowNs.
     * clockStepNs is the resolution of the host's clock and timers. crossZonePrice, the price of a send to another
     * zone, is a fraction of the worth. fullMayHaveRun: FULL does not prove that an attempt never ran.
     * sequentialGapNs: how long a key is blocked after an attempt that may still be running. usesListWeights: while
     * no server reports its load, requests follow the weights of the list, and latency targets are upper limits, not
     * typical response times.
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
                long sequentialGapNs) {
            this(
                    proxyIndex,
                    proxyCount,
                    zone,
                    profiles,
                    listOnRequest,
                    canCancel,
                    maxAttempts,
                    maxRetryAfterNs,
                    startCapacity,
                    coldStartNs,
                    overloadMultiple,
                    overloadWindowNs,
                    refreshWithinNs,
                    clockStepNs,
                    crossZonePrice,
                    fullMayHaveRun,
                    sequentialGapNs,
                    false);
        }
    }

    /**
     * A server in the list. kind, cell and zone are numbers; startedAtNs is its last start on the module's clock, 0 if
     * long ago; weight is its share of the requests relative to the other servers, used with usesListWeights.
     */
    record ListedServer(int id, int kind, State state, long startedAtNs, int cell, int zone, double weight) {}

    /**
     * A request. profile is the index of its class; key 0 is no key; timeLeftNs is the time until the client gives up;
     * workHintNs 0 is no hint; ageNs is how long it may have waited since its client sent it, unread or queued behind
     * another.
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
        /** A request that did not wait before it was read. */
        public Request(
                int ticket, int profile, int tenant, long key, long timeLeftNs, long workHintNs, boolean isRepeat) {
            this(ticket, profile, tenant, key, timeLeftNs, workHintNs, isRepeat, 0);
        }
    }

    /**
     * A load report of a server; NaN for each value that is not reported. inflight: requests received and not yet
     * answered; queued: those of them that wait; utilization: 0 to 1; recentMs: recent service time.
     */
    record Report(
            double inflight,
            double queued,
            double utilization,
            double recentMs,
            double requestsPerSecond,
            double errorsPerSecond) {}

    /** The end of an attempt, elapsedNs after its start. isFinal: the request is finished. report may be null. */
    record Outcome(
            int ticket, int attempt, int server, Status status, long elapsedNs, boolean isFinal, Report report) {}

    /** Creates the balancer of one proxy. */
    interface Factory {
        Balancer create(Settings settings, long seed, long now, Actions actions);
    }

    /** Actions of the module. Each takes effect at once, in the order called. */
    interface Actions {
        /** Starts an attempt, numbered 0, 1, 2... per ticket; timeoutNs 0 lasts until the client gives up. */
        void send(int ticket, int server, long timeoutNs);

        /**
         * The same with a limit on when the attempt may start: it is sent within withinNs from now, including
         * the time to connect, or ends as MOOT. Long.MAX_VALUE is no limit. A host that sends attempts
         * immediately can ignore it.
         */
        default void send(int ticket, int server, long timeoutNs, long withinNs) {
            send(ticket, server, timeoutNs);
        }

        /** Final answer: refused, safe to repeat; retryAfterNs 0 gives no advice on when. */
        void refuse(int ticket, long retryAfterNs);

        /** Final answer: failed; the request may or may not have taken effect. */
        void fail(int ticket);

        /** Cancels an open attempt; its outcome is still delivered. */
        void cancel(int ticket, int attempt);

        /** Requests a call of onTimer with this token at this time of the module's clock; timers are not cancelled. */
        void setTimer(long atNs, long token);

        /** Sends a health check; the result is delivered to onProbeResult. */
        void probe(int server);

        /** Closes the idle connections to a server. */
        void closeIdleConnections(int server);

        /** Sends a message to another proxy. */
        void sendToPeer(int peer, byte[] message);

        void log(String line);

        /** Starts or ends the subscription to the list; each start requests the complete list. */
        void subscribe(boolean on);

        /** Requests the complete list once. */
        void requestList();
    }

    /** A list event from discovery, in order; servers is empty for FAILED. */
    void onServerList(long now, ListKind kind, long version, List<ListedServer> servers);

    void onRequest(long now, Request request);

    /** A streamed answer has started: the attempt no longer has a timeout or deadline. */
    void onStreamStarted(long now, int ticket, int attempt, int server, long elapsedNs);

    void onOutcome(long now, Outcome outcome);

    /** A response that is reported as OK is still being received from its server, which it occupies. */
    default void onResponseOpened(long now, int ticket, int server) {}

    /** That response has ended; ignored unless it was reported as opened. */
    default void onResponseClosed(long now, int ticket) {}

    /** The client has disconnected; no answer is needed. */
    void onClientDisconnected(long now, int ticket);

    void onTimer(long now, long token);

    /** Replaces the list of classes; classes already known keep their indexes. */
    default void onProfiles(List<Profile> profiles) {
        throw new UnsupportedOperationException("this balancer does not support adding request classes after start");
    }

    /** Number of listed servers that currently get no new requests, for operators. */
    default int avoidedServers() {
        return 0;
    }

    /** The result of a probe; ignored by a module that sends none. */
    default void onProbeResult(long now, int server, Status status, long elapsedNs, Report report) {}

    /** A message from another proxy; ignored by a module that shares no state. */
    default void onPeerMessage(long now, int peer, byte[] message) {}
}
