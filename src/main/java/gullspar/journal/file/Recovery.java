package gullspar.journal.file;

import gullspar.journal.Entry;
import gullspar.journal.Segment;
import gullspar.journal.SegmentScanner;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads a journal from its first segment to its last. It changes nothing, so it may be aborted and repeated.
 */
public final class Recovery {
    /**
     * nextSegment: the number for the next segment; records: the number in the journal so far; damage: a
     * line for each place where records are lost.
     */
    public record Result(long nextSegment, long records, List<String> damage) {}

    private Recovery() {}

    /**
     * Passes all entries, and each loss at its place among them, to a visitor. Throws IOException if a segment
     * has a newer version or cannot be read at all.
     */
    public static Result read(Disk disk, SegmentScanner.Visitor visitor) throws IOException {
        List<Long> numbers = disk.segments();
        List<String> damage = new ArrayList<>();
        long records = 0;
        boolean first = true;
        for (long segment : numbers) {
            byte[] headerBytes = new byte[Segment.HEADER_BYTES];
            if (disk.read(segment, 0, headerBytes) < Segment.HEADER_BYTES) {
                continue; // created, but without a complete header: no entry in it was reported as recorded
            }
            Segment.Header header = readHeader(segment, headerBytes, damage);
            if (header == null) {
                visitor.lost(0, Segment.HEADER_BYTES);
            } else if (first) {
                records = header.recordsBefore(); // the segments before it were deleted after their retention time
            } else if (header.recordsBefore() > records) {
                damage.add("segment " + segment + ": " + (header.recordsBefore() - records)
                        + " records are missing before it");
                visitor.lost(0, 0);
                records = header.recordsBefore();
            }
            SegmentScanner.Result end =
                    SegmentScanner.scan((at, into) -> disk.read(segment, at, into), new SegmentScanner.Visitor() {
                        @Override
                        public void entry(long at, Entry e) {
                            visitor.entry(at, e);
                        }

                        @Override
                        public void lost(long from, long to) {
                            damage.add("segment " + segment + ": " + (to - from) + " bytes from " + from
                                    + " cannot be read");
                            visitor.lost(from, to);
                        }
                    });
            records += end.records();
            first = false;
        }
        return new Result(numbers.isEmpty() ? 1 : numbers.get(numbers.size() - 1) + 1, records, damage);
    }

    /** Null if the header is damaged; the records after it may still be readable. */
    private static Segment.Header readHeader(long number, byte[] bytes, List<String> damage) throws IOException {
        try {
            return Segment.header(bytes);
        } catch (Segment.UnsupportedVersionException e) {
            throw new IOException("segment " + number + ": " + e.getMessage(), e);
        } catch (IllegalArgumentException e) {
            damage.add("segment " + number + ": " + e.getMessage());
            return null;
        }
    }
}
