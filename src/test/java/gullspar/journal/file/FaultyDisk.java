package gullspar.journal.file;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * A disk in memory with injected errors and crashes. Bytes appended since the last sync survive a crash of the
 * process; after a power loss a random part of their blocks is left.
 */
final class FaultyDisk implements Disk {
    /** The process or the machine crashes: no later operation takes place. */
    static final class CrashException extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    private static final int BLOCK_BYTES = 64;

    private static final class Content {
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        private int syncedBytes;
    }

    private final Map<Long, Content> files = new TreeMap<>();
    /** The number of the operation that crashes; -1 for none. A failing append still writes partialBytes. */
    int crashAt = -1;

    int partialBytes;
    /** The numbers of the operations that fail with an IOException. */
    final List<Integer> failingOperations = new ArrayList<>();

    int operationCount;

    private void operation(Content c, byte[] bytes, int length) throws IOException {
        int now = operationCount++;
        if (now == crashAt || failingOperations.contains(now)) {
            if (bytes != null) {
                c.bytes.write(bytes, 0, Math.min(length, partialBytes));
            }
            if (now == crashAt) {
                throw new CrashException();
            }
            throw new IOException("no space left on device");
        }
        if (bytes != null) {
            c.bytes.write(bytes, 0, length);
        }
    }

    @Override
    public List<Long> segments() {
        return List.copyOf(files.keySet());
    }

    @Override
    public File create(long number) throws IOException {
        operation(null, null, 0);
        Content c = new Content();
        files.put(number, c);
        return new File() {
            @Override
            public void append(byte[] bytes, int length) throws IOException {
                operation(c, bytes, length);
            }

            @Override
            public void sync() throws IOException {
                operation(c, null, 0);
                c.syncedBytes = c.bytes.size();
            }

            @Override
            public void close() {}
        };
    }

    @Override
    public int read(long number, long offset, byte[] buffer) {
        byte[] all = files.get(number).bytes.toByteArray();
        int n = (int) Math.max(0, Math.min(buffer.length, all.length - offset));
        System.arraycopy(all, (int) Math.min(offset, all.length), buffer, 0, n);
        return n;
    }

    @Override
    public void delete(long number) {
        files.remove(number);
    }

    /** Simulates a power loss: of the unsynced bytes some blocks remain, some are zero, the end may be cut. */
    void losePower(Random random) {
        for (Content c : files.values()) {
            byte[] all = c.bytes.toByteArray();
            int kept =
                    c.syncedBytes + (all.length > c.syncedBytes ? random.nextInt(all.length - c.syncedBytes + 1) : 0);
            all = Arrays.copyOf(all, kept);
            for (int at = c.syncedBytes; at < kept; at += BLOCK_BYTES) {
                if (random.nextInt(3) == 0) {
                    Arrays.fill(all, at, Math.min(kept, at + BLOCK_BYTES), (byte) 0);
                }
            }
            c.bytes.reset();
            c.bytes.writeBytes(all);
        }
    }
}
