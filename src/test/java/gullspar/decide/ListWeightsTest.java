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

/** Pools whose servers report no load, and classes of requests that are added later. */
class ListWeightsTest {
    private static final Profile MINUTE =
            new Profile(Effect.IDEMPOTENT, Scope.ALL, 0, 60_000 * Rig.MS, 60_000 * Rig.MS, 1, 1, false, false);

    private static Settings settings(boolean listWeights, Profile... profiles) {
        return new Settings(
                0,
                1,
                0,
                List.of(profiles),
                false,
                false,
                4,
                1000 * Rig.MS,
                0.3,
                9000 * Rig.MS,
                3,
                2000 * Rig.MS,
                0,
                5 * Rig.MS,
                0.1,
                false,
                0,
                listWeights);
    }

    private static ListedServer weighing(int id, double units) {
        return new ListedServer(id, 0, State.READY, 0, 0, 0, units);
    }

    private static Rig rig(boolean listWeights) {
        return new Rig(settings(listWeights, MINUTE))
                .list(ListKind.FULL, weighing(0, 5), weighing(1, 2), weighing(2, 1));
    }

    private static int[] serve(Rig r, int n, long[] tookMs, Report report) {
        int[] got = new int[tookMs.length];
        for (int i = 0; i < n; i++) {
            int t = r.request();
            int s = r.server(t, 0);
            got[s]++;
            r.pass(tookMs[s]);
            r.done(t, 0, Status.OK, tookMs[s], report);
        }
        return got;
    }

    @Test
    void sharesAreThoseOfTheListHoweverQuickTheServersSeem() {
        assertArrayEquals(new int[] {500, 200, 100}, serve(rig(true), 800, new long[] {90, 5, 30}, null));
    }

    @Test
    void theSettingIsWhatDoesIt() {
        int[] got = serve(rig(false), 800, new long[] {90, 5, 30}, null);
        assertTrue(got[0] < 300, "all alike until one reports, " + got[0]);
    }

    @Test
    void sharesStayWhileRequestsWaitAtOneOfThem() {
        Rig r = rig(true);
        int[] got = new int[3];
        for (int i = 0; i < 800; i++) {
            int t = r.request(0, 60_000);
            got[r.server(t, 0)]++;
            r.pass(5);
            if (r.server(t, 0) != 2 || i % 80 == 0) {
                r.ok(t, 5); // one holds on to most of what it gets
            }
        }
        assertArrayEquals(new int[] {500, 200, 100}, got);
    }

    @Test
    void aNewWeightCountsFromTheNextRequestOn() {
        Rig r = rig(true);
        serve(r, 80, new long[] {5, 5, 5}, null);
        r.list(ListKind.FULL, weighing(0, 1), weighing(1, 2), weighing(2, 5));
        assertArrayEquals(new int[] {100, 200, 500}, serve(r, 800, new long[] {5, 5, 5}, null));
    }

    @Test
    void whereAServerReportsItsLoadFactorsTakeOver() {
        Rig r = rig(true);
        int[] got = serve(r, 2000, new long[] {50, 5, 50}, Rig.util(0.2, 0));
        assertTrue(got[1] > got[0], "the quick one draws more: " + got[0] + " and " + got[1]);
    }

    @Test
    void aBurstAtTheStartDoesNotWaitForFirstAnswers() {
        Rig r = rig(true);
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            sent += r.attempts(r.request(0, 60_000));
        }
        assertEquals(100, sent);
    }

    @Test
    void aServerThatIsGoneCostsNoRequestHoweverOftenItIsTried() {
        Rig r = new Rig(settings(true, MINUTE)).list(ListKind.FULL, weighing(0, 1), weighing(1, 1));
        for (int i = 0; i < 200; i++) {
            int t = r.request();
            if (r.server(t, 0) == 0) {
                r.done(t, 0, Status.CONNECT_FAILED, 1, null);
                assertEquals(1, r.server(t, 1));
            }
            r.pass(5);
            r.ok(t, 5);
            assertEquals("served", r.answers.get(t));
        }
    }

    @Test
    void furtherAttemptsAfterErrorsStillNeedTheBudget() {
        Rig r = new Rig(settings(true, MINUTE)).list(ListKind.FULL, Rig.ready(4));
        int second = 0;
        for (int i = 0; i < 100; i++) {
            int t = r.request();
            r.done(t, 0, Status.ERROR, 5, null);
            if (r.attempts(t) > 1) {
                second++;
                r.done(t, 1, Status.OK, 5, null);
            }
            r.pass(5);
        }
        assertTrue(second < 10, second + " of 100");
    }

    @Test
    void aClassMayHaveFewerAttemptsAndAShorterTimeForEach() {
        Profile two = new Profile(
                Effect.IDEMPOTENT, Scope.ALL, 0, 60_000 * Rig.MS, 60_000 * Rig.MS, 1, 1, false, false, 2, 300 * Rig.MS);
        Rig r = new Rig(settings(true, two)).list(ListKind.FULL, Rig.ready(4));
        int t = r.request();
        assertEquals(300 * Rig.MS, r.lastTimeout);
        r.done(t, 0, Status.ERROR, 5, null);
        r.done(t, 1, Status.ERROR, 5, null);
        assertEquals(2, r.attempts(t));
        assertEquals("refused", r.answers.get(t));
    }

    @Test
    void classesCanBeAddedWhileRequestsAreOut() {
        Rig r = rig(true);
        int before = r.request();
        Profile once = new Profile(Effect.AT_MOST_ONCE, Scope.ALL, 0, 1000 * Rig.MS, 1000 * Rig.MS, 1, 1, false, false);
        r.rules.onProfiles(List.of(MINUTE, once));
        int after = r.request(1, 1000);
        r.done(after, 0, Status.RESET, 5, null);
        assertEquals("failed", r.answers.get(after));
        r.done(before, 0, Status.RESET, 5, null);
        assertEquals(2, r.attempts(before));
    }
}
