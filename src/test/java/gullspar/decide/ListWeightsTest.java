package gullspar.decide;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.ListedServer;
import gullspar.decide.Balancer.Profile;
import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.Scope;
import gullspar.decide.Balancer.Settings;
import gullspar.decide.Balancer.State;
import gullspar.decide.Balancer.Status;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Pools whose servers report no load, and request classes added at run time. */
class ListWeightsTest {
    private static final Profile MINUTE_TIMEOUT = new Profile(
            Effect.IDEMPOTENT, Scope.ALL, 0, 60_000 * FakeHost.MS, 60_000 * FakeHost.MS, 1, 1, false, false);

    private static Settings settings(boolean listWeights, Profile... profiles) {
        return new Settings(
                0,
                1,
                0,
                List.of(profiles),
                false,
                false,
                4,
                1000 * FakeHost.MS,
                0.3,
                9000 * FakeHost.MS,
                3,
                2000 * FakeHost.MS,
                0,
                5 * FakeHost.MS,
                0.1,
                false,
                0,
                listWeights);
    }

    private static ListedServer weighted(int id, double units) {
        return new ListedServer(id, 0, State.READY, 0, 0, 0, units);
    }

    private static FakeHost host(boolean listWeights) {
        return new FakeHost(settings(listWeights, MINUTE_TIMEOUT))
                .deliverList(ListKind.FULL, weighted(0, 5), weighted(1, 2), weighted(2, 1));
    }

    private static int[] serve(FakeHost host, int n, long[] tookMs, Report report) {
        int[] got = new int[tookMs.length];
        for (int i = 0; i < n; i++) {
            int t = host.request();
            int s = host.serverOf(t, 0);
            got[s]++;
            host.advance(tookMs[s]);
            host.endAttempt(t, 0, Status.OK, tookMs[s], report);
        }
        return got;
    }

    @Test
    void sharesFollowTheListWhateverTheResponseTimes() {
        assertArrayEquals(new int[] {500, 200, 100}, serve(host(true), 800, new long[] {90, 5, 30}, null));
    }

    @Test
    void sharesIgnoreListWeightsWithoutTheSetting() {
        int[] got = serve(host(false), 800, new long[] {90, 5, 30}, null);
        assertTrue(got[0] < 300, "equal shares until a server reports, " + got[0]);
    }

    @Test
    void sharesStayWhileRequestsQueueAtOneServer() {
        FakeHost host = host(true);
        int[] got = new int[3];
        for (int i = 0; i < 800; i++) {
            int t = host.request(0, 60_000);
            got[host.serverOf(t, 0)]++;
            host.advance(5);
            if (host.serverOf(t, 0) != 2 || i % 80 == 0) {
                host.succeed(t, 5); // server 2 leaves most of its requests open
            }
        }
        assertArrayEquals(new int[] {500, 200, 100}, got);
    }

    @Test
    void aNewWeightAppliesFromTheNextRequest() {
        FakeHost host = host(true);
        serve(host, 80, new long[] {5, 5, 5}, null);
        host.deliverList(ListKind.FULL, weighted(0, 1), weighted(1, 2), weighted(2, 5));
        assertArrayEquals(new int[] {100, 200, 500}, serve(host, 800, new long[] {5, 5, 5}, null));
    }

    @Test
    void factorsReplaceListWeightsOnceAServerReportsLoad() {
        FakeHost host = host(true);
        int[] got = serve(host, 2000, new long[] {50, 5, 50}, FakeHost.report(0.2, 0));
        assertTrue(got[1] > got[0], "the faster server gets more: " + got[0] + " and " + got[1]);
    }

    @Test
    void aBurstAtTheStartDoesNotWaitForFirstAnswers() {
        FakeHost host = host(true);
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            sent += host.attemptCount(host.request(0, 60_000));
        }
        assertEquals(100, sent);
    }

    @Test
    void failedConnectsToADownServerLoseNoRequest() {
        FakeHost host =
                new FakeHost(settings(true, MINUTE_TIMEOUT)).deliverList(ListKind.FULL, weighted(0, 1), weighted(1, 1));
        for (int i = 0; i < 200; i++) {
            int t = host.request();
            if (host.serverOf(t, 0) == 0) {
                host.endAttempt(t, 0, Status.CONNECT_FAILED, 1, null);
                assertEquals(1, host.serverOf(t, 1));
            }
            host.advance(5);
            host.succeed(t, 5);
            assertEquals("served", host.finalAnswers.get(t));
        }
    }

    @Test
    void furtherAttemptsAfterErrorsStillNeedTheBudget() {
        FakeHost host = new FakeHost(settings(true, MINUTE_TIMEOUT)).deliverList(ListKind.FULL, FakeHost.ready(4));
        int second = 0;
        for (int i = 0; i < 100; i++) {
            int t = host.request();
            host.endAttempt(t, 0, Status.ERROR, 5, null);
            if (host.attemptCount(t) > 1) {
                second++;
                host.endAttempt(t, 1, Status.OK, 5, null);
            }
            host.advance(5);
        }
        assertTrue(second < 10, second + " of 100");
    }

    @Test
    void aClassMayLimitAttemptsAndTheirTimeout() {
        Profile two = new Profile(
                Effect.IDEMPOTENT,
                Scope.ALL,
                0,
                60_000 * FakeHost.MS,
                60_000 * FakeHost.MS,
                1,
                1,
                false,
                false,
                2,
                300 * FakeHost.MS);
        FakeHost host = new FakeHost(settings(true, two)).deliverList(ListKind.FULL, FakeHost.ready(4));
        int t = host.request();
        assertEquals(300 * FakeHost.MS, host.lastTimeoutNs);
        host.endAttempt(t, 0, Status.ERROR, 5, null);
        host.endAttempt(t, 1, Status.ERROR, 5, null);
        assertEquals(2, host.attemptCount(t));
        assertEquals("refused", host.finalAnswers.get(t));
    }

    @Test
    void classesCanBeAddedWhileAttemptsAreOpen() {
        FakeHost host = host(true);
        int before = host.request();
        Profile once = new Profile(
                Effect.AT_MOST_ONCE, Scope.ALL, 0, 1000 * FakeHost.MS, 1000 * FakeHost.MS, 1, 1, false, false);
        host.policy.onProfiles(List.of(MINUTE_TIMEOUT, once));
        int after = host.request(1, 1000);
        host.endAttempt(after, 0, Status.RESET, 5, null);
        assertEquals("failed", host.finalAnswers.get(after));
        host.endAttempt(before, 0, Status.RESET, 5, null);
        assertEquals(2, host.attemptCount(before));
    }
}
