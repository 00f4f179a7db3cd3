package gullspar.rehearse.stage;

import java.util.ArrayList;
import java.util.List;

/**
 * One request of a client, as the client and the nodes saw it. Times in ns on the day's clock, 0 for never.
 */
public final class ClientRequest {
    /** How it ended for its client. */
    public enum Ending {
        OPEN,
        ANSWERED,
        GIVEN_UP,
        LEFT,
        CLOSED,
        NOT_TAKEN
    }

    public final Order order;
    public final String id;
    public String proxy = "";
    public final long deadline;
    public long sentAt;
    /** When the proxy sent its answer, and when that was whole at the client. */
    public long respondedAt;

    public long endedAt;
    public int status;
    public Ending ending = Ending.OPEN;
    /** The first request on its connection? */
    public boolean firstOnConnection;
    /** Sent once more, since its connection was closed as it came. */
    public boolean resent;
    /** An answer that is not what a node made for it, or one too many; null if there was none. */
    public String responseError;

    public final List<Attempt> attempts = new ArrayList<>(1);

    ClientRequest(Order order, String id, long deadline) {
        this.order = order;
        this.id = id;
        this.deadline = deadline;
    }

    /** One attempt of a proxy for it, as its node saw it. */
    public static final class Attempt {
        /** What became of it at the node. */
        public enum State {
            PART,
            WAITS,
            RUNS,
            SERVED,
            TURNED_AWAY,
            DROPPED,
            FAILED,
            REPEAT
        }

        public final String node;
        public final String site;
        public final long sentAt;
        public long receivedAt;
        public long startedAt;
        public long endedAt;
        /** The time that the proxy gave it, in ns; MAX_VALUE where it said none. */
        public long timeoutNs = Long.MAX_VALUE;

        public State state = State.PART;

        Attempt(String node, String site, long sentAt) {
            this.node = node;
            this.site = site;
            this.sentAt = sentAt;
        }

        /** Its last byte has come and the node never said that it did not start: it may have run. */
        public boolean mayHaveRun() {
            return receivedAt != 0 && state != State.TURNED_AWAY;
        }
    }
}
