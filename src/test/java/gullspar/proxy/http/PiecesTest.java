package gullspar.proxy.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** What is on its way from one connection to another. */
class PiecesTest {
    private final AtomicInteger resumed = new AtomicInteger();
    private final AtomicInteger unwanted = new AtomicInteger();
    private final AtomicInteger told = new AtomicInteger();
    private final Pieces pieces = new Pieces(resumed::incrementAndGet, unwanted::incrementAndGet);

    private static ByteBuf piece(int bytes) {
        return Unpooled.buffer(bytes).writeZero(bytes);
    }

    @Test
    void itsBringerPausesWhileMuchWaitsAndGoesOnOnceHalfIsTaken() {
        pieces.to(told::incrementAndGet);
        assertTrue(pieces.add(piece(Pieces.MOST_WAITING / 2)));
        assertFalse(pieces.add(piece(Pieces.MOST_WAITING / 2)));
        assertTrue(pieces.paused());
        assertEquals(0, resumed.get());
        pieces.next().release();
        assertEquals(1, resumed.get());
        assertFalse(pieces.paused());
        pieces.next().release();
        assertNull(pieces.next());
        assertEquals(1, resumed.get());
    }

    @Test
    void whileNobodyHasBegunToTakeItSomeMoreMayWaitAndNoMoreThanThat() {
        int part = Pieces.MOST_WAITING / 2;
        int waiting = part;
        while (pieces.add(piece(part))) {
            waiting += part;
        }
        assertEquals(Pieces.MOST_UNTOUCHED, waiting);
        assertTrue(pieces.paused());
        pieces.to(told::incrementAndGet);
        for (; waiting > Pieces.MOST_WAITING / 2; waiting -= part) {
            assertEquals(0, resumed.get());
            pieces.next().release();
        }
        assertEquals(1, resumed.get());
        assertTrue(pieces.add(piece(part - 1)));
        assertFalse(pieces.add(piece(1)), "from the first that is taken the usual bound holds");
        for (ByteBuf rest = pieces.next(); rest != null; rest = pieces.next()) {
            rest.release();
        }
    }

    @Test
    void itsTakerHearsOfEachPieceAndOfTheEndOnce() {
        assertTrue(pieces.untouched());
        pieces.to(told::incrementAndGet);
        assertFalse(pieces.untouched());
        pieces.add(piece(1));
        pieces.whole();
        pieces.broken();
        assertEquals(2, told.get());
        assertFalse(pieces.taken());
        pieces.next().release();
        assertTrue(pieces.taken());
        assertFalse(pieces.isBroken(), "what was whole stays whole");
    }

    @Test
    void whatNobodyWantsIsLetGoAndItsBringerGoesOn() {
        ByteBuf waiting = piece(Pieces.MOST_UNTOUCHED);
        pieces.add(waiting);
        pieces.drop();
        pieces.drop();
        assertEquals(0, waiting.refCnt());
        assertEquals(1, resumed.get());
        assertEquals(1, unwanted.get());
        ByteBuf late = piece(5);
        assertTrue(pieces.add(late));
        assertEquals(0, late.refCnt());
        assertFalse(pieces.untouched(), "no attempt can send it any more");
    }
}
