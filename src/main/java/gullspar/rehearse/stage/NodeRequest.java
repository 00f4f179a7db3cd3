package gullspar.rehearse.stage;

import gullspar.rehearse.stage.ClientRequest.Attempt;

/** A request that a node has whole, from then to its end. */
final class NodeRequest {
    private final NodeConnection connection;
    private final ClientRequest request;
    private final Attempt attempt;
    /** When its sender stops waiting. */
    private final long deadline;

    private CpuModel.Job job;
    private boolean isRepeat;

    NodeRequest(NodeConnection connection, ClientRequest request, Attempt attempt, long deadline) {
        this.connection = connection;
        this.request = request;
        this.attempt = attempt;
        this.deadline = deadline;
    }

    Order order() {
        return request.order;
    }

    String id() {
        return request.id;
    }

    boolean isRepeat() {
        return isRepeat;
    }

    boolean isRunning() {
        return job.isRunning();
    }

    /** Would nobody wait for its answer any more? */
    boolean isExpired(long now) {
        return now > deadline;
    }

    /** It has a place; a repeat takes no effect. */
    void admitted(CpuModel.Job admittedJob, boolean repeatDetected) {
        job = admittedJob;
        isRepeat = repeatDetected;
        attempt.state = Attempt.State.WAITS;
    }

    void started(long now) {
        attempt.startedAt = now;
        attempt.state = isRepeat ? Attempt.State.REPEAT : Attempt.State.RUNS;
    }

    /** Turns it away, with the word that it was not started. */
    void reject(int status) {
        attempt.state = Attempt.State.TURNED_AWAY;
        attempt.endedAt = connection.reject(status);
    }

    /** Is it in the node's hands? */
    boolean isHeld() {
        return job != null && attempt.endedAt == 0;
    }

    /** It is dropped; returns its work. */
    CpuModel.Job drop(long now) {
        attempt.state = Attempt.State.DROPPED;
        attempt.endedAt = now;
        return job;
    }

    /** Its work is done: it has taken effect, and its answer goes out if anybody is there. */
    void complete(long now) {
        attempt.endedAt = now;
        attempt.state = isRepeat ? Attempt.State.REPEAT : Attempt.State.SERVED;
        if (!isRepeat) {
            request.order.effects++;
        }
        if (connection.respond(this)) {
            attempt.state = Attempt.State.FAILED;
        }
    }
}
