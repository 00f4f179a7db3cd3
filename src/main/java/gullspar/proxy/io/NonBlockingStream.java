package gullspar.proxy.io;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes to a sink on a separate thread and never blocks the caller: if the sink stalls, is full or was closed, log
 * lines are lost but the service goes on. Dropped writes are counted, and reported once the sink works again.
 */
public final class NonBlockingStream extends OutputStream {
    private static final int MAX_QUEUED_WRITES = 1024;
    private static final long DRAIN_POLL_MS = 2;
    /** After its last response, a process that received SIGTERM has 80 ms left before it may be killed. */
    private static final long EXIT_DRAIN_MS = 50;

    private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(MAX_QUEUED_WRITES);
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong unwritten = new AtomicLong();
    private final OutputStream sink;
    private long reportedDrops;

    /** Starts the thread that writes to the sink until the process exits. */
    public NonBlockingStream(OutputStream sink) {
        this.sink = sink;
        Thread writer = new Thread(this::runWriter, "log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void write(int b) {
        write(new byte[] {(byte) b}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int from, int length) {
        unwritten.incrementAndGet();
        if (!queue.offer(Arrays.copyOfRange(bytes, from, from + length))) {
            unwritten.decrementAndGet();
            dropped.incrementAndGet();
        }
    }

    /** Number of writes dropped because the queue was full or the sink failed. */
    public long dropped() {
        return dropped.get();
    }

    /** Waits until everything is written; returns false if something is left after the time-out. */
    public boolean drain(long timeoutMs) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (unwritten.get() > 0 && System.nanoTime() < endNs) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MS);
        }
        return unwritten.get() == 0;
    }

    /** Waits briefly for the last lines at exit; a stalled sink does not delay the exit any longer. */
    public void drainAtExit() {
        try {
            drain(EXIT_DRAIN_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runWriter() {
        while (true) {
            byte[] next;
            try {
                next = queue.take();
            } catch (InterruptedException e) {
                continue; // the thread runs until the process exits
            }
            writeToSink(next);
            unwritten.decrementAndGet();
        }
    }

    private void writeToSink(byte[] bytes) {
        try {
            long drops = dropped.get();
            if (drops > reportedDrops) {
                sink.write(
                        ("dropped from this log: " + (drops - reportedDrops) + "\n").getBytes(StandardCharsets.UTF_8));
                reportedDrops = drops;
            }
            sink.write(bytes);
            sink.flush();
        } catch (IOException e) {
            dropped.incrementAndGet();
        }
    }
}
