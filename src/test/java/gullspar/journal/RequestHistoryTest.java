package gullspar.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.journal.Entry.AttemptOutcome;
import gullspar.journal.Entry.Kind;
import gullspar.journal.Entry.Request;
import gullspar.journal.Entry.RequestOutcome;
import gullspar.journal.RequestHistory.State;
import org.junit.jupiter.api.Test;

/** The state of a request by the entries written before its proxy was killed. */
class RequestHistoryTest {
    private static final Request ONE = new Request(1, 1);
    private final RequestHistories histories = new RequestHistories();

    private State stateAfter(Entry e) {
        histories.add(e);
        return histories.find(ONE).state();
    }

    private static Entry accepted() {
        return new Entry.Accepted(ONE, 1, Kind.KEYED, "k", false, "id", "/pay", 1000);
    }

    private static Entry intent(int attempt) {
        return new Entry.Intent(ONE, 2, attempt, "n" + attempt, "z");
    }

    private static Entry ended(int attempt, AttemptOutcome o) {
        return new Entry.AttemptEnded(ONE, 3, attempt, o);
    }

    private static Entry completed(RequestOutcome a) {
        return new Entry.Completed(ONE, 4, a);
    }

    @Test
    void stateAfterEachEntryOfServedRequest() {
        assertEquals(State.NEVER_SENT, stateAfter(accepted()));
        assertEquals(State.UNCERTAIN, stateAfter(intent(0)));
        assertEquals(
                State.SERVED,
                stateAfter(ended(0, AttemptOutcome.SERVED)),
                "a node ran it, whether or not its client got a response");
        assertEquals(State.SERVED, stateAfter(completed(RequestOutcome.SERVED)));
    }

    @Test
    void attemptThatNeverRanIsNotUncertain() {
        stateAfter(accepted());
        stateAfter(intent(0));
        assertEquals(State.NEVER_SENT, stateAfter(ended(0, AttemptOutcome.NEVER_RAN)));
        assertEquals(State.UNCERTAIN, stateAfter(intent(1)));
        assertEquals(State.UNCERTAIN, stateAfter(ended(1, AttemptOutcome.LOST)));
        assertEquals(State.FAILED, stateAfter(completed(RequestOutcome.FAILED)));
        assertTrue(histories.find(ONE).mayHaveRun());
        assertEquals("n1", histories.find(ONE).attempts().get(1).node());
    }

    @Test
    void refusedRequestHasNotRun() {
        stateAfter(accepted());
        assertEquals(State.REFUSED, stateAfter(completed(RequestOutcome.REFUSED)));
        assertFalse(histories.find(ONE).mayHaveRun());
    }

    @Test
    void abandonedRequestKeepsItsState() {
        stateAfter(accepted());
        assertEquals(State.NEVER_SENT, stateAfter(completed(RequestOutcome.ABANDONED)));
        RequestHistories other = new RequestHistories();
        other.add(accepted());
        other.add(intent(0));
        other.add(completed(RequestOutcome.ABANDONED));
        assertEquals(State.UNCERTAIN, other.find(ONE).state());
    }

    @Test
    void openRequestIsUncertainAfterLostRecords() {
        stateAfter(accepted());
        histories.markRecordsLost();
        assertEquals(State.UNCERTAIN, histories.find(ONE).state());
        assertEquals(State.FAILED, stateAfter(completed(RequestOutcome.FAILED)));
        assertTrue(histories.find(ONE).mayHaveRun());
        histories.add(new Entry.Accepted(new Request(1, 2), 9, Kind.UNSAFE, "", false, "", "", 0));
        assertEquals(State.NEVER_SENT, histories.find(new Request(1, 2)).state(), "accepted after the loss");
    }

    @Test
    void outcomeWithoutIntentCountsAsAttempt() {
        stateAfter(accepted());
        histories.markRecordsLost();
        stateAfter(ended(0, AttemptOutcome.LOST));
        assertEquals("", histories.find(ONE).attempts().get(0).node());
        assertEquals(State.UNCERTAIN, histories.find(ONE).state());
    }

    @Test
    void requestWithoutAcceptedEntryIsUncertain() {
        assertEquals(State.UNCERTAIN, stateAfter(ended(0, AttemptOutcome.NEVER_RAN)));
    }
}
