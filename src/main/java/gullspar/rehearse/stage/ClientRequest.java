package gullspar.rehearse.stage;

import java.util.ArrayList;
import java.util.List;

/**
 * One request of a client, as the client and the nodes saw it. Times are in ns on the day's clock, 0 for never.
 */
public final class ClientRequest {
    /** How the request ended for its client. */
    public enum Ending {
        /** It has not ended. */
        OPEN,
        /** The client received a complete response, of any status. */
        ANSWERED,
        /** The client's time-out expired. */
        GIVEN_UP,
        /** The client closed the connection before its time-out. */
        LEFT,
        /** The proxy closed the connection without a complete response. */
        CLOSED,
        /** No proxy accepted a connection in time; nothing was sent. */
        NOT_TAKEN
    }

    public final Order order;
    public final String id;
    public String proxy = "";
    public final long deadline;
    public long sentAt;
    /** When the proxy sent its response; {@link #endedAt} is when the client had received all of it. */
    public long respondedAt;

    public long endedAt;
    public int status;
    public Ending ending = Ending.OPEN;
    /** Whether it was the first request on its connection. */
    public boolean firstOnConnection;
    /** Whether it was resent because the proxy closed the idle connection while the request was under way. */
    public boolean resent;
    /** An error in the response: no node made it for this request, or there was a second one; null if none. */
    public String responseError;

    public final List<Attempt> attempts = new ArrayList<>(1);

    ClientRequest(Order order, String id, long deadline) {
        this.order = order;
        this.id = id;
        this.deadline = deadline;
    }

    /** One attempt of the proxy for this request, as the node saw it. */
    public static final class Attempt {
        /** The state of the attempt at the node. */
        public enum State {
            /** Not received completely, or not admitted yet. */
            PART,
            /** Admitted, and in the queue for a slot. */
            WAITS,
            RUNS,
            SERVED,
            /** Rejected with a response that states that it was not started. */
            TURNED_AWAY,
            /** Removed because the sender closed the connection. */
            DROPPED,
            /** Executed, but the response was faulty. */
            FAILED,
            /** Detected as a repeat: it runs, or has ended, without an effect. */
            REPEAT
        }

        public final String node;
        public final String site;
        public final long sentAt;
        public long receivedAt;
        public long startedAt;
        public long endedAt;
        /** The time-out that the proxy sent along; MAX_VALUE if it sent none. */
        public long timeoutNs = Long.MAX_VALUE;

        public State state = State.PART;

        Attempt(String node, String site, long sentAt) {
            this.node = node;
            this.site = site;
            this.sentAt = sentAt;
        }

        /** Whether its last byte arrived and the node did not report it as not started. */
        public boolean mayHaveRun() {
            return receivedAt != 0 && state != State.TURNED_AWAY;
        }
    }
}
