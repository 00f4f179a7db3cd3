package gullspar.journal.file;

import gullspar.journal.Entry;
import gullspar.journal.Segment;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

/**
 * Writes entries in the order in which they were added, in batches: pending entries share one write and, where
 * they must survive a power loss, one sync (group commit). Any thread may add; one thread calls writeBatch.
 *
 * <p>A disk error ends the segment, since after a failed write or sync it is unknown what was stored (a second
 * sync that succeeds proves nothing: Rebello et al., Can Applications Recover from fsync Failures?, USENIX ATC
 * 2020). Intents in the failed batch are reported as not recorded at once. No request waits for the other
 * entries: they are retained, within a bound, and written once the disk works again.
 */
public final class Appender {
    /** What a record survives once it is reported as recorded: a crash of the process, or of the machine. */
    public enum Durability {
        PROCESS,
        MACHINE
    }

    /** Called on the writer's thread with whether the entry is recorded. */
    public interface Callback {
        void onCompleted(boolean recorded);
    }

    private record Pending(Entry entry, Callback callback) {}

    /** Entries beyond this are rejected. */
    private static final int MAX_PENDING = 100_000;

    private static final int MAX_BATCH_BYTES = 1 << 20;

    private final Disk disk;
    private final Durability durability;
    private final long segmentBytes;
    private final LongSupplier clockMs;
    private final Queue<Pending> queue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pendingCount = new AtomicInteger();
    /** Entries other than intents that a failed write may have lost, in order; written before the queue. */
    private final List<Pending> retained = new ArrayList<>();

    private Disk.File segment;
    private long nextSegment;
    private long recordCount;
    private long segmentLength;
    private volatile String lastFailure;

    /** nextSegment: the number of the first segment to create; recordCount: records in the journal so far. */
    public Appender(
            Disk disk, Durability durability, long segmentBytes, long number, long records, LongSupplier clockMs) {
        this.disk = disk;
        this.durability = durability;
        this.segmentBytes = segmentBytes;
        this.nextSegment = number;
        this.recordCount = records;
        this.clockMs = clockMs;
    }

    /** Adds an entry; returns false, and never calls back, if too many are pending. */
    public boolean add(Entry e, Callback callback) {
        if (pendingCount.incrementAndGet() > MAX_PENDING) {
            pendingCount.decrementAndGet();
            return false;
        }
        queue.add(new Pending(e, callback));
        return true;
    }

    /** The number of entries not yet written. */
    public int pendingCount() {
        return pendingCount.get();
    }

    /** The message of the last disk error; null while the disk works. */
    public String lastFailure() {
        return lastFailure;
    }

    /** Writes a batch of pending entries; false if there are none. */
    public boolean writeBatch() {
        List<Pending> batch = new ArrayList<>(retained);
        retained.clear();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (Pending w : batch) {
            bytes.writeBytes(Segment.encodeRecord(w.entry()));
        }
        for (Pending w = queue.peek(); w != null && bytes.size() < MAX_BATCH_BYTES; w = queue.peek()) {
            queue.remove();
            batch.add(w);
            bytes.writeBytes(Segment.encodeRecord(w.entry()));
        }
        if (batch.isEmpty()) {
            return false;
        }
        try {
            write(bytes.toByteArray());
            recordCount += batch.size();
            lastFailure = null;
            pendingCount.addAndGet(-batch.size());
            batch.forEach(w -> w.callback().onCompleted(true));
        } catch (IOException e) {
            lastFailure = e.getMessage() == null ? e.toString() : e.getMessage();
            closeSegment();
            for (Pending w : batch) {
                if (w.entry() instanceof Entry.Intent) {
                    pendingCount.decrementAndGet();
                    w.callback().onCompleted(false);
                } else {
                    retained.add(w);
                }
            }
        }
        return true;
    }

    private void write(byte[] bytes) throws IOException {
        if (segment != null && segmentLength + bytes.length > segmentBytes) {
            closeSegment();
        }
        if (segment == null) {
            segment = disk.create(nextSegment++);
            byte[] header = Segment.header(nextSegment - 1, recordCount, clockMs.getAsLong());
            segment.append(header, header.length);
            segmentLength = header.length;
        }
        segment.append(bytes, bytes.length);
        segmentLength += bytes.length;
        if (durability == Durability.MACHINE) {
            segment.sync();
        }
    }

    private void closeSegment() {
        Disk.File old = segment;
        segment = null;
        if (old != null) {
            try {
                old.close();
            } catch (IOException e) {
                // all entries reported as recorded are already stored
            }
        }
    }

    /** Writes the pending entries, until a disk error, and closes the segment. */
    public void close() {
        while (lastFailure == null && writeBatch()) {
            continue;
        }
        closeSegment();
    }
}
