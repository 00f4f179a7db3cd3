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
    public interface Done {
        void done(boolean recorded);
    }

    private record Waiting(Entry entry, Done done) {}

    /** So many entries may wait; more are not recorded. */
    private static final int MOST_WAITING = 100_000;

    private static final int BATCH_BYTES = 1 << 20;

    private final Disk disk;
    private final Durability durability;
    private final long segmentBytes;
    private final LongSupplier clockMs;
    private final Queue<Waiting> queue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger waiting = new AtomicInteger();
    /** Entries but intents that a failed write may have lost, in their order; ahead of the queue. */
    private final List<Waiting> again = new ArrayList<>();

    private Disk.File segment;
    private long number;
    private long records;
    private long length;
    private volatile String failure;

    /** number: of the first segment that it begins; records: those in the journal so far. */
    public Appender(
            Disk disk, Durability durability, long segmentBytes, long number, long records, LongSupplier clockMs) {
        this.disk = disk;
        this.durability = durability;
        this.segmentBytes = segmentBytes;
        this.number = number;
        this.records = records;
        this.clockMs = clockMs;
    }

    /** Adds an entry; false, and nothing is heard of it, if too many wait already. */
    public boolean add(Entry e, Done done) {
        if (waiting.incrementAndGet() > MOST_WAITING) {
            waiting.decrementAndGet();
            return false;
        }
        queue.add(new Waiting(e, done));
        return true;
    }

    /** Entries that wait. */
    public int waiting() {
        return waiting.get();
    }

    /** Why the disk last failed; null while it works. */
    public String failure() {
        return failure;
    }

    /** Writes what waits, a batch; false if there was nothing to do. */
    public boolean step() {
        List<Waiting> batch = new ArrayList<>(again);
        again.clear();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (Waiting w : batch) {
            bytes.writeBytes(Segment.record(w.entry()));
        }
        for (Waiting w = queue.peek(); w != null && bytes.size() < BATCH_BYTES; w = queue.peek()) {
            queue.remove();
            batch.add(w);
            bytes.writeBytes(Segment.record(w.entry()));
        }
        if (batch.isEmpty()) {
            return false;
        }
        try {
            write(bytes.toByteArray());
            records += batch.size();
            failure = null;
            waiting.addAndGet(-batch.size());
            batch.forEach(w -> w.done().done(true));
        } catch (IOException e) {
            failure = e.getMessage() == null ? e.toString() : e.getMessage();
            end();
            for (Waiting w : batch) {
                if (w.entry() instanceof Entry.Intent) {
                    waiting.decrementAndGet();
                    w.done().done(false);
                } else {
                    again.add(w);
                }
            }
        }
        return true;
    }

    private void write(byte[] bytes) throws IOException {
        if (segment != null && length + bytes.length > segmentBytes) {
            end();
        }
        if (segment == null) {
            segment = disk.create(number++);
            byte[] head = Segment.head(number - 1, records, clockMs.getAsLong());
            segment.append(head, head.length);
            length = head.length;
        }
        segment.append(bytes, bytes.length);
        length += bytes.length;
        if (durability == Durability.MACHINE) {
            segment.sync();
        }
    }

    private void end() {
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
        while (failure == null && step()) {
            continue;
        }
        end();
    }
}
