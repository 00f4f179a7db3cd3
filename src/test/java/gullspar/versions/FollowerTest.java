package gullspar.versions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.config.FollowFile;
import gullspar.toml.ProblemsException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Which versions a follower accepts and refuses, and what it acknowledges. */
class FollowerTest {
    private static final long MS = 1_000_000L;
    /** A start has to wait for an outage of this length. */
    private static final long OUTAGE_MS = 8000;
    /** A process has to be ready within this time of its start. */
    private static final long READY_LIMIT_MS = 10_000;

    /** Records the operations of the follower in order. */
    private static final class Host implements Follower.Host {
        private final List<Message> sent = new ArrayList<>();
        private final List<Document> appliedDocuments = new ArrayList<>();
        private final List<List<Delta>> appliedDeltas = new ArrayList<>();
        private final List<String> logged = new ArrayList<>();
        private final List<Integer> connects = new ArrayList<>();
        private int disconnects;

        @Override
        public void connect(int controlIndex) {
            connects.add(controlIndex);
        }

        @Override
        public void disconnect() {
            disconnects++;
        }

        @Override
        public void send(Message m) {
            sent.add(m);
        }

        @Override
        public void apply(Document d, List<Delta> deltas, boolean persisted) {
            appliedDocuments.add(d);
            appliedDeltas.add(deltas);
        }

        @Override
        public void log(String line) {
            logged.add(line);
        }
    }

    private final Host host = new Host();
    private final List<Document> documents = Chain.of(12, 100);
    private final Follower follower =
            new Follower("p", Message.Role.PROXY, Follower.Settings.DEFAULTS, 3, new SplittableRandom(1), host);

    private static Message.Head head(Document d, boolean inStep) {
        return new Message.Head("c1", d == null ? null : d.version(), inStep);
    }

    private Message.Update deltaUpdate(int from, int to) {
        List<Delta> deltas = new ArrayList<>();
        for (int i = from; i < to; i++) {
            deltas.add(Chain.delta(documents.get(i), documents.get(i + 1)));
        }
        return new Message.Update(documents.get(to).version(), null, deltas, "");
    }

    private static Message.Update snapshotUpdate(Document d, Document ancestor) {
        return new Message.Update(d.version(), ancestor == null ? null : ancestor.version(), List.of(), d.text());
    }

    /** Puts a version in force that is on disk and that the control process has as well. */
    private void startInForce(int index) {
        follower.start(0, documents.get(index), false);
        follower.opened(MS);
        follower.received(2 * MS, head(documents.get(index), true));
        follower.applied(3 * MS, documents.get(index).version(), null);
    }

    private Message.Ack ack() {
        for (int i = host.sent.size() - 1; i >= 0; i--) {
            if (host.sent.get(i) instanceof Message.Ack a) {
                return a;
            }
        }
        throw new AssertionError("no ack was sent");
    }

    @Test
    void deltasAreVerifiedAppliedAndAcknowledgedInThatOrder() {
        startInForce(3);
        assertEquals(documents.get(3).version(), ack().inForce());
        follower.received(10 * MS, deltaUpdate(3, 5));
        assertEquals(documents.get(5), host.appliedDocuments.get(1));
        assertEquals(2, host.appliedDeltas.get(1).size());
        assertEquals(documents.get(3).version(), ack().inForce(), "acknowledged before it is in force");
        follower.applied(20 * MS, documents.get(5).version(), null);
        assertEquals(documents.get(5).version(), ack().inForce());
    }

    @Test
    void updatesReceivedWhileApplyingAreAppliedTogether() {
        startInForce(3);
        follower.received(10 * MS, deltaUpdate(3, 4));
        follower.received(11 * MS, deltaUpdate(4, 5));
        follower.received(12 * MS, deltaUpdate(5, 7));
        assertEquals(2, host.appliedDocuments.size());
        follower.applied(20 * MS, documents.get(4).version(), null);
        assertEquals(documents.get(7), host.appliedDocuments.get(2));
        assertEquals(3, host.appliedDeltas.get(2).size());
    }

    @Test
    void lowerVersionIsRefusedAndNextControlProcessTried() {
        startInForce(5);
        follower.received(10 * MS, snapshotUpdate(documents.get(3), null));
        assertEquals(1, host.appliedDocuments.size());
        assertEquals(1, host.disconnects);
        assertEquals(documents.get(5), follower.held());
        follower.tick(600 * MS);
        assertEquals(List.of(0, 1), host.connects);
    }

    @Test
    void forkIsRefusedAsDeltasAndAsSnapshot() {
        startInForce(5);
        Document fork = Chain.after(documents.get(4), "fork");
        Document child = Chain.after(fork, "child of the fork");
        follower.received(10 * MS, new Message.Update(child.version(), null, List.of(Chain.delta(fork, child)), ""));
        assertTrue(host.sent.get(host.sent.size() - 1) instanceof Message.SnapshotRequest);
        follower.received(20 * MS, snapshotUpdate(child, fork));
        assertEquals(1, host.appliedDocuments.size());
        assertTrue(ack().trouble().contains("another version with the same number"), ack().trouble());
        assertEquals(documents.get(5).version(), follower.inForce());
    }

    @Test
    void forkWithTheSameNumberIsDetectedFromTheHead() {
        startInForce(5);
        follower.received(10 * MS, head(Chain.after(documents.get(4), "fork"), true));
        assertTrue(ack().trouble().contains("another version with the same number"));
        follower.received(20 * MS, head(documents.get(5), true));
        assertEquals("", ack().trouble());
    }

    @Test
    void higherEpochOverridesAForkOfTheFormerEpoch() {
        startInForce(5);
        Document next = Chain.after(documents.get(4), 2, "of the new primary");
        follower.received(10 * MS, snapshotUpdate(next, documents.get(5)));
        assertEquals(next, host.appliedDocuments.get(1));
        assertTrue(next.version().comparePosition(documents.get(8).version()) > 0);
        follower.applied(20 * MS, next.version(), null);
        follower.received(30 * MS, deltaUpdate(5, 8));
        assertEquals(2, host.appliedDocuments.size(), "a version of the former primary was applied");
    }

    @Test
    void mismatchedDeltasCauseOneSnapshotRequest() {
        startInForce(3);
        follower.received(10 * MS, deltaUpdate(5, 6));
        assertTrue(host.sent.get(host.sent.size() - 1) instanceof Message.SnapshotRequest);
        follower.received(20 * MS, deltaUpdate(5, 6));
        assertEquals(1, host.disconnects);
        follower.tick(600 * MS);
        follower.opened(700 * MS);
        follower.received(800 * MS, snapshotUpdate(documents.get(6), documents.get(3)));
        assertEquals(documents.get(6), host.appliedDocuments.get(1));
    }

    @Test
    void textWithAWrongChecksumIsNeverApplied() {
        startInForce(3);
        follower.received(10 * MS, new Message.Update(documents.get(6).version(), null, List.of(), "torn"));
        assertEquals(1, host.appliedDocuments.size());
    }

    @Test
    void storedVersionIsAppliedAfterTheStartupWait() {
        follower.start(0, documents.get(3), false);
        follower.closed(10 * MS, "refused");
        follower.tick(2900 * MS);
        assertEquals(List.of(), host.appliedDocuments);
        follower.tick(3000 * MS);
        assertEquals(List.of(documents.get(3)), host.appliedDocuments);
    }

    /** The settings of a proxy whose file leaves the wait out. */
    private static Follower.Settings proxySettings() throws ProblemsException {
        FollowFile file = FollowFile.parse(
                "[control]\nname = \"p\"\nfolder = \"x\"\naddresses = [\"127.0.0.1:1\"]\n", "follow.toml");
        Follower.Settings defaults = Follower.Settings.DEFAULTS;
        return new Follower.Settings(
                file.startupWaitNs(),
                defaults.outdatedTimeoutNs(),
                defaults.silenceTimeoutNs(),
                defaults.initialBackoffNs(),
                defaults.maxBackoffNs(),
                defaults.applyRetryNs());
    }

    /**
     * A proxy that started in an outage of control served by its disk after 3 s, which may name servers that have left
     * since, and by then tried to connect seldom.
     */
    @Test
    void startWaitsForAnOutageOfControlThatEndsInTime() throws Exception {
        Follower starting = new Follower("p", Message.Role.PROXY, proxySettings(), 3, new SplittableRandom(1), host);
        starting.start(0, documents.get(3), false);
        long lastConnectMs = 0;
        int connects = 1;
        starting.closed(0, "refused");
        for (long t = 0; t <= OUTAGE_MS; t += 100) {
            starting.tick(t * MS);
            if (host.connects.size() > connects) {
                connects = host.connects.size();
                lastConnectMs = t;
                starting.closed(t * MS, "refused");
            }
            assertTrue(t - lastConnectMs <= 1100, "no attempt to connect from " + lastConnectMs + " to " + t + " ms");
        }
        assertEquals(List.of(), host.appliedDocuments);
        starting.tick(READY_LIMIT_MS * MS);
        assertEquals(List.of(documents.get(3)), host.appliedDocuments, "a longer outage is not waited for");
    }

    @Test
    void outOfStepControlProcessIsNotTrustedAtStartup() {
        follower.start(0, documents.get(3), false);
        follower.opened(MS);
        follower.received(2 * MS, head(documents.get(3), false));
        assertEquals(List.of(), host.appliedDocuments);
        follower.tick(3000 * MS);
        assertEquals(List.of(documents.get(3)), host.appliedDocuments);
        follower.tick(3100 * MS);
        assertEquals(1, host.disconnects, "did not try another control process");
    }

    @Test
    void firstVersionIsAppliedOnArrival() {
        follower.start(0, null, false);
        follower.opened(MS);
        follower.received(2 * MS, head(null, true));
        follower.received(3 * MS, snapshotUpdate(documents.get(0), null));
        assertEquals(List.of(documents.get(0)), host.appliedDocuments);
    }

    @Test
    void restoredDiskIsNotAppliedIfControlHasANewerVersion() {
        follower.start(0, documents.get(3), false);
        follower.opened(MS);
        follower.received(2 * MS, head(documents.get(9), true));
        assertEquals(List.of(), host.appliedDocuments);
        follower.received(3 * MS, deltaUpdate(3, 9));
        assertEquals(List.of(documents.get(9)), host.appliedDocuments);
    }

    @Test
    void olderCopyIsNotUsedWhileControlAnnouncesAHigherVersion() {
        follower.start(0, documents.get(3), true);
        follower.opened(MS);
        follower.received(2 * MS, head(documents.get(9), true));
        for (long t = 0; t < 20_000; t += 100) {
            follower.partReceived(t * MS);
            follower.tick(t * MS);
        }
        assertEquals(List.of(), host.appliedDocuments);
        follower.received(20_000 * MS, deltaUpdate(3, 9));
        assertEquals(List.of(documents.get(9)), host.appliedDocuments);
    }

    @Test
    void olderCopyIsUsedWithAWarningIfNoControlProcessIsReachable() {
        follower.start(0, documents.get(3), true);
        follower.closed(MS, "refused");
        follower.tick(3000 * MS);
        assertEquals(List.of(documents.get(3)), host.appliedDocuments);
        assertTrue(
                host.logged.stream().anyMatch(s -> s.contains("may be older than the version that ran here")),
                host.logged.toString());
    }

    @Test
    void failedApplyIsReportedAndRetried() {
        startInForce(3);
        follower.received(10 * MS, deltaUpdate(3, 4));
        follower.applied(20 * MS, documents.get(4).version(), "it cannot be kept: No space left on device");
        assertEquals(documents.get(3).version(), ack().inForce());
        assertTrue(ack().trouble().contains("No space left"));
        follower.partReceived(10_000 * MS);
        follower.tick(10_100 * MS);
        assertEquals(3, host.appliedDocuments.size());
        follower.applied(10_200 * MS, documents.get(4).version(), null);
        assertEquals(documents.get(4).version(), ack().inForce());
        assertEquals("", ack().trouble());
    }

    @Test
    void silenceIsDetectedAndBackoffGrowsWithJitter() {
        startInForce(3);
        follower.tick(3000 * MS);
        assertEquals(0, host.disconnects);
        follower.tick(3600 * MS);
        assertEquals(1, host.disconnects);
        long last = 3600;
        List<Long> pauses = new ArrayList<>();
        for (long t = 3600; t < 200_000 && host.connects.size() < 40; t += 10) {
            int before = host.connects.size();
            follower.tick(t * MS);
            if (host.connects.size() > before) {
                pauses.add(t - last);
                last = t;
                follower.closed(t * MS, "refused");
            }
        }
        assertTrue(pauses.stream().allMatch(p -> p <= 8020), pauses.toString());
        assertTrue(pauses.subList(6, pauses.size()).stream()
                        .mapToLong(p -> p)
                        .average()
                        .orElse(0)
                > 2500);
        assertTrue(host.connects.containsAll(List.of(0, 1, 2)));
        assertEquals(documents.get(3).version(), follower.inForce(), "no version in force without control");
    }

    @Test
    void inStepRequiresAllVersionsOfTheControlProcess() {
        follower.start(0, documents.get(3), false);
        follower.opened(MS);
        follower.received(2 * MS, head(documents.get(9), true));
        assertFalse(follower.isInStep(3 * MS), "the restored disk is behind");
        follower.received(4 * MS, deltaUpdate(3, 9));
        assertTrue(follower.isInStep(5 * MS));
        assertFalse(follower.isInStep(5000 * MS), "silent");
        follower.received(5100 * MS, head(documents.get(9), false));
        assertFalse(follower.isInStep(5200 * MS), "the control process is out of step");
    }

    @Test
    void addressOrderDependsOnTheNameAndSpreadsEvenly() {
        List<String> addresses = List.of("a:1", "b:1", "c:1", "d:1", "e:1", "f:1");
        int[] first = new int[6];
        for (int i = 0; i < 640; i++) {
            first[addresses.indexOf(Preference.order("proxy-" + i, addresses).get(0))]++;
        }
        for (int n : first) {
            assertTrue(n > 60 && n < 160, n + " of 640");
        }
        assertEquals(Preference.order("x", addresses), Preference.order("x", addresses));
        assertNull(new History(1, 1).head());
    }
}
