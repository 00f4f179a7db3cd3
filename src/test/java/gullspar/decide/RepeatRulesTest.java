package gullspar.decide;

import static gullspar.decide.FakeHost.MS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Profile;
import gullspar.decide.Balancer.Scope;
import gullspar.decide.Balancer.Status;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Every effect and scope, by what the attempt may have done and when the request ends. */
class RepeatRulesTest {
    private static final long WINDOW_MS = 600;
    private static final long CLIENT_TIMEOUT_MS = 4000;
    private static final long SENT_AT = 1_000_000 * MS;

    private static TrackedRequest request(Effect effect, Scope scope, Status outcome) {
        Profile profile = new Profile(
                effect, scope, WINDOW_MS * MS, CLIENT_TIMEOUT_MS * MS, CLIENT_TIMEOUT_MS * MS, 1, 0, false, false);
        Server server = new Server(FakeHost.server(0, 0, Balancer.State.READY), MS, 1, SENT_AT);
        long deadline = SENT_AT + CLIENT_TIMEOUT_MS * MS;
        TrackedRequest t = new TrackedRequest(null, profile, deadline, deadline);
        TrackedRequest.Attempt attempt = new TrackedRequest.Attempt(server, 0, SENT_AT);
        attempt.status = outcome;
        t.attempts.add(attempt);
        return t;
    }

    /**
     * The clock's step of 5 ms is taken off twice from the window of 600 ms, and a client needs up to 200 ms to return.
     * A refusal names at most 1000 ms. A wait of -1 stands for no refusal.
     */
    @ParameterizedTest
    @CsvSource({
        // effect, scope, outcome, after ms, another attempt, refusal's wait in ms
        "IDEMPOTENT, ALL, RESET, 100, true, 1000",
        "IDEMPOTENT, ALL, RESET, 700, true, 1000",
        "AT_MOST_ONCE, ALL, RESET, 100, false, -1",
        "AT_MOST_ONCE, ALL, TIMEOUT, 700, false, -1",
        "AT_MOST_ONCE, ALL, CONNECT_FAILED, 100, true, 1000",
        "AT_MOST_ONCE, ALL, FULL, 700, true, 1000",
        "DEDUPLICATED, ALL, RESET, 0, true, 390",
        "DEDUPLICATED, ALL, RESET, 100, true, 290",
        "DEDUPLICATED, ALL, ERROR, 389, true, 1",
        "DEDUPLICATED, ALL, RESET, 390, true, -1",
        "DEDUPLICATED, ALL, TIMEOUT, 589, true, -1",
        "DEDUPLICATED, ALL, RESET, 590, false, -1",
        "DEDUPLICATED, ALL, CANCELLED, 700, false, -1",
        "DEDUPLICATED, ALL, CONNECT_FAILED, 700, true, 1000",
        "DEDUPLICATED, ALL, MOOT, 700, true, 1000",
        "DEDUPLICATED, ZONE, RESET, 100, true, -1",
        "DEDUPLICATED, ZONE, RESET, 590, false, -1",
        "DEDUPLICATED, ZONE, FULL, 700, true, 1000",
        "DEDUPLICATED, CELL, ERROR, 100, true, -1",
        "DEDUPLICATED, CELL, TIMEOUT, 700, false, -1",
        "DEDUPLICATED, CELL, CONNECT_FAILED, 100, true, 1000",
    })
    void repeatsAndRefusalsEndWithTheWindow(
            Effect effect, Scope scope, Status outcome, long afterMs, boolean isAttempt, long waitMs) {
        RepeatRules rules = new RepeatRules(FakeHost.settings(false));
        TrackedRequest t = request(effect, scope, outcome);
        long now = SENT_AT + afterMs * MS;
        assertEquals(isAttempt, rules.canAttempt(t, now));
        assertEquals(waitMs, rules.canRefuse(t, now) ? rules.retryAfterNs(t, now) / MS : -1);
    }

    /** A keyed request was refused after its window, and the client's repeat took effect a second time. */
    @ParameterizedTest
    @CsvSource({"100, refused", "700, failed"})
    void keyedRequestIsRefusedOnlyWhileItsRepeatIsDropped(long afterMs, String answer) {
        Profile profile = FakeHost.profile(Effect.DEDUPLICATED, Scope.ALL, WINDOW_MS);
        FakeHost host =
                new FakeHost(FakeHost.settings(false, profile)).deliverList(Balancer.ListKind.FULL, FakeHost.ready(1));
        int t = host.request(0, CLIENT_TIMEOUT_MS);
        host.now += afterMs * MS;
        host.endAttempt(t, 0, Status.RESET, afterMs, null);
        assertEquals(answer, host.finalAnswers.get(t));
        assertTrue(
                answer.equals("failed") || afterMs + host.lastRetryAfterNs / MS < WINDOW_MS,
                "the advice points beyond the window");
    }
}
