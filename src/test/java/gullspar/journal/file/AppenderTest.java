package gullspar.journal.file;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.journal.Entry;
import gullspar.journal.Entry.AttemptOutcome;
import gullspar.journal.Entry.Kind;
import gullspar.journal.Entry.Request;
import gullspar.journal.Entry.RequestOutcome;
import gullspar.journal.RequestHistories;
import gullspar.journal.RequestHistory;
import gullspar.journal.SegmentScanner;
import gullspar.journal.file.Appender.Durability;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** The appender on a disk that fails or crashes at each operation. */
class AppenderTest {
    private static final int REQUESTS = 6;

    /** Requests that a node may have received: their intent was reported as recorded. */
    private final Set<Request> sent = new HashSet<>();

    private final Set<Request> refused = new HashSet<>();

    /** Journals some requests as the daemon does: none is sent before its intent is recorded. */
    private void serve(FaultyDisk disk, Durability durability, long segmentBytes) {
        Appender a = new Appender(disk, durability, segmentBytes, 1, 0, () -> 5);
        for (int i = 0; i < REQUESTS; i++) {
            Request r = new Request(9, i);
            a.add(new Entry.Accepted(r, i, Kind.UNSAFE, "k" + i, false, "", "/", 0), ok -> {});
            a.add(new Entry.Intent(r, i, 0, "node", "z"), ok -> {
                (ok ? sent : refused).add(r);
                a.add(
                        ok
                                ? new Entry.AttemptEnded(r, 1, 0, AttemptOutcome.SERVED)
                                : new Entry.Completed(r, 1, RequestOutcome.REFUSED),
                        done -> {});
            });
            if (i % 2 == 1) {
                a.writeBatch();
                a.writeBatch();
            }
        }
        a.close();
    }

    static RequestHistories read(Disk disk) {
        RequestHistories histories = new RequestHistories();
        SegmentScanner.Visitor visitor = new SegmentScanner.Visitor() {
            @Override
            public void entry(long at, Entry e) {
                histories.add(e);
            }

            @Override
            public void lost(long from, long to) {
                histories.markRecordsLost();
            }
        };
        try {
            Recovery.read(disk, visitor);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        return histories;
    }

    private void assertAllSentRecorded(FaultyDisk disk, String when) {
        RequestHistories histories = read(disk);
        for (Request r : sent) {
            RequestHistory s = histories.find(r);
            assertTrue(s != null && s.mayHaveRun(), when + ": " + r + " is missing or reported as not run");
        }
    }

    private int countOperations(Durability durability, long segmentBytes) {
        FaultyDisk disk = new FaultyDisk();
        serve(disk, durability, segmentBytes);
        assertEquals(REQUESTS, sent.size());
        assertEquals(REQUESTS, read(disk).all().size());
        sent.clear();
        return disk.operationCount;
    }

    @Test
    void sentRequestsSurviveProcessCrash() {
        for (long segmentBytes : new long[] {1 << 20, 200}) {
            int all = countOperations(Durability.PROCESS, segmentBytes);
            for (int at = 0; at < all; at++) {
                for (int bytes = 0; bytes < 400; bytes++) {
                    FaultyDisk disk = new FaultyDisk();
                    disk.crashAt = at;
                    disk.partialBytes = bytes;
                    sent.clear();
                    try {
                        serve(disk, Durability.PROCESS, segmentBytes);
                    } catch (FaultyDisk.CrashException e) {
                        assertAllSentRecorded(disk, "operation " + at + ", byte " + bytes);
                    }
                }
            }
        }
    }

    @Property(tries = 5000, seed = "95")
    void sentRequestsSurvivePowerLoss(@ForAll int seed) {
        Random random = new Random(seed);
        long segmentBytes = random.nextBoolean() ? 1 << 20 : 300;
        sent.clear();
        FaultyDisk disk = new FaultyDisk();
        disk.crashAt = random.nextInt(30);
        disk.partialBytes = random.nextInt(400);
        try {
            serve(disk, Durability.MACHINE, segmentBytes);
        } catch (FaultyDisk.CrashException e) {
            disk.losePower(random);
            assertAllSentRecorded(disk, "seed " + seed);
        }
    }

    @Property(tries = 3000, seed = "96")
    void failingDiskRejectsIntentsAndLosesNothing(@ForAll int seed) {
        Random random = new Random(seed);
        FaultyDisk disk = new FaultyDisk();
        for (int i = 0; i < 6; i++) {
            disk.failingOperations.add(random.nextInt(30));
        }
        disk.partialBytes = random.nextInt(200);
        sent.clear();
        refused.clear();
        serve(disk, Durability.MACHINE, 500);
        assertAllSentRecorded(disk, "seed " + seed);
        Set<Request> both = new HashSet<>(sent);
        both.retainAll(refused);
        assertEquals(Set.of(), both);
    }

    @Test
    void failingDiskRejectsIntentsAtOnceAndRetainsOtherEntries() {
        FaultyDisk disk = new FaultyDisk();
        for (int i = 0; i < 10; i++) {
            disk.failingOperations.add(i);
        }
        Appender a = new Appender(disk, Durability.PROCESS, 1 << 20, 1, 0, () -> 5);
        List<String> results = new ArrayList<>();
        Request r = new Request(1, 1);
        a.add(new Entry.Accepted(r, 1, Kind.UNSAFE, "k", false, "", "", 0), ok -> results.add("taken " + ok));
        a.add(new Entry.Intent(r, 1, 0, "n", ""), ok -> results.add("intent " + ok));
        assertTrue(a.writeBatch());
        assertEquals(List.of("intent false"), results);
        assertEquals("no space left on device", a.lastFailure());
        assertEquals(1, a.pendingCount());
        for (int i = 0; i < 10 && a.lastFailure() != null; i++) {
            a.writeBatch();
        }
        assertEquals(List.of("intent false", "taken true"), results);
        assertEquals(0, a.pendingCount());
        assertFalse(a.writeBatch());
    }
}
