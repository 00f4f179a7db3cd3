package gullspar.proxy.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Writes to a sink that stalls or fails. */
@Timeout(20)
class NonBlockingStreamTest {
    private static final int LINES = 5000;

    private final StringBuffer written = new StringBuffer();
    private final Semaphore mayWrite = new Semaphore(0);
    private final AtomicBoolean fails = new AtomicBoolean();
    private final NonBlockingStream stream = new NonBlockingStream(new OutputStream() {
        @Override
        public void write(int b) {
            throw new AssertionError("a byte at a time");
        }

        @Override
        public void write(byte[] bytes) throws IOException {
            if (fails.get()) {
                throw new IOException("No space left on device");
            }
            mayWrite.acquireUninterruptibly();
            written.append(new String(bytes, StandardCharsets.UTF_8));
        }
    });

    private void writeLine(String text) {
        byte[] bytes = (text + "\n").getBytes(StandardCharsets.UTF_8);
        stream.write(bytes, 0, bytes.length);
    }

    @Test
    void stalledSinkDoesNotBlockWritersAndDropsAreReported() throws Exception {
        for (int i = 0; i < LINES; i++) {
            writeLine("line " + i);
        }
        assertFalse(stream.drain(10), "the sink takes nothing");
        long dropped = stream.dropped();
        assertTrue(dropped > 0 && dropped < LINES, "lost " + dropped);
        mayWrite.release(LINES);
        assertTrue(stream.drain(10_000));
        assertTrue(written.toString().contains("line 0\n"), "the first lines are kept");
        long reported = Pattern.compile("dropped from this log: (\\d+)\n")
                .matcher(written)
                .results()
                .mapToLong(r -> Long.parseLong(r.group(1)))
                .sum();
        assertEquals(dropped, reported);
        assertEquals(
                LINES - dropped,
                Pattern.compile("line \\d+\n").matcher(written).results().count());
    }

    @Test
    void onlyWritesDuringASinkFailureAreDropped() throws Exception {
        fails.set(true);
        writeLine("lost");
        assertTrue(stream.drain(10_000));
        fails.set(false);
        mayWrite.release(2);
        writeLine("kept");
        assertTrue(stream.drain(10_000));
        assertEquals("dropped from this log: 1\nkept\n", written.toString());
    }
}
