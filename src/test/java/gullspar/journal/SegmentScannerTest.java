package gullspar.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.journal.Entry.AttemptOutcome;
import gullspar.journal.Entry.Kind;
import gullspar.journal.Entry.Request;
import gullspar.journal.Entry.RequestOutcome;
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

/** Intact, truncated and damaged segments: damage is reported, and no history understates what may have run. */
class SegmentScannerTest {
    /** Collects the output of a scan. */
    private static final class ScanOutput implements SegmentScanner.Visitor {
        final List<Entry> entries = new ArrayList<>();
        final List<long[]> lost = new ArrayList<>();
        final RequestHistories histories = new RequestHistories();
        SegmentScanner.Result result;

        @Override
        public void entry(long at, Entry e) {
            entries.add(e);
            histories.add(e);
        }

        @Override
        public void lost(long from, long to) {
            lost.add(new long[] {from, to});
            histories.markRecordsLost();
        }
    }

    private static ScanOutput read(byte[] segment) {
        ScanOutput r = new ScanOutput();
        try {
            r.result = SegmentScanner.scan(
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

    private static byte[] segmentOf(List<Entry> entries) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(Segment.header(3, 17, 1_700_000_000_000L));
        entries.forEach(e -> out.writeBytes(Segment.encodeRecord(e)));
        return out.toByteArray();
    }

    /** The entries of several requests, interleaved as in service. */
    private static List<Entry> randomEntries(int seed, int requests) {
        Random random = new Random(seed);
        List<List<Entry>> perRequest = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            Request r = new Request(7, i);
            List<Entry> entries = new ArrayList<>();
            entries.add(new Entry.Accepted(
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
                entries.add(new Entry.Intent(r, i + a, a, "node-" + a, "z" + a));
                if (random.nextInt(4) > 0) {
                    AttemptOutcome o = AttemptOutcome.values()[random.nextInt(3)];
                    entries.add(new Entry.AttemptEnded(r, i + a, a, o));
                    mayHaveRun |= o != AttemptOutcome.NEVER_RAN;
                } else {
                    mayHaveRun = true;
                }
            }
            if (random.nextInt(3) > 0) {
                entries.add(new Entry.Completed(
                        r,
                        i,
                        mayHaveRun
                                ? random.nextBoolean() ? RequestOutcome.SERVED : RequestOutcome.FAILED
                                : RequestOutcome.REFUSED));
            }
            perRequest.add(entries);
        }
        List<Entry> mixed = new ArrayList<>();
        while (!perRequest.isEmpty()) {
            List<Entry> requestEntries = perRequest.get(random.nextInt(perRequest.size()));
            mixed.add(requestEntries.remove(0));
            perRequest.removeIf(List::isEmpty);
        }
        return mixed;
    }

    @Property(tries = 300, seed = "91")
    void readsBackWhatWasWritten(@ForAll int seed, @ForAll @IntRange(min = 0, max = 60) int requests) {
        List<Entry> entries = randomEntries(seed, requests);
        byte[] segment = segmentOf(entries);
        ScanOutput r = read(segment);
        assertEquals(entries, r.entries);
        assertEquals(List.of(), r.lost);
        assertEquals(new SegmentScanner.Result(segment.length, entries.size(), false), r.result);
    }

    /** Asserts that no request that may have run is reported as never sent or refused because of lost records. */
    private static void assertNoneUnderstated(ScanOutput whole, ScanOutput damaged) {
        for (RequestHistory truth : whole.histories.all()) {
            RequestHistory s = damaged.histories.find(truth.request());
            if (truth.mayHaveRun() && s != null) {
                assertNotEquals(State.NEVER_SENT, s.state(), truth.request().toString());
                assertNotEquals(State.REFUSED, s.state(), truth.request().toString());
            }
        }
    }

    @Property(tries = 3000, seed = "92")
    void flippedBitLosesOneRecordOnly(
            @ForAll int seed, @ForAll @IntRange(min = 1, max = 12) int requests, @ForAll @IntRange(min = 0) int place) {
        List<Entry> entries = randomEntries(seed, requests);
        byte[] segment = segmentOf(entries);
        byte[] flipped = segment.clone();
        int bit = place % ((segment.length - Segment.HEADER_BYTES) * 8);
        flipped[Segment.HEADER_BYTES + bit / 8] ^= (byte) (1 << bit % 8);
        ScanOutput r = read(flipped);
        assertEquals(1, r.lost.size());
        assertEquals(entries.size() - 1, r.entries.size());
        assertFalse(r.result.torn());
        assertNoneUnderstated(read(segment), r);
    }

    @Property(tries = 2000, seed = "93")
    void reportsDamagedRange(
            @ForAll int seed,
            @ForAll @IntRange(min = 1, max = 12) int requests,
            @ForAll @IntRange(min = 0) int place,
            @ForAll @IntRange(min = 1, max = 300) int length) {
        byte[] segment = segmentOf(randomEntries(seed, requests));
        byte[] damaged = segment.clone();
        int from = Segment.HEADER_BYTES + place % (segment.length - Segment.HEADER_BYTES);
        byte[] noise = new byte[Math.min(length, segment.length - from)];
        new Random(seed).nextBytes(noise);
        System.arraycopy(noise, 0, damaged, from, noise.length);
        ScanOutput r = read(damaged);
        assertTrue(!r.lost.isEmpty() || Arrays.equals(segment, damaged));
        assertNoneUnderstated(read(segment), r);
    }

    @Property(tries = 2000, seed = "94")
    void truncatedSegmentEndsWithLastWholeRecord(
            @ForAll int seed, @ForAll @IntRange(min = 1, max = 12) int requests, @ForAll @IntRange(min = 0) int place) {
        List<Entry> entries = randomEntries(seed, requests);
        byte[] segment = segmentOf(entries);
        int cut = Segment.HEADER_BYTES + place % (segment.length - Segment.HEADER_BYTES);
        ScanOutput r = read(Arrays.copyOf(segment, cut));
        assertEquals(entries.subList(0, r.entries.size()), r.entries);
        assertEquals(List.of(), r.lost);
        assertEquals(r.result.validEnd() < cut, r.result.torn());
        assertTrue(r.result.validEnd() <= cut && r.result.records() == r.entries.size());
    }

    /** Skipping a damaged record must not yield a record from within its payload. */
    @Test
    void doesNotReadRecordWithinDamagedPayload() {
        Request r = new Request(1, 1);
        List<Entry> entries = List.of(
                new Entry.Accepted(r, 1, Kind.UNSAFE, "", false, "", "", 0),
                new Entry.Completed(r, 2, RequestOutcome.SERVED));
        byte[] segment = segmentOf(entries);
        segment[Segment.HEADER_BYTES + 20] ^= 1;
        ScanOutput read = read(segment);
        assertEquals(List.of(entries.get(1)), read.entries);
        assertEquals(State.SERVED, read.histories.find(r).state());
    }

    @Test
    void readsSegmentLargerThanWindow() {
        List<Entry> entries = randomEntries(5, 3000);
        byte[] segment = segmentOf(entries);
        assertTrue(segment.length > 4 * (Segment.MAX_PAYLOAD_BYTES + Segment.RECORD_HEADER_BYTES));
        assertEquals(entries, read(segment).entries);
    }

    @Test
    void rejectsForeignNewerAndDamagedHeaders() {
        byte[] head = Segment.header(3, 17, 99);
        assertEquals(new Segment.Header(1, 3, 17, 99), Segment.header(head));
        byte[] newer = Segment.header(2, 3, 17, 99);
        assertTrue(assertThrows(Segment.UnsupportedVersionException.class, () -> Segment.header(newer))
                .getMessage()
                .contains("version 2, but this program reads versions up to 1"));
        for (int bit = 64; bit < Segment.HEADER_BYTES * 8; bit++) {
            byte[] damaged = head.clone();
            damaged[bit / 8] ^= (byte) (1 << bit % 8);
            assertEquals(
                    "the header of this segment is damaged: its checksum does not match",
                    assertThrows(IllegalArgumentException.class, () -> Segment.header(damaged))
                            .getMessage(),
                    "any damaged bit, also one of the version");
        }
        assertThrows(IllegalArgumentException.class, () -> Segment.header(new byte[10]));
        assertThrows(IllegalArgumentException.class, () -> Segment.header(new byte[Segment.HEADER_BYTES]));
    }
}
