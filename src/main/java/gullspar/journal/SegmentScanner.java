package gullspar.journal;

import java.io.IOException;

/**
 * Reads the records of a segment, in memory that does not grow with its size. Damaged parts are skipped up to
 * the next intact record and reported; a record that was not written completely ends the segment.
 */
public final class SegmentScanner {
    /** The bytes of a segment. */
    public interface Source {
        /** Reads as many bytes from an offset as there are, up to the array's length; 0 at the end. */
        int read(long offset, byte[] buffer) throws IOException;
    }

    /** Receives entries and losses in the order of the segment. */
    public interface Visitor {
        void entry(long offset, Entry e);

        /** The bytes from..to cannot be read; they may have held any number of records. */
        void lost(long from, long to);
    }

    /** validEnd: end offset of the last intact record; torn: an incomplete record follows it. */
    public record Result(long validEnd, long records, boolean torn) {}

    private static final int WINDOW_BYTES = 2 * (Segment.MAX_PAYLOAD_BYTES + Segment.RECORD_HEADER_BYTES);

    private final Source source;
    private final Visitor visitor;
    private final byte[] window = new byte[WINDOW_BYTES];
    private long windowStart;
    private int windowLength;

    private SegmentScanner(Source source, Visitor visitor) {
        this.source = source;
        this.visitor = visitor;
    }

    /** Scans a segment after its header. */
    public static Result scan(Source source, Visitor visitor) throws IOException {
        return new SegmentScanner(source, visitor).run();
    }

    /** Loads the record at an offset completely into the window; returns its index there. */
    private int ensureLoaded(long offset) throws IOException {
        int index = (int) (offset - windowStart);
        if (windowLength == 0
                || index < 0
                || windowLength == WINDOW_BYTES
                        && windowLength - index < Segment.MAX_PAYLOAD_BYTES + Segment.RECORD_HEADER_BYTES) {
            windowStart = offset;
            windowLength = source.read(offset, window);
            index = 0;
        }
        return index;
    }

    private Result run() throws IOException {
        long offset = Segment.HEADER_BYTES;
        long validEnd = offset;
        long records = 0;
        long lostFrom = -1;
        while (true) {
            int index = ensureLoaded(offset);
            int available = windowLength - index;
            if (available <= 0) {
                break;
            }
            int length = available >= Segment.RECORD_HEADER_BYTES ? Segment.payloadLength(window, index) : -1;
            if (length >= 0
                    && available >= Segment.RECORD_HEADER_BYTES + length
                    && Segment.payloadMatches(window, index, length)) {
                if (lostFrom >= 0) {
                    visitor.lost(lostFrom, offset);
                    lostFrom = -1;
                }
                visitEntry(offset, index, length);
                records++;
                offset += Segment.RECORD_HEADER_BYTES + length;
                validEnd = offset;
            } else if (lostFrom < 0
                    && Segment.isRecordPrefix(window, index, windowLength)
                    && windowLength < WINDOW_BYTES) {
                return new Result(validEnd, records, true);
            } else {
                lostFrom = lostFrom < 0 ? offset : lostFrom;
                offset++;
            }
        }
        if (lostFrom >= 0) {
            visitor.lost(lostFrom, offset);
        }
        return new Result(validEnd, records, false);
    }

    private void visitEntry(long offset, int index, int length) {
        byte[] payload = new byte[length];
        System.arraycopy(window, index + Segment.RECORD_HEADER_BYTES, payload, 0, length);
        try {
            Entry e = EntryCodec.decode(Segment.recordType(window, index), payload);
            if (e != null) {
                visitor.entry(offset, e);
            }
        } catch (IllegalArgumentException e) {
            visitor.lost(offset, offset + Segment.RECORD_HEADER_BYTES + length);
        }
    }
}
