package gullspar.proxy.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Pausing, notification and release of buffers in a body stream between two connections. */
class BodyStreamTest {
    private final AtomicInteger resumed = new AtomicInteger();
    private final AtomicInteger dropped = new AtomicInteger();
    private final AtomicInteger notifications = new AtomicInteger();
    private final BodyStream stream =
            new BodyStream(MemoryBudget.unlimited(), resumed::incrementAndGet, dropped::incrementAndGet);

    private static ByteBuf chunk(int bytes) {
        return Unpooled.buffer(bytes).writeZero(bytes);
    }

    @Test
    void writerPausesWhenBufferIsFullAndResumesAtHalf() {
        stream.setReader(notifications::incrementAndGet);
        assertTrue(stream.add(chunk(BodyStream.MAX_BUFFERED_BYTES / 2)));
        assertFalse(stream.add(chunk(BodyStream.MAX_BUFFERED_BYTES / 2)));
        assertTrue(stream.paused());
        assertEquals(0, resumed.get());
        stream.nextChunk().release();
        assertEquals(1, resumed.get());
        assertFalse(stream.paused());
        stream.nextChunk().release();
        assertNull(stream.nextChunk());
        assertEquals(1, resumed.get());
    }

    @Test
    void unreadStreamBuffersMoreUpToItsOwnLimit() {
        int part = BodyStream.MAX_BUFFERED_BYTES / 2;
        int buffered = part;
        while (stream.add(chunk(part))) {
            buffered += part;
        }
        assertEquals(BodyStream.MAX_UNREAD_BYTES, buffered);
        assertTrue(stream.paused());
        stream.setReader(notifications::incrementAndGet);
        for (; buffered > BodyStream.MAX_BUFFERED_BYTES / 2; buffered -= part) {
            assertEquals(0, resumed.get());
            stream.nextChunk().release();
        }
        assertEquals(1, resumed.get());
        assertTrue(stream.add(chunk(part - 1)));
        assertFalse(stream.add(chunk(1)), "once reading has started the usual limit applies");
        for (ByteBuf rest = stream.nextChunk(); rest != null; rest = stream.nextChunk()) {
            rest.release();
        }
    }

    /** Slices of network buffers kept a whole buffer for each byte of a body that arrived byte by byte. */
    @Test
    void bodyOfSingleBytesReservesLittleMoreThanItsLength() {
        MemoryBudget budget = MemoryBudget.unlimited();
        BodyStream bytewise = new BodyStream(budget, () -> {}, () -> {});
        for (int i = 0; i < 100_000; i++) {
            bytewise.add(chunk(1));
        }
        assertTrue(budget.reservedBytes() < 110_000, () -> "reserved: " + budget.reservedBytes());
        ByteBuf first = bytewise.nextChunk();
        bytewise.drop();
        assertEquals(first.capacity(), budget.reservedBytes(), "reserved until it has been written");
        first.release();
        assertEquals(0, budget.reservedBytes());
    }

    @Test
    void writerPausesWhileTheBudgetIsExhausted() {
        MemoryBudget budget = new MemoryBudget(Body.CHUNK_BYTES + 9_000);
        BodyStream bounded = new BodyStream(budget, resumed::incrementAndGet, dropped::incrementAndGet);
        bounded.setReader(notifications::incrementAndGet);
        assertTrue(bounded.add(chunk(5000)));
        assertFalse(bounded.add(chunk(5000)));
        bounded.nextChunk().release();
        assertEquals(1, resumed.get());
        bounded.drop();
        assertEquals(0, budget.reservedBytes());
    }

    /** The reader wrote each part: a body in chunks of one byte took a system call for each of them. */
    @Test
    void readerIsNotifiedOfSmallPartsAtTheEndOfTheirRead() {
        stream.setReader(notifications::incrementAndGet);
        for (int i = 0; i < 1000; i++) {
            stream.add(chunk(1));
        }
        assertEquals(0, notifications.get());
        stream.endRead();
        assertEquals(1, notifications.get());
        stream.endRead();
        assertEquals(1, notifications.get(), "nothing has been added");
        assertEquals(1000, stream.nextChunk().readableBytes());
        stream.add(chunk(100_000));
        assertEquals(2, notifications.get(), "a large part is passed on at once");
    }

    @Test
    void readerIsNotifiedOnceOfTheEnd() {
        assertTrue(stream.isUnread());
        stream.setReader(notifications::incrementAndGet);
        assertFalse(stream.isUnread());
        stream.add(chunk(1));
        stream.endRead();
        stream.complete();
        stream.abort();
        assertEquals(2, notifications.get());
        assertFalse(stream.isFullyRead());
        stream.nextChunk().release();
        assertTrue(stream.isFullyRead());
        assertFalse(stream.isAborted(), "a complete stream cannot be aborted");
    }

    @Test
    void droppedStreamReleasesChunksAndResumesWriter() {
        ByteBuf buffered = chunk(BodyStream.MAX_UNREAD_BYTES);
        stream.add(buffered);
        stream.drop();
        stream.drop();
        assertEquals(0, buffered.refCnt());
        assertEquals(1, resumed.get());
        assertEquals(1, dropped.get());
        ByteBuf late = chunk(5);
        assertTrue(stream.add(late));
        assertEquals(0, late.refCnt());
        assertFalse(stream.isUnread(), "a dropped stream cannot be sent");
    }
}
