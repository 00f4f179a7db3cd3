package gullspar.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.journal.Entry.Answer;
import gullspar.journal.Entry.Kind;
import gullspar.journal.Entry.Outcome;
import gullspar.journal.Entry.Request;
import gullspar.journal.RequestHistory.State;
import org.junit.jupiter.api.Test;

/** What is said of a request by what is known of it, wherever its proxy was killed. */
class RequestHistoryTest {
    private static final Request ONE = new Request(1, 1);
    private final RequestHistories stories = new RequestHistories();

    private State after(Entry e) {
        stories.add(e);
        return stories.of(ONE).state();
    }

    private static Entry taken() {
        return new Entry.Taken(ONE, 1, Kind.KEYED, "k", false, "id", "/pay", 1000);
    }

    private static Entry intent(int attempt) {
        return new Entry.Intent(ONE, 2, attempt, "n" + attempt, "z");
    }

    private static Entry ended(int attempt, Outcome o) {
        return new Entry.Ended(ONE, 3, attempt, o);
    }

    private static Entry answered(Answer a) {
        return new Entry.Answered(ONE, 4, a);
    }

    @Test
    void killedAtEachMomentOfAnOrderThatIsServed() {
        assertEquals(State.NEVER_SENT, after(taken()));
        assertEquals(State.UNCERTAIN, after(intent(0)));
        assertEquals(State.SERVED, after(ended(0, Outcome.SERVED)), "a node ran it, told or not");
        assertEquals(State.SERVED, after(answered(Answer.SERVED)));
    }

    @Test
    void anAttemptThatNeverRanLeavesNothingUncertain() {
        after(taken());
        after(intent(0));
        assertEquals(State.NEVER_SENT, after(ended(0, Outcome.NEVER_RAN)));
        assertEquals(State.UNCERTAIN, after(intent(1)));
        assertEquals(State.UNCERTAIN, after(ended(1, Outcome.LOST)));
        assertEquals(State.FAILED, after(answered(Answer.FAILED)));
        assertTrue(stories.of(ONE).mayHaveRun());
        assertEquals("n1", stories.of(ONE).attempts().get(1).node());
    }

    @Test
    void aRefusalSaysThatARepeatIsHarmless() {
        after(taken());
        assertEquals(State.REFUSED, after(answered(Answer.REFUSED)));
        assertFalse(stories.of(ONE).mayHaveRun());
    }

    @Test
    void aClientThatLeavesChangesNothingOfWhatMayHaveRun() {
        after(taken());
        assertEquals(State.NEVER_SENT, after(answered(Answer.ABANDONED)));
        RequestHistories other = new RequestHistories();
        other.add(taken());
        other.add(intent(0));
        other.add(answered(Answer.ABANDONED));
        assertEquals(State.UNCERTAIN, other.of(ONE).state());
    }

    @Test
    void whereRecordsAreLostAnOpenRequestIsUncertain() {
        after(taken());
        stories.lost();
        assertEquals(State.UNCERTAIN, stories.of(ONE).state());
        assertEquals(State.FAILED, after(answered(Answer.FAILED)));
        assertTrue(stories.of(ONE).mayHaveRun());
        stories.add(new Entry.Taken(new Request(1, 2), 9, Kind.UNSAFE, "", false, "", "", 0));
        assertEquals(State.NEVER_SENT, stories.of(new Request(1, 2)).state(), "taken after the loss");
    }

    @Test
    void anOutcomeWhoseIntentIsLostIsAnAttemptAllTheSame() {
        after(taken());
        stories.lost();
        after(ended(0, Outcome.LOST));
        assertEquals("", stories.of(ONE).attempts().get(0).node());
        assertEquals(State.UNCERTAIN, stories.of(ONE).state());
    }

    @Test
    void aRequestOfWhichOnlyTheMiddleIsLeftMayHaveRun() {
        assertEquals(State.UNCERTAIN, after(ended(0, Outcome.NEVER_RAN)));
    }
}
