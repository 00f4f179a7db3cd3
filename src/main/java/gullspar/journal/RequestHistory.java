package gullspar.journal;

import gullspar.journal.Entry.AttemptOutcome;
import gullspar.journal.Entry.RequestOutcome;
import java.util.ArrayList;
import java.util.List;

/** What the journal tells of one request: whatever may have run is uncertain until it is known. */
public final class RequestHistory {
    /**
     * NEVER_SENT: nothing of it went out. UNCERTAIN: it may have run, and nobody was told how it ended.
     * SERVED: a node ran it. REFUSED: a repeat is harmless. FAILED: its client was told that it failed; it
     * may
     * have run all the same.
     */
    public enum State {
        NEVER_SENT,
        UNCERTAIN,
        SERVED,
        REFUSED,
        FAILED
    }

    /** An attempt; the outcome is null while nobody knows it, the node empty where its intent was lost. */
    public record Attempt(int number, String node, String site, long atMs, AttemptOutcome outcome) {
        /** Nobody has proven that it did not run. */
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

    /** Records are lost that may have been its own. */
    void markRecordsLost() {
        hasLostRecords = true;
    }

    /** Its final answer is known: what comes later cannot be of it. */
    boolean isClosed() {
        return outcome != null;
    }

    public Entry.Request request() {
        return request;
    }

    /** Null where that record is lost. */
    public Entry.Accepted accepted() {
        return accepted;
    }

    /** In the order in which they were last heard of. */
    public List<Attempt> attempts() {
        return List.copyOf(attempts);
    }

    /** Null while there is none. */
    public RequestOutcome outcome() {
        return outcome;
    }

    /** When it was answered, Unix time in ms; 0 while it is not. */
    public long completedAtMs() {
        return completedAtMs;
    }

    /** Records are lost that may have been its own. */
    public boolean hasLostRecords() {
        return hasLostRecords;
    }

    /** May it have run? Also where records are lost that could tell. */
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
