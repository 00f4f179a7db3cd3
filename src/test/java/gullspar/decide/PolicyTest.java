package gullspar.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.ListedServer;
import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.State;
import gullspar.decide.Balancer.Status;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests the module through its interface. */
class PolicyTest {
    private static final State READY = State.READY;

    private static FakeHost host(Balancer.Profile... profiles) {
        return new FakeHost(FakeHost.settings(false, profiles));
    }

    /** Serves n requests one after another; returns how many each server got. */
    private static int[] serve(FakeHost r, int n, int servers, long tookMs, Report[] reports) {
        int[] got = new int[servers];
        for (int i = 0; i < n; i++) {
            int t = r.request();
            if (r.attemptCount(t) > 0) {
                int s = r.serverOf(t, 0);
                got[s]++;
                r.advance(tookMs);
                r.endAttempt(t, 0, Status.OK, tookMs, reports == null ? null : reports[s]);
            }
        }
        return got;
    }

    // ---- the design ----

    @Test
    void rotationOverEqualFactorsIsRoundRobin() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(3));
        serve(r, 60, 3, 20, null); // until this proxy's rate is high enough for a subset of all three
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            int t = r.request();
            order.add(r.serverOf(t, 0));
            r.advance(20);
            r.succeed(t, 20);
        }
        assertEquals(order.subList(0, 3), order.subList(3, 6));
        assertEquals(3, order.stream().distinct().count());
    }

    @Test
    void higherSpareShareGetsMoreRequests() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(2));
        int[] got = serve(r, 200, 2, 30, new Report[] {FakeHost.report(0.1, 0), FakeHost.report(0.8, 0)});
        assertTrue(got[0] > 2 * got[1], got[0] + " to " + got[1]);
    }

    @Test
    void aBusyServerStillGetsRequestsThatUpdateItsFactor() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(2));
        int[] got = serve(r, 300, 2, 30, new Report[] {FakeHost.report(0, 0), FakeHost.report(1, 0)});
        assertTrue(got[1] > 10, "the server without spare share got " + got[1]);
    }

    @Test
    void invalidReportsLeaveTheRotationWorking() {
        for (double bad : new double[] {1, Double.NaN, Double.POSITIVE_INFINITY, -5, 1e30}) {
            FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(2));
            Report report = FakeHost.report(bad, bad);
            int[] got = serve(r, 100, 2, 20, new Report[] {report, report});
            assertEquals(100, got[0] + got[1], "requests sent at " + bad);
            assertTrue(got[0] > 20 && got[1] > 20, "requests to both servers at " + bad);
        }
    }

    @Test
    void aColdServerGetsFewRequests() {
        FakeHost r = host(FakeHost.IDEMPOTENT);
        ListedServer young = new ListedServer(1, 0, READY, r.now, 0, 0, 1);
        r.deliverList(ListKind.FULL, FakeHost.member(0, 0, READY), young);
        int[] got = serve(r, 60, 2, 20, null);
        assertTrue(got[1] > 0 && got[1] < got[0] / 2, got[0] + " to " + got[1]);
    }

    @Test
    void openAttemptsLowerAWeight() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(2));
        int first = r.request();
        int stuck = r.serverOf(first, 0);
        for (int i = 0; i < 3; i++) {
            int t = r.request();
            assertNotEquals(stuck, r.serverOf(t, 0));
            r.succeed(t, 20);
        }
    }

    // ---- rule 1: one final answer in time ----

    @Test
    void withNoServersARequestWaitsAndIsRefusedInTime() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL);
        int t = r.request(0, 120);
        assertTrue(r.actions.isEmpty(), "the request waits at first");
        r.advance(120);
        assertEquals("refused", r.finalAnswers.get(t));
    }

    @Test
    void aWaitingRepeatWithLessTimeIsAnsweredBeforeTheHeadOfTheQueue() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL);
        int head = r.request(0, 1000);
        int hasty = r.request(0, 90);
        r.advance(90);
        assertEquals("refused", r.finalAnswers.get(hasty));
        assertFalse(r.finalAnswers.containsKey(head), "the head has time left");
    }

    @Test
    void aWaitingRequestIsSentWhenAServerIsListed() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL);
        int t = r.request();
        r.deliverList(ListKind.DELTA, FakeHost.member(4, 0, READY)).advance(25);
        assertEquals(4, r.serverOf(t, 0));
    }

    @Test
    void aTimeoutAtTheDeadlineIsAnswered() {
        FakeHost r = host(FakeHost.AT_MOST_ONCE).deliverList(ListKind.FULL, FakeHost.ready(2));
        int t = r.request(0, 300);
        r.advance(300);
        r.endAttempt(t, 0, Status.TIMEOUT, 300, null);
        assertEquals("failed", r.finalAnswers.get(t));
    }

    @Test
    void aRequestThatWaitedThroughAStallIsAnsweredOnceAfterIt() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL);
        int t = r.request(0, 400);
        r.now += 380 * FakeHost.MS; // the proxy stalls until just before the client's timeout
        r.deliverList(ListKind.FULL, FakeHost.ready(2)).advance(5);
        assertEquals("refused", r.finalAnswers.get(t));
        assertEquals(0, r.attemptCount(t), "a request that its client will abandon is not sent");
    }

    @Test
    void noActionFollowsTheFinalAnswer() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(3));
        int t = r.request();
        r.succeed(t, 20);
        int before = r.actions.size();
        r.policy.onOutcome(r.now, new Balancer.Outcome(t, 0, r.serverOf(t, 0), Status.OK, 1, true, null));
        r.policy.onClientDisconnected(r.now, t);
        r.policy.onStreamStarted(r.now, t, 0, 0, 1);
        r.advance(2000);
        assertEquals(before, r.actions.size());
    }

    @Test
    void eventsForUnknownTicketsAreIgnored() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(1));
        r.policy.onOutcome(r.now, new Balancer.Outcome(99, 0, 0, Status.OK, 1, false, null));
        r.policy.onClientDisconnected(r.now, 99);
        r.policy.onTimer(r.now, 99);
        assertTrue(r.actions.isEmpty());
    }

    // ---- rule 2: no effect twice ----

    @Test
    void anAtMostOnceRequestIsNotRepeatedNorRefusedOnceItMayHaveRun() {
        for (Status status : new Status[] {Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED}) {
            FakeHost r = host(FakeHost.AT_MOST_ONCE).deliverList(ListKind.FULL, FakeHost.ready(3));
            int t = r.request();
            r.advance(100);
            r.endAttempt(t, 0, status, 100, null);
            assertEquals(1, r.attemptCount(t), status.toString());
            assertEquals("failed", r.finalAnswers.get(t), status.toString());
        }
    }

    @Test
    void anAtMostOnceRequestThatNeverRanIsRetriedElsewhere() {
        for (Status status : new Status[] {Status.FULL, Status.CONNECT_FAILED, Status.MOOT}) {
            FakeHost r = host(FakeHost.AT_MOST_ONCE).deliverList(ListKind.FULL, FakeHost.ready(3));
            int t = r.request();
            r.endAttempt(t, 0, status, 5, null);
            assertEquals(2, r.attemptCount(t), status.toString());
            assertNotEquals(r.serverOf(t, 0), r.serverOf(t, 1));
        }
    }

    @Test
    void anAtMostOnceRequestGetsNoSecondCopy() {
        FakeHost r = host(FakeHost.AT_MOST_ONCE).deliverList(ListKind.FULL, FakeHost.ready(3));
        int t = r.request();
        r.advance(900);
        assertEquals(1, r.attemptCount(t));
    }

    @Test
    void aDeduplicatedRepeatStaysInItsZoneAndFails() {
        FakeHost r = host(FakeHost.DEDUPLICATED_IN_ZONE)
                .deliverList(ListKind.FULL, FakeHost.member(0, 0, READY), FakeHost.member(1, 1, READY));
        int t = r.request();
        assertEquals(0, r.serverOf(t, 0));
        r.endAttempt(t, 0, Status.ERROR, 5, null);
        assertEquals(1, r.attemptCount(t), "the only other server would not drop the repeat");
        assertEquals("failed", r.finalAnswers.get(t));
    }

    @Test
    void aDeduplicatedRepeatIsSentOnlyWithinTheWindow() {
        for (long after : new long[] {100, 395}) {
            FakeHost r = host(FakeHost.DEDUPLICATED_IN_ZONE).deliverList(ListKind.FULL, FakeHost.ready(1));
            int t = r.request();
            r.deliverList(ListKind.DELTA, FakeHost.member(1, 0, READY));
            r.advance(after);
            int sent = r.attemptCount(t);
            if (sent == 1) {
                r.endAttempt(t, 0, Status.RESET, after, null);
                assertEquals(after < 390 ? 2 : 1, r.attemptCount(t), "after " + after + " ms");
            }
        }
    }

    @Test
    void attemptsStayWithinTheLimit() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(8));
        int t = r.request();
        for (int i = 0; i < r.attemptCount(t); i++) {
            r.endAttempt(t, i, Status.FULL, 1, null);
        }
        assertTrue(r.attemptCount(t) <= 4);
        assertEquals("refused", r.finalAnswers.get(t));
    }

    // ---- rule 3: drains ----

    @Test
    void aClassAddedLaterLimitsItsAttempts() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(6));
        r.policy.onProfiles(List.of(FakeHost.IDEMPOTENT.withMaxAttempts(1)));
        int t = r.request();
        r.endAttempt(t, 0, Status.RESET, 5, null);
        assertEquals(1, r.attemptCount(t));
        assertEquals("refused", r.finalAnswers.get(t));
    }

    @Test
    void avoidedServersCountsListedServersThatGetNoRequests() {
        FakeHost r = host(FakeHost.IDEMPOTENT)
                .deliverList(
                        ListKind.FULL,
                        FakeHost.member(0, 0, READY),
                        FakeHost.member(1, 0, READY),
                        FakeHost.member(2, 0, READY),
                        FakeHost.member(3, 0, State.DRAINING));
        assertEquals(1, r.policy.avoidedServers());
        int t = r.request();
        r.endAttempt(t, 0, Status.CONNECT_FAILED, 5, null);
        assertEquals(2, r.policy.avoidedServers(), "one is ejected, one is draining");
        r.deliverList(ListKind.FULL, FakeHost.ready(2));
        assertTrue(r.policy.avoidedServers() <= 1, "unlisted servers are not counted");
    }

    @Test
    void drainingGoneAndUnlistedServersGetNoRequests() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(4));
        r.deliverList(ListKind.DELTA, FakeHost.member(0, 0, State.DRAINING), FakeHost.member(1, 0, State.GONE));
        assertEquals(0, serve(r, 20, 4, 20, null)[0]);
        r.deliverList(ListKind.FULL, FakeHost.member(2, 0, READY));
        int[] got = serve(r, 20, 4, 20, null);
        assertEquals(20, got[2]);
    }

    @Test
    void anUnlistedServerWithAnOpenAttemptGetsNoRequestsUntilListedAgain() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(2));
        int t = r.request();
        int busy = r.serverOf(t, 0);
        r.deliverList(ListKind.FULL, FakeHost.member(1 - busy, 0, READY));
        assertEquals(0, serve(r, 10, 2, 20, null)[busy]);
        r.succeed(t, 100);
        r.deliverList(ListKind.FULL, FakeHost.ready(2));
        assertTrue(serve(r, 60, 2, 20, null)[busy] > 0);
    }

    // ---- rule 4: cold servers ----

    /** Sends in 2 s to one cold server that replaces three, when it reports this utilization. */
    private static int sentToOneColdServer(double util) {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(3));
        serve(r, 1000, 3, 20, null);
        ListedServer cold = new ListedServer(9, 0, READY, r.now, 0, 0, 1);
        r.deliverList(ListKind.FULL, cold);
        int sent = 0;
        for (int i = 0; i < 400; i++) {
            int newest = r.request();
            r.advance(5);
            for (int t = Math.max(1001, newest - 100); t <= newest; t++) {
                if (r.attemptCount(t) > 0 && !r.finalAnswers.containsKey(t)) {
                    r.endAttempt(t, 0, Status.OK, 20, FakeHost.report(util, 0));
                    sent++;
                }
            }
        }
        return sent;
    }

    @Test
    void aBurstOnAColdServerStaysWithinTheBudget() {
        // Three servers had 50 requests per second in all; the budget for 2 s is 3 x 0.3..0.5 x 16.7 per second.
        int sent = sentToOneColdServer(0);
        assertTrue(sent > 1 && sent < 60, "sent " + sent);
    }

    /** Returns how many of 40 simultaneous requests go to one server of four before any is answered. */
    private static int sentInABurst(FakeHost r, int server) {
        int got = 0;
        int first = r.request();
        int last = first;
        for (int i = 1; i < 40; i++) {
            last = r.request();
        }
        for (int t = first; t <= last; t++) {
            got += r.attemptCount(t) > 0 && r.serverOf(t, 0) == server ? 1 : 0;
        }
        for (int i = 0; i < 100; i++) { // waiting requests are sent as others are answered
            for (int t = first; t <= last; t++) {
                if (r.attemptCount(t) > 0 && !r.finalAnswers.containsKey(t)) {
                    r.succeed(t, 20);
                }
            }
            r.advance(5);
        }
        return got;
    }

    /** It may have crashed and restarted, which the list shows only seconds later. */
    @Test
    void aServerThatRefusedAConnectionIsTreatedAsCold() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(4));
        serve(r, 400, 4, 20, null);
        int usual = sentInABurst(r, 2);
        serve(r, 100, 4, 20, null);
        int t = r.request();
        while (r.serverOf(t, 0) != 2) {
            r.succeed(t, 20);
            t = r.request();
        }
        r.endAttempt(t, 0, Status.CONNECT_FAILED, 1, null);
        r.succeed(t, 20); // retried on another server
        r.advance(1000); // its trial is due
        int[] back = serve(r, 20, 4, 20, null);
        assertTrue(back[2] > 0, "the ejected server got no trial");
        int cold = sentInABurst(r, 2);
        assertTrue(cold * 4 <= usual * 3 && usual > 1, cold + " of a burst when back, " + usual + " before");
        serve(r, 600, 4, 20, null);
        int warm = sentInABurst(r, 2);
        assertTrue(warm >= usual, warm + " of a burst when warm, " + usual + " before");
    }

    @Test
    void aColdServerThatReportsItselfBusyGetsLessOfItsBudget() {
        int idle = sentToOneColdServer(0.2);
        int busy = sentToOneColdServer(1);
        assertTrue(busy > 0 && busy < idle * 0.6, busy + " busy, " + idle + " idle");
    }

    @Test
    void aFleetThatIsColdAsAWholeIsNotLimitedByItsOwnLowRate() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(4));
        serve(r, 1000, 4, 20, null);
        ListedServer[] cold = new ListedServer[4];
        for (int i = 0; i < 4; i++) {
            cold[i] = new ListedServer(10 + i, 0, READY, r.now, 0, 0, 1);
        }
        r.deliverList(ListKind.FULL, cold);
        int sent = sentOf300(r);
        assertTrue(sent > 180, "sent " + sent + " of 300 in the first 6 s");
    }

    /** Sends 50 requests per second for 6 s, each answered 20 ms after it is sent; returns how many were sent. */
    private static int sentOf300(FakeHost r) {
        int sent = 0;
        for (int i = 0; i < 300; i++) {
            int newest = r.request();
            r.advance(20);
            for (int t = Math.max(1, newest - 50); t <= newest; t++) {
                if (r.attemptCount(t) > 0 && !r.finalAnswers.containsKey(t)) {
                    r.succeed(t, 20);
                    sent++;
                }
            }
        }
        return sent;
    }

    @Test
    void aProxyStartedDuringAReleaseEstimatesItsRatesWithinSeconds() {
        assertTrue(sentToColdServersInTheFirstSeconds(0) > 40);
    }

    /** A proxy gets the list before it warms up, and its clients connect only after that. */
    @Test
    void timeBeforeTheFirstRequestDoesNotLowerTheRates() {
        assertEquals(sentToColdServersInTheFirstSeconds(0), sentToColdServersInTheFirstSeconds(20));
    }

    /** A budget computed from sends alone would shrink with each reduction of the sends. */
    @Test
    void aProxyWithoutHistoryGetsItsEvenShareOfAColdFleet() {
        FakeHost r = host(FakeHost.IDEMPOTENT);
        ListedServer[] members = new ListedServer[4];
        for (int i = 0; i < 4; i++) {
            members[i] = new ListedServer(i, 0, READY, r.now, 0, 0, 1);
        }
        r.deliverList(ListKind.FULL, members);
        int sent = sentOf300(r);
        assertTrue(sent > 200, "sent " + sent + " of 300");
    }

    /** Sends to four cold servers beside a warm one, of 150 requests in 3 s after this many idle seconds. */
    private static int sentToColdServersInTheFirstSeconds(int idle) {
        FakeHost r = host(FakeHost.IDEMPOTENT);
        r.advance(1000L * idle);
        ListedServer[] members = new ListedServer[5];
        for (int i = 0; i < 5; i++) {
            members[i] = new ListedServer(i, 0, READY, i == 0 ? 0 : r.now, 0, 0, 1);
        }
        r.deliverList(ListKind.FULL, members);
        int[] got = new int[5];
        for (int i = 0; i < 150; i++) { // 3 s
            int t = r.request();
            if (r.attemptCount(t) > 0) {
                got[r.serverOf(t, 0)]++;
                r.advance(10);
                r.succeed(t, 10);
            }
            r.advance(10);
        }
        return got[1] + got[2] + got[3] + got[4];
    }

    // ---- many proxies ----

    /** Proxies of one zone, each with its own seed and index, with this many servers listed. */
    private static List<FakeHost> proxies(int proxies, int servers) {
        List<FakeHost> bank = new ArrayList<>();
        for (int i = 0; i < proxies; i++) {
            bank.add(new FakeHost(FakeHost.settings(i, proxies, false, FakeHost.IDEMPOTENT), 1000 + i)
                    .deliverList(ListKind.FULL, FakeHost.ready(servers)));
        }
        return bank;
    }

    /** Each proxy gets a request every 100 ms; returns how many each server was sent. */
    private static int[] run(List<FakeHost> bank, int rounds, int servers) {
        int[] got = new int[servers];
        for (int i = 0; i < rounds; i++) {
            for (FakeHost r : bank) {
                int t = r.request();
                r.advance(20);
                if (r.attemptCount(t) > 0) {
                    got[r.serverOf(t, 0)]++;
                    r.succeed(t, 20);
                }
                r.advance(80);
            }
        }
        return got;
    }

    @Test
    void allProxiesTogetherStayWithinAColdServersBudget() {
        List<FakeHost> bank = proxies(200, 20);
        run(bank, 100, 20);
        for (FakeHost r : bank) {
            r.deliverList(ListKind.DELTA, new ListedServer(20, 0, READY, r.now, 0, 0, 1));
        }
        int first = run(bank, 2, 21)[20];
        int sent = first + run(bank, 18, 21)[20];
        // 20 servers get 2000 requests per second. A cold one can serve 0.3 of its 100 at first; in
        // 2 s it may be sent three times that, with a tenth in the first 0.2 s, so without a burst.
        assertTrue(sent < 3 * 0.3 * 100 * 2, "sent " + sent);
        assertTrue(first < 3 * 0.3 * 100 * 0.2, "sent at first " + first);
    }

    @Test
    void manyProxiesLeftWithOneColdServerDoNotOverloadIt() {
        List<FakeHost> bank = proxies(200, 20);
        run(bank, 100, 20);
        for (FakeHost r : bank) {
            for (int s = 0; s < 20; s++) {
                r.deliverList(ListKind.DELTA, FakeHost.member(s, 0, State.DRAINING));
            }
            r.deliverList(ListKind.DELTA, new ListedServer(20, 0, READY, r.now, 0, 0, 1));
        }
        int sent = 0;
        for (FakeHost r : bank) {
            for (int i = 0; i < 40; i++) {
                r.request();
                r.advance(50);
            }
            sent += (int) r.sends.values().stream().filter(l -> l.contains(20)).count();
        }
        assertTrue(sent > 20 && sent < 3 * 0.4 * 100 * 2, "sent " + sent + " in 2 s");
    }

    @Test
    void proxiesWithLowRatesDoNotOverloadAColdServerTogether() {
        List<FakeHost> bank = proxies(200, 20);
        for (FakeHost r : bank) {
            r.deliverList(ListKind.FULL, new ListedServer(20, 0, READY, r.now, 0, 0, 1));
        }
        int sent = 0;
        for (FakeHost r : bank) { // no request before, so the rate is unknown and the budget is its minimum
            for (int i = 0; i < 5; i++) {
                r.request();
                r.advance(240);
            }
            sent += r.sends.size();
        }
        assertTrue(sent < 20, "sent " + sent + " in a little over a second");
    }

    @Test
    void aNewServerGetsRequestsFromManyProxies() {
        List<FakeHost> bank = proxies(200, 20);
        run(bank, 100, 20);
        for (FakeHost r : bank) {
            r.deliverList(ListKind.DELTA, new ListedServer(20, 0, READY, r.now, 0, 0, 1));
        }
        int sent = run(bank, 40, 21)[20];
        assertTrue(sent > 20, "a budget that ignores subsets would leave it idle; sent " + sent);
    }

    @Test
    void subsetsAreSmallAndEvenOverTheServers() {
        List<FakeHost> bank = proxies(200, 20);
        int[] got = run(bank, 30, 20);
        for (int s = 0; s < 20; s++) {
            assertTrue(got[s] > 150 && got[s] < 600, "server " + s + " got " + got[s] + " of 6000");
        }
        for (FakeHost r : bank) {
            long used = r.sends.values().stream().map(l -> l.get(0)).distinct().count();
            assertTrue(used >= 2 && used <= 4, "a proxy with ten requests a second used " + used);
        }
    }

    @Test
    void aBusyProxyUsesAllServersAndADrainedSubsetIsWidened() {
        Balancer.Settings settings = FakeHost.settings(3, 200, false, FakeHost.IDEMPOTENT);
        FakeHost hot = new FakeHost(settings).deliverList(ListKind.FULL, FakeHost.ready(20));
        assertEquals(
                20,
                Arrays.stream(serve(hot, 1000, 20, 5, null)).filter(n -> n > 0).count());
        FakeHost r = new FakeHost(settings).deliverList(ListKind.FULL, FakeHost.ready(20));
        r.deliverList(ListKind.DELTA, FakeHost.member(r.serverOf(r.request(), 0), 0, State.DRAINING));
        r.deliverList(ListKind.DELTA, FakeHost.member(r.serverOf(r.request(), 0), 0, State.DRAINING));
        assertEquals(1, r.attemptCount(r.request()), "others of the zone take over at once");
    }

    @Test
    void extremeProxyCountsAndListsAreHandled() {
        for (int balancers : new int[] {0, 1, 3, Integer.MAX_VALUE}) {
            for (int me : new int[] {-5, 0, 7, Integer.MAX_VALUE}) {
                FakeHost r = new FakeHost(FakeHost.settings(me, balancers, false, FakeHost.IDEMPOTENT));
                r.deliverList(ListKind.FULL, FakeHost.ready(3000));
                assertEquals(1, r.attemptCount(r.request()), "a list of thousands");
                r.deliverList(ListKind.FULL, FakeHost.member(5, 3, READY)); // no server in the proxy's own zone
                int t = r.request();
                r.advance(100);
                assertEquals(5, r.serverOf(t, 0), "the only one left, of another zone");
                r.endAttempt(t, 0, Status.OK, 100, new Report(1e300, -1e300, -7, -1, 1e300, Double.NaN));
                r.deliverList(ListKind.FULL);
                int none = r.request();
                r.advance(1000);
                assertEquals("refused", r.finalAnswers.get(none), "an empty list");
            }
        }
    }

    @Test
    void fewProxiesStillUseEveryServer() {
        List<FakeHost> bank = proxies(3, 14);
        int[] got = run(bank, 40, 14);
        assertTrue(Arrays.stream(got).allMatch(n -> n > 0), Arrays.toString(got));
    }

    @Test
    void aServerThatDoesNotReportIsNotTreatedAsIdle() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(3));
        int toUnreporting = 0;
        for (int i = 0; i < 300; i++) {
            int newest = r.request();
            r.advance(20);
            for (int t = Math.max(1, newest - 20); t <= newest; t++) {
                if (r.attemptCount(t) > 0 && !r.finalAnswers.containsKey(t)) {
                    boolean reports = r.serverOf(t, 0) != 2;
                    r.endAttempt(t, 0, Status.OK, 20, reports ? FakeHost.report(0.5 + 0.001 * i, 3) : null);
                    toUnreporting += reports ? 0 : 1;
                }
            }
        }
        assertTrue(
                toUnreporting > 20 && toUnreporting < 240,
                "the server that does not report got " + toUnreporting + " of 300");
    }

    @Test
    void anUnreportedOverloadGetsFewRequestsUntilItIsRetried() {
        FakeHost r = host(FakeHost.AT_MOST_ONCE).deliverList(ListKind.FULL, FakeHost.ready(6));
        for (int i = 0; i < 100; i++) { // all servers overloaded: no answers, no reports
            int newest = r.request();
            r.advance(20);
            for (int t = Math.max(1, newest - 20); t <= newest; t++) {
                if (r.attemptCount(t) > 0 && !r.finalAnswers.containsKey(t) && t <= newest - 12) {
                    r.endAttempt(t, 0, Status.TIMEOUT, 250, null);
                }
            }
        }
        assertTrue(r.sends.size() < 42, "sent during the overload: " + r.sends.size());
        int before = r.sends.size();
        for (int i = 0; i < 100; i++) {
            r.request();
            r.advance(100);
        }
        assertTrue(r.sends.size() > before, "never tried again");
    }

    // ---- health ----

    @Test
    void aSilentServerIsEjected() {
        FakeHost r = host(FakeHost.IDEMPOTENT, FakeHost.AT_MOST_ONCE).deliverList(ListKind.FULL, FakeHost.ready(4));
        serve(r, 80, 4, 20, null);
        int toSilent = 0;
        for (int i = 0; i < 100; i++) {
            int t = r.request(1, 1000);
            if (r.serverOf(t, 0) == 2) {
                toSilent++;
            } else {
                r.succeed(t, 20);
            }
            r.advance(20);
        }
        assertTrue(toSilent <= 4, "sent to the silent server: " + toSilent);
    }

    @Test
    void aServerThatFailsFastDoesNotAttractRequests() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(4));
        int toBad = 0;
        for (int i = 0; i < 200; i++) {
            int t = r.request();
            for (int a = 0; a < r.attemptCount(t); a++) {
                boolean bad = r.serverOf(t, a) == 0;
                toBad += bad ? 1 : 0;
                r.advance(bad ? 5 : 30);
                r.endAttempt(t, a, bad ? Status.ERROR : Status.OK, bad ? 1 : 30, FakeHost.report(bad ? 0 : 0.6, 0));
            }
        }
        assertTrue(toBad < 20, "sent to the failing server: " + toBad);
    }

    @Test
    void ejectionLeavesMostOfTheFleetInUse() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(6));
        serve(r, 200, 6, 20, null); // until all six are in use
        for (int i = 0; i < 60; i++) {
            int t = r.request();
            for (int a = 0; a < r.attemptCount(t); a++) {
                r.endAttempt(t, a, Status.ERROR, 1, null);
            }
            r.advance(5);
        }
        int[] used = new int[6];
        for (int i = 0; i < 60; i++) {
            int t = r.request();
            used[r.serverOf(t, 0)]++;
            r.endAttempt(t, 0, Status.ERROR, 1, null);
        }
        assertTrue(Arrays.stream(used).filter(n -> n > 0).count() >= 4, Arrays.toString(used));
    }

    @Test
    void aSlowAnswerFromAHealthyServerCausesNoSecondAttempt() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(1));
        int slow = r.request();
        int quick = r.request();
        r.deliverList(ListKind.DELTA, FakeHost.member(1, 0, READY));
        r.advance(30);
        r.succeed(quick, 30);
        r.advance(400);
        assertEquals(1, r.attemptCount(slow));
    }

    @Test
    void attemptsTimeOutAtTheLatencyTarget() {
        FakeHost r = host(FakeHost.IDEMPOTENT, FakeHost.AT_MOST_ONCE, FakeHost.DEDUPLICATED)
                .deliverList(ListKind.FULL, FakeHost.ready(3));
        int t = r.request(0, 1000);
        assertEquals(250 * FakeHost.MS, r.lastTimeout, "the latency target");
        r.advance(250);
        int sent = r.attemptCount(t);
        for (int a = 0; a < sent; a++) {
            r.endAttempt(t, a, Status.TIMEOUT, 250, null);
        }
        assertEquals(sent, r.attemptCount(t), "an attempt that would be late is not sent");
        assertEquals("refused", r.finalAnswers.get(t), "no further attempt that would be late");
        FakeHost calm = host(FakeHost.IDEMPOTENT, FakeHost.AT_MOST_ONCE, FakeHost.DEDUPLICATED)
                .deliverList(ListKind.FULL, FakeHost.ready(3));
        calm.request(1, 1000);
        assertEquals(250 * FakeHost.MS, calm.lastTimeout);
        calm.request(2, 1000);
        assertEquals(0, calm.lastTimeout, "no timeout, as the client's repeat would run beside it");
    }

    @Test
    void theRetryBudgetLimitsRetries() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(10));
        int attempts = 0;
        for (int i = 0; i < 200; i++) {
            int t = r.request();
            for (int a = 0; a < r.attemptCount(t); a++) {
                r.endAttempt(t, a, Status.FULL, 1, null);
            }
            attempts += r.attemptCount(t);
        }
        assertTrue(attempts < 215, "attempts " + attempts);
    }

    /** Resets are no evidence of load: a series of them is retried, within a budget of its own. */
    @Test
    void brokenConnectionsAreRetriedWithinTheirOwnBudget() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(6));
        int again = 0;
        for (int i = 0; i < 200; i++) {
            int t = r.request();
            boolean breaks = i % 5 == 0 || i >= 100; // one in five, later all
            r.endAttempt(t, 0, breaks ? Status.RESET : Status.OK, 1, null);
            if (r.attemptCount(t) > 1) {
                again++;
                r.succeed(t, 1);
            }
            assertTrue(i != 99 || again == 20, "retried " + again + " of 20");
            r.advance(5);
        }
        assertTrue(again < 70, "retried " + again + " of 120");
    }

    // ---- admission and zones ----

    @Test
    void requestsWithoutRoomAtAServerWaitInTheProxy() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(1));
        serve(r, 50, 1, 100, null);
        int first = r.request();
        int second = r.request();
        int third = r.request();
        assertEquals(1, r.attemptCount(first));
        assertEquals(0, r.attemptCount(third), "waits");
        r.advance(50);
        r.succeed(first, 50);
        assertEquals(1, r.attemptCount(third), "an answer makes room for the newest, which has most time left");
        assertEquals(0, r.attemptCount(second));
    }

    @Test
    void aRequestWithLessTimeThanHalfOfTheAnswersTookIsRefusedAtOnce() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(3));
        serve(r, 200, 3, 100, null);
        int hasty = r.request(0, 60);
        assertEquals("refused", r.finalAnswers.get(hasty));
        assertEquals(0, r.attemptCount(hasty));
        assertEquals(1, r.attemptCount(r.request(0, 200)));
    }

    @Test
    void attemptsAreThrottledWhenMostAreLost() {
        FakeHost r = host(FakeHost.AT_MOST_ONCE).deliverList(ListKind.FULL, FakeHost.ready(6));
        int sent = 0;
        for (int i = 0; i < 400; i++) { // 50 requests per second for 8 s; one in three is answered
            int newest = r.request();
            r.advance(20);
            for (int t = Math.max(1, newest - 20); t <= newest; t++) {
                if (r.attemptCount(t) > 0 && !r.finalAnswers.containsKey(t) && t <= newest - 3) {
                    r.endAttempt(t, 0, t % 3 == 0 ? Status.OK : Status.TIMEOUT, 60, null);
                    sent++;
                }
            }
        }
        assertTrue(sent > 4 && sent < 200, "sent " + sent + " of 400 into servers that lose two of three");
    }

    @Test
    void lostFirstSendsDoNotKeepTheProxyThrottled() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(6));
        List<Integer> first = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            first.add(r.request());
            r.advance(5);
        }
        r.advance(50);
        for (int t : first) {
            if (r.attemptCount(t) > 0 && !r.finalAnswers.containsKey(t)) {
                r.endAttempt(t, 0, Status.TIMEOUT, 150, null);
            }
        }
        int served = 0;
        for (int i = 0; i < 100; i++) { // 100 requests in 1 s, each answered at once if it is sent
            int t = r.request();
            if (r.attemptCount(t) > 0) {
                r.succeed(t, 1);
                served++;
            }
            r.advance(10);
        }
        assertTrue(served > 25, "served " + served + " of 100");
    }

    /** Sends in 4 s at 50 requests per second, if every answer takes this long, within the latency target. */
    private static int sentWithAnswersAfter(int ms, Report report) {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(6));
        serve(r, 100, 6, 20, null);
        int before = r.sends.size();
        for (int i = 0; i < 200; i++) {
            int newest = r.request();
            r.advance(20);
            int due = newest - ms / 20 + 1;
            for (int t = Math.max(101, due - 20); t <= due; t++) {
                if (r.attemptCount(t) > 0 && !r.finalAnswers.containsKey(t)) {
                    r.endAttempt(t, 0, Status.OK, ms, report);
                }
            }
        }
        return r.sends.size() - before;
    }

    @Test
    void answersDelayedByAQueueReduceTheSends() {
        Report works20ms = new Report(Double.NaN, Double.NaN, 0.5, 20, Double.NaN, Double.NaN);
        Report works200ms = new Report(Double.NaN, Double.NaN, 0.5, 200, Double.NaN, Double.NaN);
        int queued = sentWithAnswersAfter(200, works20ms);
        int slow = sentWithAnswersAfter(200, works200ms);
        assertTrue(queued < 0.7 * slow, queued + " through a queue, " + slow + " of long work");
    }

    @Test
    void aServersCapacityIsItsThroughputOverItsUtilization() {
        // Every answer takes 1 s; the server with the same utilization at a third of the throughput gets less.
        FakeHost r = host(new Balancer.Profile(
                        Balancer.Effect.IDEMPOTENT,
                        Balancer.Scope.ALL,
                        0,
                        3000 * FakeHost.MS,
                        6000 * FakeHost.MS,
                        1,
                        0,
                        false,
                        false))
                .deliverList(ListKind.FULL, FakeHost.ready(2));
        int[] got = new int[2];
        for (int i = 0; i < 600; i++) {
            int newest = r.request(0, 6000);
            r.advance(25);
            int t = newest - 40;
            if (t > 0 && r.attemptCount(t) > 0) {
                int s = r.serverOf(t, 0);
                got[s]++;
                r.endAttempt(
                        t,
                        0,
                        Status.OK,
                        1000,
                        new Report(Double.NaN, 0, 0.6 + i * 1e-5, 1000, (s == 0 ? 30 : 10) + i * 1e-5, Double.NaN));
            }
        }
        assertTrue(got[0] > 1.5 * got[1], Arrays.toString(got));
    }

    @Test
    void aMarkedRepeatCountsItsLatencyTargetFromTheFirstTry() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(3));
        serve(r, 100, 3, 20, null); // first tries have 1000 ms, the client timeout of the class
        int late = r.repeat(0, 700); // 300 ms after its first try, past the latency target of 250 ms
        assertEquals(0, r.attemptCount(late));
        assertEquals("refused", r.finalAnswers.get(late));
        int early = r.repeat(0, 900);
        assertEquals(1, r.attemptCount(early));
        assertEquals(150 * FakeHost.MS, r.lastTimeout);
        assertEquals(1, r.attemptCount(r.request(0, 700)), "a first try with as little time is not late");
    }

    @Test
    void outcomesFoundAfterAStallDoNotAffectServers() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(4));
        serve(r, 200, 4, 20, null);
        List<Integer> out = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            out.add(r.request());
        }
        r.now += 600 * FakeHost.MS; // the proxy stalls
        out.forEach(t -> r.endAttempt(t, 0, Status.TIMEOUT, 250, null));
        r.advance(5);
        for (int i = 0; i < 8; i++) {
            assertEquals(1, r.attemptCount(r.request()), "no request is held back");
        }
    }

    @Test
    void theOwnZoneComesFirstAndSpillsOverWhenFull() {
        FakeHost r = host(FakeHost.IDEMPOTENT)
                .deliverList(ListKind.FULL, FakeHost.member(0, 0, READY), FakeHost.member(1, 1, READY));
        List<Integer> got = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            int t = r.request();
            if (r.attemptCount(t) > 0) {
                got.add(r.serverOf(t, 0));
            }
        }
        assertEquals(0, got.get(0));
        assertTrue(got.contains(1), "spills over: " + got);
        FakeHost calm = host(FakeHost.IDEMPOTENT)
                .deliverList(ListKind.FULL, FakeHost.member(0, 0, READY), FakeHost.member(1, 1, READY));
        assertEquals(50, serve(calm, 50, 2, 20, null)[0]);
    }

    /** Returns how many of 200 requests are sent to another zone while the own server reports utilization 0.9. */
    private static int sentOutOfABusyZone(double inflight) {
        FakeHost r = host(FakeHost.IDEMPOTENT)
                .deliverList(ListKind.FULL, FakeHost.member(0, 0, READY), FakeHost.member(1, 1, READY));
        Report[] reports = {FakeHost.report(0.9, inflight), FakeHost.report(0.1, inflight)};
        return serve(r, 200, 2, 60, reports)[1];
    }

    @Test
    void aBusyZoneSpillsOverWithoutReportedRequestCounts() {
        assertTrue(sentOutOfABusyZone(Double.NaN) > 50, "sent to the other zone: " + sentOutOfABusyZone(Double.NaN));
        assertTrue(
                sentOutOfABusyZone(0) < 10,
                "sent to the other zone though the own server is empty: " + sentOutOfABusyZone(0));
    }

    // ---- classes that yield ----

    private static final Balancer.Profile VALUABLE = profile(250, 500, 12);
    private static final Balancer.Profile LONG_TARGET = profile(1500, 4000, 1);

    private static Balancer.Profile profile(long promiseMs, long giveUpMs, double worth) {
        return new Balancer.Profile(
                Balancer.Effect.IDEMPOTENT,
                Balancer.Scope.ALL,
                0,
                promiseMs * FakeHost.MS,
                giveUpMs * FakeHost.MS,
                worth,
                0,
                false,
                false);
    }

    /**
     * Simulates servers with two cores that share them among all open requests and report only the number of
     * those; 8 s of short requests of class 0 with four long ones of class 1 for each.
     * Returns the share of each class served in time, then the requests sent to each server.
     */
    private static double[] runMixedLoad(FakeHost r, int servers, int gapMs, int shortMs, int longMs) {
        Map<Integer, double[]> out = new TreeMap<>(); // ticket: work left, sent at, server
        int[] asked = new int[2];
        int[] served = new int[2];
        Map<Integer, Integer> classes = new HashMap<>();
        double[] got = new double[2 + servers];
        for (int ms = 0; ms < 8000; ms += 5) {
            if (ms % gapMs == 0) {
                int c = ms / gapMs % 5 == 0 ? 0 : 1;
                asked[c]++;
                classes.put(r.request(c, c == 0 ? 500 : 4000), c);
            }
            r.advance(5);
            for (int t : classes.keySet()) {
                if (r.attemptCount(t) > 0 && !r.finalAnswers.containsKey(t) && !out.containsKey(t)) {
                    out.put(t, new double[] {classes.get(t) == 0 ? shortMs : longMs, ms, r.serverOf(t, 0)});
                    got[2 + r.serverOf(t, 0)]++;
                }
            }
            int[] holds = new int[servers];
            out.values().forEach(o -> holds[(int) o[2]]++);
            for (var e : List.copyOf(out.entrySet())) {
                double[] o = e.getValue();
                o[0] -= 5 * Math.min(1, 2.0 / holds[(int) o[2]]);
                long took = (long) (ms - o[1]);
                boolean late = took > (classes.get(e.getKey()) == 0 ? 250 : 1500);
                if (o[0] <= 0 || late) {
                    out.remove(e.getKey());
                    served[classes.get(e.getKey())] += late ? 0 : 1;
                    r.endAttempt(
                            e.getKey(),
                            0,
                            late ? Status.TIMEOUT : Status.OK,
                            Math.max(1, took),
                            late ? null : FakeHost.report(Double.NaN, holds[(int) o[2]] - 1));
                }
            }
        }
        got[0] = served[0] / (double) asked[0];
        got[1] = served[1] / (double) asked[1];
        return got;
    }

    @Test
    void requestsWithLongTargetsLeaveRoomForMoreValuableOnes() {
        // Work for 2.9 cores on two servers of two cores each, later for 5.6.
        FakeHost busy = host(VALUABLE, LONG_TARGET).deliverList(ListKind.FULL, FakeHost.ready(2));
        double[] got = runMixedLoad(busy, 2, 40, 40, 200);
        assertTrue(got[0] > 0.9 && got[1] > 0.6, "busy: " + Arrays.toString(got));
        FakeHost over = host(VALUABLE, LONG_TARGET).deliverList(ListKind.FULL, FakeHost.ready(2));
        got = runMixedLoad(over, 2, 30, 40, 200);
        assertTrue(got[0] > 0.9 && got[1] > 0.4, "over its limit: " + Arrays.toString(got));
    }

    @Test
    void requestsWithLongTargetsDoNotYieldIfTheyEarnMost() {
        FakeHost r = host(profile(250, 500, 0.5), LONG_TARGET).deliverList(ListKind.FULL, FakeHost.ready(2));
        double[] got = runMixedLoad(r, 2, 40, 40, 200);
        assertTrue(got[1] > 0.9, Arrays.toString(got));
    }

    @Test
    void requestsThatYieldAreSentWhereThereIsRoom() {
        FakeHost r = host(VALUABLE, LONG_TARGET)
                .deliverList(
                        ListKind.FULL,
                        FakeHost.member(0, 0, READY),
                        FakeHost.member(1, 1, READY),
                        FakeHost.member(2, 1, READY));
        double[] got = runMixedLoad(r, 3, 40, 40, 200);
        assertTrue(got[3] + got[4] > 40 && got[0] > 0.9 && got[1] > 0.6, Arrays.toString(got));
    }

    @Test
    void aRepeatedReportWithoutUtilizationIsNotTreatedAsNew() {
        Report[] withoutUtilization = {FakeHost.report(Double.NaN, 4), FakeHost.report(Double.NaN, 0)};
        Report[] idle = {FakeHost.report(0, 4), FakeHost.report(0, 0)};
        int[] got = serve(
                host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(2)),
                200,
                2,
                20,
                withoutUtilization);
        int[] expected =
                serve(host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(2)), 200, 2, 20, idle);
        assertEquals(Arrays.toString(expected), Arrays.toString(got));
    }

    // ---- discovery ----

    @Test
    void discoveryIsAskedAtTheStartAndAgainAfterAFailure() {
        FakeHost r = new FakeHost(FakeHost.settings(true, FakeHost.IDEMPOTENT));
        assertEquals(List.of("subscribe true"), r.actions);
        r.deliverList(ListKind.CACHED, FakeHost.ready(1));
        r.deliverList(ListKind.FAILED);
        r.advance(1000);
        assertTrue(r.actions.size() >= 2, "requested again after the failure");
        r.deliverList(ListKind.FULL, FakeHost.ready(2));
        int asked = r.actions.size();
        r.advance(60_000);
        assertEquals(asked, r.actions.size(), "not requested again while subscribed");
    }

    /** A change must take effect within 6 s of discovery being reachable, so the backoff stays short. */
    @Test
    void failedDiscoveryCallsAreRetriedWithinASecond() {
        FakeHost r = new FakeHost(FakeHost.settings(true, FakeHost.IDEMPOTENT));
        for (int asked = 1; asked < 50; asked++) {
            assertEquals(asked, r.actions.size());
            r.deliverList(ListKind.FAILED).advance(100);
            assertEquals(asked, r.actions.size(), "the list was requested without a pause");
            r.advance(800);
        }
    }

    @Test
    void anUnansweredCallIsRepeatedBeforeTheListIsTooOld() {
        FakeHost r = new FakeHost(FakeHost.settings(true, FakeHost.IDEMPOTENT))
                .deliverList(ListKind.CACHED, FakeHost.ready(1));
        r.advance(9000);
        assertEquals(List.of("subscribe true", "subscribe true"), r.actions);
    }

    // ---- determinism ----

    @Test
    void theSameEventsGiveTheSameActionsAlsoBesideAnotherInstance() {
        FakeHost a = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(5));
        FakeHost b = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(5));
        FakeHost other = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(2));
        serve(a, 50, 5, 20, null);
        for (int i = 0; i < 50; i++) {
            serve(other, 1, 2, 35, null);
            serve(b, 1, 5, 20, null);
        }
        assertEquals(a.actions, b.actions);
    }

    @Test
    void aClockThatDoesNotAdvanceIsHandled() {
        FakeHost r = host(FakeHost.IDEMPOTENT).deliverList(ListKind.FULL, FakeHost.ready(2));
        for (int i = 0; i < 100; i++) {
            r.endAttempt(r.request(), 0, Status.OK, 0, FakeHost.report(0.5, 0));
        }
        assertEquals(100, r.finalAnswers.size());
    }

    @Test
    void contradictoryEntriesOfAListApplyInOrder() {
        FakeHost r = host(FakeHost.IDEMPOTENT);
        r.deliverList(
                ListKind.FULL,
                FakeHost.member(0, 0, READY),
                FakeHost.member(0, 0, State.DRAINING),
                FakeHost.member(1, 0, READY));
        assertEquals(10, serve(r, 10, 2, 20, null)[1]);
    }
}
