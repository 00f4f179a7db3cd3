package gullspar.journal;

import java.io.IOException;

/**
 * Goes through the records of a segment, in memory that does not grow with it. What is damaged is passed over
 * up to the next whole record and reported; a record that was never written whole ends the segment.
 */
public final class Scan {
    /** Where bytes come from. */
    public interface Source {
        /** Reads as many bytes from a place on as are there, up to the array's length; 0 at the end. */
        int read(long at, byte[] into) throws IOException;
    }

    /** Who hears what there is, in its order. */
    public interface Visitor {
        void entry(long at, Entry e);

        /** From there to there nothing can be read: any number of records may have been there. */
        void lost(long from, long to);
    }

    /** Where the last whole record ends, how many there were, and whether a record was begun behind it. */
    public record End(long at, long records, boolean torn) {}

    private static final int WINDOW = 2 * (Segment.LONGEST + Segment.RECORD_HEAD);

    private final Source source;
    private final Visitor visitor;
    private final byte[] window = new byte[WINDOW];
    private long from;
    private int filled;

    private Scan(Source source, Visitor visitor) {
        this.source = source;
        this.visitor = visitor;
    }

    /** Goes through a segment, behind its head. */
    public static End records(Source source, Visitor visitor) throws IOException {
        return new Scan(source, visitor).run();
    }

    /** Makes sure that a whole record that begins there is in the window; returns its place in that. */
    private int at(long place) throws IOException {
        int i = (int) (place - from);
        if (filled == 0 || i < 0 || filled == WINDOW && filled - i < Segment.LONGEST + Segment.RECORD_HEAD) {
            from = place;
            filled = source.read(place, window);
            i = 0;
        }
        return i;
    }

    private End run() throws IOException {
        long at = Segment.HEAD;
        long whole = at;
        long records = 0;
        long lostFrom = -1;
        while (true) {
            int i = at(at);
            int left = filled - i;
            if (left <= 0) {
                break;
            }
            int length = left >= Segment.RECORD_HEAD ? Segment.length(window, i) : -1;
            if (length >= 0 && left >= Segment.RECORD_HEAD + length && Segment.holds(window, i, length)) {
                if (lostFrom >= 0) {
                    visitor.lost(lostFrom, at);
                    lostFrom = -1;
                }
                tell(at, i, length);
                records++;
                at += Segment.RECORD_HEAD + length;
                whole = at;
            } else if (lostFrom < 0 && Segment.begins(window, i, filled) && filled < WINDOW) {
                return new End(whole, records, true);
            } else {
                lostFrom = lostFrom < 0 ? at : lostFrom;
                at++;
            }
        }
        if (lostFrom >= 0) {
            visitor.lost(lostFrom, at);
        }
        return new End(whole, records, false);
    }

    private void tell(long at, int i, int length) {
        byte[] payload = new byte[length];
        System.arraycopy(window, i + Segment.RECORD_HEAD, payload, 0, length);
        try {
            Entry e = EntryCodec.decode(Segment.type(window, i), payload);
            if (e != null) {
                visitor.entry(at, e);
            }
        } catch (IllegalArgumentException e) {
            visitor.lost(at, at + Segment.RECORD_HEAD + length);
        }
    }
}
