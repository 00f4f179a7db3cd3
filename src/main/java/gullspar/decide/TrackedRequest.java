package gullspar.decide;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** A request that a proxy has taken, kept until its last attempt has ended. State only, no decision. */
final class TrackedRequest {
    final Balancer.Request request;
    final Balancer.Profile profile;
    /** When its answer stops earning anything, and when its client leaves. */
    final long usefulUntil;

    final long deadline;
    final List<Attempt> attempts = new ArrayList<>(2);
    int openAttempts;
    boolean isFinished;
    boolean isStreaming;
    /** Its client left while an answer would still have been in time. */
    boolean clientLeftEarly;

    /** The queue of its key; null where the order of requests is free. */
    KeyQueue keyQueue;

    TrackedRequest(Balancer.Request request, Balancer.Profile profile, long aim, long deadline) {
        this.request = request;
        this.profile = profile;
        this.usefulUntil = aim;
        this.deadline = deadline;
    }

    /** One attempt; ahead is the load that the server had when it was sent, ended is null while it is out. */
    static final class Attempt {
        final Server server;
        /** The server as it was listed then: a repeat is bound to the group of that moment. */
        final Balancer.ListedServer listedAs;

        final double loadAhead;
        final long sentAt;
        Balancer.Status status;

        Attempt(Server to, double ahead, long sentAt) {
            this.server = to;
            this.listedAs = to.listed;
            this.loadAhead = ahead;
            this.sentAt = sentAt;
        }
    }

    /** The requests of one key that must keep their order, and until when the key rests. */
    static final class KeyQueue {
        final Deque<TrackedRequest> requests = new ArrayDeque<>();
        long blockedUntil;
    }
}
