package gullspar.journal.file;

import gullspar.journal.Entry;
import gullspar.journal.Scan;
import gullspar.journal.Segment;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads a journal from its first segment to its last; changes nothing, so it may be cut short and repeated.
 */
public final class Recovery {
    /**
     * What was found: the number of the next segment, the records so far, and a line for each place where
     * some
     * are lost.
     */
    public record Found(long nextNumber, long records, List<String> damage) {}

    private Recovery() {}

    /**
     * Tells a visitor of all entries and of each loss at its place among them. An IOException where a segment
     * is of a newer version, or cannot be read at all.
     */
    public static Found read(Disk disk, Scan.Visitor visitor) throws IOException {
        List<Long> numbers = disk.segments();
        List<String> damage = new ArrayList<>();
        long records = 0;
        boolean first = true;
        for (long n : numbers) {
            byte[] bytes = new byte[Segment.HEAD];
            if (disk.read(n, 0, bytes) < Segment.HEAD) {
                continue; // begun and never written: nothing was promised of it
            }
            Segment.Head head = head(n, bytes, damage);
            if (head == null) {
                visitor.lost(0, Segment.HEAD);
            } else if (first) {
                records = head.before(); // those ahead of it were let go when their time was over
            } else if (head.before() > records) {
                damage.add("segment " + n + ": " + (head.before() - records) + " records are missing before it");
                visitor.lost(0, 0);
                records = head.before();
            }
            Scan.End end = Scan.records((at, into) -> disk.read(n, at, into), new Scan.Visitor() {
                @Override
                public void entry(long at, Entry e) {
                    visitor.entry(at, e);
                }

                @Override
                public void lost(long from, long to) {
                    damage.add("segment " + n + ": " + (to - from) + " bytes from " + from + " cannot be read");
                    visitor.lost(from, to);
                }
            });
            records += end.records();
            first = false;
        }
        return new Found(numbers.isEmpty() ? 1 : numbers.get(numbers.size() - 1) + 1, records, damage);
    }

    /** Null for a damaged one, behind which records may be read all the same. */
    private static Segment.Head head(long number, byte[] bytes, List<String> damage) throws IOException {
        try {
            return Segment.head(bytes);
        } catch (Segment.NewerVersionException e) {
            throw new IOException("segment " + number + ": " + e.getMessage(), e);
        } catch (IllegalArgumentException e) {
            damage.add("segment " + number + ": " + e.getMessage());
            return null;
        }
    }
}
