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
 * Hands what is written to a thread of its own, and never waits for it: a sink that stalls, is full or is gone
 * costs lines of the log, not service. What is lost is counted, and told once lines get through again.
 */
public final class NonBlockingStream extends OutputStream {
    private static final int MAX_QUEUED_WRITES = 1024;
    private static final long DRAIN_POLL_MS = 2;
    /** A process that is told to end has 80 ms left behind its last answer, until it may be killed. */
    private static final long EXIT_DRAIN_MS = 50;

    private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(MAX_QUEUED_WRITES);
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong unwritten = new AtomicLong();
    private final OutputStream sink;
    private long reportedDrops;

    /** Writes to that sink from now on, until the process ends. */
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

    /** Writes that were lost so far: no place was left for them, or the sink failed. */
    public long dropped() {
        return dropped.get();
    }

    /** Waits until all is written, so long at the most; false if something is left. */
    public boolean drain(long timeoutMs) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        while (unwritten.get() > 0 && System.nanoTime() < endNs) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MS);
        }
        return unwritten.get() == 0;
    }

    /** Gives the last lines a moment; one that stalls does not hold up the end. */
    public void drainAtEnd() {
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
                continue; // nobody ends it but the process
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
