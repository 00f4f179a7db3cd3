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
 * Writes entries in the order in which they were added, a batch at a time: all that waits goes in one write
 * and, where power loss must be survived, one sync (group commit). Any thread adds; one thread calls step.
 *
 * <p>A disk that fails ends the segment, since after a failed write or sync nobody knows what of it is there
 * (that a second sync succeeds proves nothing: Rebello et al., Can Applications Recover from fsync Failures?,
 * USENIX ATC 2020). Intents that wait then are told at once that they are not recorded. What else waits is no
 * condition for anything: it is kept, within a bound, and written once the disk is back.
 */
public final class Appender {
    /** What a record survives once it is done: the end of the process, or of the machine. */
    public enum Durability {
        PROCESS,
        MACHINE
    }

    /** Who hears, on the writer's thread, whether an entry is recorded. */
    public interface Callback {
        void onCompleted(boolean recorded);
    }

    private record Pending(Entry entry, Callback callback) {}

    /** So many entries may wait; more are not recorded. */
    private static final int MAX_PENDING = 100_000;

    private static final int MAX_BATCH_BYTES = 1 << 20;

    private final Disk disk;
    private final Durability durability;
    private final long segmentBytes;
    private final LongSupplier clockMs;
    private final Queue<Pending> queue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pendingCount = new AtomicInteger();
    /** Entries but intents that a failed write may have lost, in their order; ahead of the queue. */
    private final List<Pending> retained = new ArrayList<>();

    private Disk.File segment;
    private long nextSegment;
    private long recordCount;
    private long segmentLength;
    private volatile String lastFailure;

    /** number: of the first segment that it begins; records: those in the journal so far. */
    public Appender(
            Disk disk, Durability durability, long segmentBytes, long number, long records, LongSupplier clockMs) {
        this.disk = disk;
        this.durability = durability;
        this.segmentBytes = segmentBytes;
        this.nextSegment = number;
        this.recordCount = records;
        this.clockMs = clockMs;
    }

    /** Adds an entry; false, and nothing is heard of it, if too many wait already. */
    public boolean add(Entry e, Callback callback) {
        if (pendingCount.incrementAndGet() > MAX_PENDING) {
            pendingCount.decrementAndGet();
            return false;
        }
        queue.add(new Pending(e, callback));
        return true;
    }

    /** Entries that wait. */
    public int pendingCount() {
        return pendingCount.get();
    }

    /** Why the disk last failed; null while it works. */
    public String lastFailure() {
        return lastFailure;
    }

    /** Writes what waits, a batch; false if there was nothing to do. */
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
            byte[] head = Segment.header(nextSegment - 1, recordCount, clockMs.getAsLong());
            segment.append(head, head.length);
            segmentLength = head.length;
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
                // all that was promised of it is there
            }
        }
    }

    /** Writes what still waits and closes the segment. */
    public void close() {
        while (lastFailure == null && writeBatch()) {
            continue;
        }
        closeSegment();
    }
}
