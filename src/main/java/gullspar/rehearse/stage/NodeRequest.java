package gullspar.rehearse.stage;

import gullspar.rehearse.stage.Try.Attempt;

/** A request that a node has whole, from then to its end. */
final class NodeRequest {
    private final NodeConnection connection;
    private final Try request;
    private final Attempt attempt;
    /** When its sender stops waiting. */
    private final long until;

    private Machine.Job job;
    private boolean repeat;

    NodeRequest(NodeConnection connection, Try request, Attempt attempt, long until) {
        this.connection = connection;
        this.request = request;
        this.attempt = attempt;
        this.until = until;
    }

    Order order() {
        return request.order;
    }

    String id() {
        return request.id;
    }

    boolean repeat() {
        return repeat;
    }

    boolean running() {
        return job.running();
    }

    /** Would nobody wait for its answer any more? */
    boolean late(long now) {
        return now > until;
    }

    /** It has a place; a repeat takes no effect. */
    void taken(Machine.Job work, boolean isRepeat) {
        job = work;
        repeat = isRepeat;
        attempt.state = Attempt.State.WAITS;
    }

    void started(long now) {
        attempt.startedAt = now;
        attempt.state = repeat ? Attempt.State.REPEAT : Attempt.State.RUNS;
    }

    /** Turns it away, with the word that it was not started. */
    void turnAway(int status) {
        attempt.state = Attempt.State.TURNED_AWAY;
        attempt.endedAt = connection.turnAway(status);
    }

    /** Is it in the node's hands? */
    boolean held() {
        return job != null && attempt.endedAt == 0;
    }

    /** It is dropped; returns its work. */
    Machine.Job dropped(long now) {
        attempt.state = Attempt.State.DROPPED;
        attempt.endedAt = now;
        return job;
    }

    /** Its work is done: it has taken effect, and its answer goes out if anybody is there. */
    void done(long now) {
        attempt.endedAt = now;
        attempt.state = repeat ? Attempt.State.REPEAT : Attempt.State.SERVED;
        if (!repeat) {
            request.order.effects++;
        }
        if (connection.answer(this)) {
            attempt.state = Attempt.State.FAILED;
        }
    }
}
