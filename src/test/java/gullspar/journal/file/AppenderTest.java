package gullspar.journal.file;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.journal.Entry;
import gullspar.journal.Entry.Answer;
import gullspar.journal.Entry.Kind;
import gullspar.journal.Entry.Outcome;
import gullspar.journal.Entry.Request;
import gullspar.journal.RequestHistories;
import gullspar.journal.RequestHistory;
import gullspar.journal.Scan;
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

/** The writer over a disk that fails and dies at every moment there is. */
class AppenderTest {
    private static final int REQUESTS = 6;

    /** Which requests a node may have seen: their intent was said to be recorded. */
    private final Set<Request> sent = new HashSet<>();

    private final Set<Request> refused = new HashSet<>();

    /** Some requests, as the daemon would have them: nothing goes out before its intent is recorded. */
    private void serve(FaultyDisk disk, Durability durability, long segmentBytes) {
        Appender a = new Appender(disk, durability, segmentBytes, 1, 0, () -> 5);
        for (int i = 0; i < REQUESTS; i++) {
            Request r = new Request(9, i);
            a.add(new Entry.Taken(r, i, Kind.UNSAFE, "k" + i, false, "", "/", 0), ok -> {});
            a.add(new Entry.Intent(r, i, 0, "node", "z"), ok -> {
                (ok ? sent : refused).add(r);
                a.add(
                        ok ? new Entry.Ended(r, 1, 0, Outcome.SERVED) : new Entry.Answered(r, 1, Answer.REFUSED),
                        done -> {});
            });
            if (i % 2 == 1) {
                a.step();
                a.step();
            }
        }
        a.close();
    }

    static RequestHistories read(Disk disk) {
        RequestHistories stories = new RequestHistories();
        Scan.Visitor visitor = new Scan.Visitor() {
            @Override
            public void entry(long at, Entry e) {
                stories.add(e);
            }

            @Override
            public void lost(long from, long to) {
                stories.lost();
            }
        };
        try {
            Recovery.read(disk, visitor);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        return stories;
    }

    private void everythingSentIsThere(FaultyDisk disk, String when) {
        RequestHistories stories = read(disk);
        for (Request r : sent) {
            RequestHistory s = stories.of(r);
            assertTrue(s != null && s.mayHaveRun(), when + ": " + r + " is missing or said not to have run");
        }
    }

    private int operations(Durability durability, long segmentBytes) {
        FaultyDisk disk = new FaultyDisk();
        serve(disk, durability, segmentBytes);
        assertEquals(REQUESTS, sent.size());
        assertEquals(REQUESTS, read(disk).all().size());
        sent.clear();
        return disk.operations;
    }

    @Test
    void whereverTheProcessIsKilledWhatWasSentIsInTheJournal() {
        for (long segmentBytes : new long[] {1 << 20, 200}) {
            int all = operations(Durability.PROCESS, segmentBytes);
            for (int at = 0; at < all; at++) {
                for (int bytes = 0; bytes < 400; bytes++) {
                    FaultyDisk disk = new FaultyDisk();
                    disk.diesAt = at;
                    disk.dyingBytes = bytes;
                    sent.clear();
                    try {
                        serve(disk, Durability.PROCESS, segmentBytes);
                    } catch (FaultyDisk.Dead e) {
                        everythingSentIsThere(disk, "operation " + at + ", byte " + bytes);
                    }
                }
            }
        }
    }

    @Property(tries = 5000, seed = "95")
    void whereverPowerIsLostWhatWasSentIsInTheJournal(@ForAll int seed) {
        Random random = new Random(seed);
        long segmentBytes = random.nextBoolean() ? 1 << 20 : 300;
        sent.clear();
        FaultyDisk disk = new FaultyDisk();
        disk.diesAt = random.nextInt(30);
        disk.dyingBytes = random.nextInt(400);
        try {
            serve(disk, Durability.MACHINE, segmentBytes);
        } catch (FaultyDisk.Dead e) {
            disk.losePower(random);
            everythingSentIsThere(disk, "seed " + seed);
        }
    }

    @Property(tries = 3000, seed = "96")
    void aDiskThatFailsRefusesIntentsAndLosesNothingOnceItIsBack(@ForAll int seed) {
        Random random = new Random(seed);
        FaultyDisk disk = new FaultyDisk();
        for (int i = 0; i < 6; i++) {
            disk.failing.add(random.nextInt(30));
        }
        disk.dyingBytes = random.nextInt(200);
        sent.clear();
        refused.clear();
        serve(disk, Durability.MACHINE, 500);
        everythingSentIsThere(disk, "seed " + seed);
        Set<Request> both = new HashSet<>(sent);
        both.retainAll(refused);
        assertEquals(Set.of(), both);
    }

    @Test
    void whileTheDiskFailsIntentsAreToldAtOnceAndTheRestWaits() {
        FaultyDisk disk = new FaultyDisk();
        for (int i = 0; i < 10; i++) {
            disk.failing.add(i);
        }
        Appender a = new Appender(disk, Durability.PROCESS, 1 << 20, 1, 0, () -> 5);
        List<String> told = new ArrayList<>();
        Request r = new Request(1, 1);
        a.add(new Entry.Taken(r, 1, Kind.UNSAFE, "k", false, "", "", 0), ok -> told.add("taken " + ok));
        a.add(new Entry.Intent(r, 1, 0, "n", ""), ok -> told.add("intent " + ok));
        assertTrue(a.step());
        assertEquals(List.of("intent false"), told);
        assertEquals("no space left on device", a.failure());
        assertEquals(1, a.waiting());
        for (int i = 0; i < 10 && a.failure() != null; i++) {
            a.step();
        }
        assertEquals(List.of("intent false", "taken true"), told);
        assertEquals(0, a.waiting());
        assertFalse(a.step());
    }
}
