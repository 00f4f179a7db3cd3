package gullspar.journal;

import gullspar.journal.Entry.AttemptOutcome;
import gullspar.journal.Entry.RequestOutcome;
import java.util.ArrayList;
import java.util.List;

/** What the journal shows of one request: an attempt that may have run is uncertain until its outcome is known. */
public final class RequestHistory {
    /**
     * NEVER_SENT: nothing of it was sent. UNCERTAIN: it may have run, and its client was not notified of the
     * outcome. SERVED: a node ran it. REFUSED: a repeat is harmless. FAILED: its client got a failure, but it
     * may have run.
     */
    public enum State {
        NEVER_SENT,
        UNCERTAIN,
        SERVED,
        REFUSED,
        FAILED
    }

    /** An attempt; the outcome is null while unknown, the node empty where its intent was lost. */
    public record Attempt(int number, String node, String site, long atMs, AttemptOutcome outcome) {
        /** Whether it is not proven that the attempt did not run. */
        public boolean mayHaveRun() {
            return outcome != AttemptOutcome.NEVER_RAN;
        }
    }

    private final Entry.Request request;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private Entry.Accepted accepted;
    private RequestOutcome outcome;
    private long completedAtMs;
    private boolean hasLostRecords;

    RequestHistory(Entry.Request request) {
        this.request = request;
    }

    void add(Entry e) {
        if (e instanceof Entry.Accepted t) {
            accepted = t;
        } else if (e instanceof Entry.Intent i) {
            putAttempt(new Attempt(i.attempt(), i.node(), i.site(), i.atMs(), outcomeOf(i.attempt())));
        } else if (e instanceof Entry.AttemptEnded d) {
            Attempt a = attempts.stream()
                    .filter(x -> x.number() == d.attempt())
                    .findFirst()
                    .orElse(new Attempt(d.attempt(), "", "", d.atMs(), null));
            putAttempt(new Attempt(a.number(), a.node(), a.site(), a.atMs(), d.outcome()));
        } else if (e instanceof Entry.Completed a) {
            outcome = a.outcome();
            completedAtMs = a.atMs();
        }
    }

    private AttemptOutcome outcomeOf(int number) {
        return attempts.stream()
                .filter(a -> a.number() == number)
                .map(Attempt::outcome)
                .findFirst()
                .orElse(null);
    }

    private void putAttempt(Attempt a) {
        attempts.removeIf(x -> x.number() == a.number());
        attempts.add(a);
    }

    /** Marks that records were lost that may have belonged to this request. */
    void markRecordsLost() {
        hasLostRecords = true;
    }

    /** Whether the final outcome is known: records lost later cannot belong to this request. */
    boolean isClosed() {
        return outcome != null;
    }

    public Entry.Request request() {
        return request;
    }

    /** Null if that record is lost. */
    public Entry.Accepted accepted() {
        return accepted;
    }

    /** In the order of their last entries. */
    public List<Attempt> attempts() {
        return List.copyOf(attempts);
    }

    /** Null while there is no final outcome. */
    public RequestOutcome outcome() {
        return outcome;
    }

    /** When the final response was given, Unix time in ms; 0 while there is none. */
    public long completedAtMs() {
        return completedAtMs;
    }

    /** Whether records were lost that may have belonged to this request. */
    public boolean hasLostRecords() {
        return hasLostRecords;
    }

    /** Whether it may have run; also true where records that could show it were lost. */
    public boolean mayHaveRun() {
        return outcome != RequestOutcome.REFUSED
                && (hasLostRecords || accepted == null || attempts.stream().anyMatch(Attempt::mayHaveRun));
    }

    public State state() {
        if (outcome == RequestOutcome.SERVED || attempts.stream().anyMatch(a -> a.outcome() == AttemptOutcome.SERVED)) {
            return State.SERVED;
        }
        if (outcome == RequestOutcome.REFUSED) {
            return State.REFUSED;
        }
        if (outcome == RequestOutcome.FAILED) {
            return State.FAILED;
        }
        return mayHaveRun() ? State.UNCERTAIN : State.NEVER_SENT;
    }
}
