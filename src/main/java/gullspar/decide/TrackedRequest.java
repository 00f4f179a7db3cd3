package gullspar.decide;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** A request in progress, kept until its last attempt has ended; makes no decision. */
final class TrackedRequest {
    final Balancer.Request request;
    final Balancer.Profile profile;
    /** Time after which its answer would miss the latency target. */
    final long usefulUntil;
    /** When its client gives up. */
    final long deadline;

    final List<Attempt> attempts = new ArrayList<>(2);
    int openAttempts;
    boolean isFinished;
    boolean isStreaming;
    /** The client disconnected while an answer would still have been in time. */
    boolean clientLeftEarly;

    /** The queue of its key; null if its class is not sequential or it has no key. */
    KeyQueue keyQueue;

    TrackedRequest(Balancer.Request request, Balancer.Profile profile, long usefulUntil, long deadline) {
        this.request = request;
        this.profile = profile;
        this.usefulUntil = usefulUntil;
        this.deadline = deadline;
    }

    /** An attempt; loadAhead is the server's load when it was sent, and status is null while it is open. */
    static final class Attempt {
        final Server server;
        /** The list's entry of the server when it was sent, whose zone and cell restrict repeats. */
        final Balancer.ListedServer listedAs;

        final double loadAhead;
        final long sentAt;
        Balancer.Status status;

        Attempt(Server server, double loadAhead, long sentAt) {
            this.server = server;
            this.listedAs = server.listed;
            this.loadAhead = loadAhead;
            this.sentAt = sentAt;
        }
    }

    /** The sequential requests of one key in order, and until when the key is blocked. */
    static final class KeyQueue {
        final Deque<TrackedRequest> requests = new ArrayDeque<>();
        long blockedUntil;
    }
}
