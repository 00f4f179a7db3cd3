package gullspar.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.journal.Entry.Answer;
import gullspar.journal.Entry.Kind;
import gullspar.journal.Entry.Outcome;
import gullspar.journal.Entry.Request;
import gullspar.journal.RequestHistory.State;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Segments as they were written, cut and damaged: what is wrong is found, and no story says too little. */
class ScanTest {
    /** What a scan brought. */
    private static final class Read implements Scan.Visitor {
        final List<Entry> entries = new ArrayList<>();
        final List<long[]> lost = new ArrayList<>();
        final RequestHistories stories = new RequestHistories();
        Scan.End end;

        @Override
        public void entry(long at, Entry e) {
            entries.add(e);
            stories.add(e);
        }

        @Override
        public void lost(long from, long to) {
            lost.add(new long[] {from, to});
            stories.lost();
        }
    }

    private static Read read(byte[] segment) {
        Read r = new Read();
        try {
            r.end = Scan.records(
                    (at, into) -> {
                        int n = (int) Math.max(0, Math.min(into.length, segment.length - at));
                        System.arraycopy(segment, (int) Math.min(at, segment.length), into, 0, n);
                        return n;
                    },
                    r);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        return r;
    }

    private static byte[] written(List<Entry> entries) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(Segment.head(3, 17, 1_700_000_000_000L));
        entries.forEach(e -> out.writeBytes(Segment.record(e)));
        return out.toByteArray();
    }

    /** The lives of several requests, their records mixed as they come in service. */
    private static List<Entry> lives(int seed, int requests) {
        Random random = new Random(seed);
        List<List<Entry>> lives = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            Request r = new Request(7, i);
            List<Entry> life = new ArrayList<>();
            life.add(new Entry.Taken(
                    r,
                    i,
                    random.nextBoolean() ? Kind.KEYED : Kind.UNSAFE,
                    "key-" + i + "\u00e9".repeat(random.nextInt(40)),
                    random.nextBoolean(),
                    "id" + i,
                    "/pay",
                    1000));
            boolean mayHaveRun = false;
            for (int a = 0; a < random.nextInt(3); a++) {
                life.add(new Entry.Intent(r, i + a, a, "node-" + a, "z" + a));
                if (random.nextInt(4) > 0) {
                    Outcome o = Outcome.values()[random.nextInt(3)];
                    life.add(new Entry.Ended(r, i + a, a, o));
                    mayHaveRun |= o != Outcome.NEVER_RAN;
                } else {
                    mayHaveRun = true;
                }
            }
            if (random.nextInt(3) > 0) {
                life.add(new Entry.Answered(
                        r, i, mayHaveRun ? random.nextBoolean() ? Answer.SERVED : Answer.FAILED : Answer.REFUSED));
            }
            lives.add(life);
        }
        List<Entry> mixed = new ArrayList<>();
        while (!lives.isEmpty()) {
            List<Entry> one = lives.get(random.nextInt(lives.size()));
            mixed.add(one.remove(0));
            lives.removeIf(List::isEmpty);
        }
        return mixed;
    }

    @Property(tries = 300, seed = "91")
    void whatIsWrittenIsRead(@ForAll int seed, @ForAll @IntRange(min = 0, max = 60) int requests) {
        List<Entry> entries = lives(seed, requests);
        byte[] segment = written(entries);
        Read r = read(segment);
        assertEquals(entries, r.entries);
        assertEquals(List.of(), r.lost);
        assertEquals(new Scan.End(segment.length, entries.size(), false), r.end);
    }

    /** No request that may have run is called never sent or refused because of what is lost. */
    private static void sayNotTooLittle(Read whole, Read damaged) {
        for (RequestHistory truth : whole.stories.all()) {
            RequestHistory s = damaged.stories.of(truth.request());
            if (truth.mayHaveRun() && s != null) {
                assertNotEquals(State.NEVER_SENT, s.state(), truth.request().toString());
                assertNotEquals(State.REFUSED, s.state(), truth.request().toString());
            }
        }
    }

    @Property(tries = 3000, seed = "92")
    void aFlippedBitIsFoundAndTheRestIsRead(
            @ForAll int seed, @ForAll @IntRange(min = 1, max = 12) int requests, @ForAll @IntRange(min = 0) int place) {
        List<Entry> entries = lives(seed, requests);
        byte[] segment = written(entries);
        byte[] flipped = segment.clone();
        int bit = place % ((segment.length - Segment.HEAD) * 8);
        flipped[Segment.HEAD + bit / 8] ^= (byte) (1 << bit % 8);
        Read r = read(flipped);
        assertEquals(1, r.lost.size());
        assertEquals(entries.size() - 1, r.entries.size());
        assertFalse(r.end.torn());
        sayNotTooLittle(read(segment), r);
    }

    @Property(tries = 2000, seed = "93")
    void aDamagedStretchIsFound(
            @ForAll int seed,
            @ForAll @IntRange(min = 1, max = 12) int requests,
            @ForAll @IntRange(min = 0) int place,
            @ForAll @IntRange(min = 1, max = 300) int length) {
        byte[] segment = written(lives(seed, requests));
        byte[] damaged = segment.clone();
        int from = Segment.HEAD + place % (segment.length - Segment.HEAD);
        byte[] noise = new byte[Math.min(length, segment.length - from)];
        new Random(seed).nextBytes(noise);
        System.arraycopy(noise, 0, damaged, from, noise.length);
        Read r = read(damaged);
        assertTrue(!r.lost.isEmpty() || Arrays.equals(segment, damaged));
        sayNotTooLittle(read(segment), r);
    }

    @Property(tries = 2000, seed = "94")
    void aCutSegmentEndsWithItsLastWholeRecord(
            @ForAll int seed, @ForAll @IntRange(min = 1, max = 12) int requests, @ForAll @IntRange(min = 0) int place) {
        List<Entry> entries = lives(seed, requests);
        byte[] segment = written(entries);
        int cut = Segment.HEAD + place % (segment.length - Segment.HEAD);
        Read r = read(Arrays.copyOf(segment, cut));
        assertEquals(entries.subList(0, r.entries.size()), r.entries);
        assertEquals(List.of(), r.lost);
        assertEquals(r.end.at() < cut, r.end.torn());
        assertTrue(r.end.at() <= cut && r.end.records() == r.entries.size());
    }

    /** A record that another one holds as text is none. */
    @Test
    void aDamagedRecordDoesNotMakeOneOfWhatItHolds() {
        Request r = new Request(1, 1);
        List<Entry> entries = List.of(
                new Entry.Taken(r, 1, Kind.UNSAFE, "", false, "", "", 0), new Entry.Answered(r, 2, Answer.SERVED));
        byte[] segment = written(entries);
        segment[Segment.HEAD + 20] ^= 1;
        Read read = read(segment);
        assertEquals(List.of(entries.get(1)), read.entries);
        assertEquals(State.SERVED, read.stories.of(r).state());
    }

    @Test
    void aSegmentLargerThanTheWindowIsReadInPieces() {
        List<Entry> entries = lives(5, 3000);
        byte[] segment = written(entries);
        assertTrue(segment.length > 4 * (Segment.LONGEST + Segment.RECORD_HEAD));
        assertEquals(entries, read(segment).entries);
    }

    @Test
    void headsOfOtherFilesNewerVersionsAndDamagedOnesAreRefused() {
        byte[] head = Segment.head(3, 17, 99);
        assertEquals(new Segment.Head(1, 3, 17, 99), Segment.head(head));
        byte[] newer = Segment.head(2, 3, 17, 99);
        assertTrue(assertThrows(Segment.NewerVersionException.class, () -> Segment.head(newer))
                .getMessage()
                .contains("version 2, and this program reads up to 1"));
        for (int bit = 64; bit < Segment.HEAD * 8; bit++) {
            byte[] damaged = head.clone();
            damaged[bit / 8] ^= (byte) (1 << bit % 8);
            assertEquals(
                    "the head of this segment is damaged",
                    assertThrows(IllegalArgumentException.class, () -> Segment.head(damaged))
                            .getMessage(),
                    "also in the version");
        }
        assertThrows(IllegalArgumentException.class, () -> Segment.head(new byte[10]));
        assertThrows(IllegalArgumentException.class, () -> Segment.head(new byte[Segment.HEAD]));
    }
}
