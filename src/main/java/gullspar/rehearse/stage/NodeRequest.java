package gullspar.rehearse.stage;

import gullspar.rehearse.stage.ClientRequest.Attempt;

/** A request that a node has received completely, until its end. */
final class NodeRequest {
    private final NodeConnection connection;
    private final ClientRequest request;
    private final Attempt attempt;
    /** When the sender stops waiting. */
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

    /** Whether the sender no longer waits for the response. */
    boolean isExpired(long now) {
        return now > deadline;
    }

    /** Records the admission; a repeat has no effect. */
    void admitted(CpuModel.Job admittedJob, boolean repeatDetected) {
        job = admittedJob;
        isRepeat = repeatDetected;
        attempt.state = Attempt.State.WAITS;
    }

    void started(long now) {
        attempt.startedAt = now;
        attempt.state = isRepeat ? Attempt.State.REPEAT : Attempt.State.RUNS;
    }

    /** Rejects it with a response that states that it was not started. */
    void reject(int status) {
        attempt.state = Attempt.State.TURNED_AWAY;
        attempt.endedAt = connection.reject(status);
    }

    /** Whether it was admitted and has not ended. */
    boolean isHeld() {
        return job != null && attempt.endedAt == 0;
    }

    /** Marks it as dropped; returns its job. */
    CpuModel.Job drop(long now) {
        attempt.state = Attempt.State.DROPPED;
        attempt.endedAt = now;
        return job;
    }

    /** Records its effect when the work is done, and responds if the connection is open. */
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
