package gullspar.journal;

import gullspar.journal.Entry.Answer;
import gullspar.journal.Entry.Outcome;
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
    public record Attempt(int number, String node, String site, long atMs, Outcome outcome) {
        /** Nobody has proven that it did not run. */
        public boolean mayHaveRun() {
            return outcome != Outcome.NEVER_RAN;
        }
    }

    private final Entry.Request request;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private Entry.Taken taken;
    private Answer answer;
    private long answeredAtMs;
    private boolean doubtful;

    RequestHistory(Entry.Request request) {
        this.request = request;
    }

    void add(Entry e) {
        if (e instanceof Entry.Taken t) {
            taken = t;
        } else if (e instanceof Entry.Intent i) {
            put(new Attempt(i.attempt(), i.node(), i.site(), i.atMs(), known(i.attempt())));
        } else if (e instanceof Entry.Ended d) {
            Attempt a = attempts.stream()
                    .filter(x -> x.number() == d.attempt())
                    .findFirst()
                    .orElse(new Attempt(d.attempt(), "", "", d.atMs(), null));
            put(new Attempt(a.number(), a.node(), a.site(), a.atMs(), d.outcome()));
        } else if (e instanceof Entry.Answered a) {
            answer = a.answer();
            answeredAtMs = a.atMs();
        }
    }

    private Outcome known(int number) {
        return attempts.stream()
                .filter(a -> a.number() == number)
                .map(Attempt::outcome)
                .findFirst()
                .orElse(null);
    }

    private void put(Attempt a) {
        attempts.removeIf(x -> x.number() == a.number());
        attempts.add(a);
    }

    /** Records are lost that may have been its own. */
    void doubt() {
        doubtful = true;
    }

    /** Its final answer is known: what comes later cannot be of it. */
    boolean closed() {
        return answer != null;
    }

    public Entry.Request request() {
        return request;
    }

    /** Null where that record is lost. */
    public Entry.Taken taken() {
        return taken;
    }

    /** In the order in which they were last heard of. */
    public List<Attempt> attempts() {
        return List.copyOf(attempts);
    }

    /** Null while there is none. */
    public Answer answer() {
        return answer;
    }

    /** When it was answered, Unix time in ms; 0 while it is not. */
    public long answeredAtMs() {
        return answeredAtMs;
    }

    /** Records are lost that may have been its own. */
    public boolean doubtful() {
        return doubtful;
    }

    /** May it have run? Also where records are lost that could tell. */
    public boolean mayHaveRun() {
        return answer != Answer.REFUSED
                && (doubtful || taken == null || attempts.stream().anyMatch(Attempt::mayHaveRun));
    }

    public State state() {
        if (answer == Answer.SERVED || attempts.stream().anyMatch(a -> a.outcome() == Outcome.SERVED)) {
            return State.SERVED;
        }
        if (answer == Answer.REFUSED) {
            return State.REFUSED;
        }
        if (answer == Answer.FAILED) {
            return State.FAILED;
        }
        return mayHaveRun() ? State.UNCERTAIN : State.NEVER_SENT;
    }
}
