package gullspar.proxy.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Accept failures of a listener in virtual time. */
class AcceptBackoffTest {
    private final AtomicInteger closedCount = new AtomicInteger();
    private final AcceptBackoff backoff = new AcceptBackoff(() -> closedCount.incrementAndGet() > 0);
    private final EmbeddedChannel listener = new EmbeddedChannel(backoff);

    AcceptBackoffTest() {
        listener.freezeTime();
    }

    private void fail() {
        listener.pipeline().fireExceptionCaught(new IOException("Too many open files"));
    }

    private boolean acceptsAfter(long ms) {
        listener.advanceTimeBy(ms, TimeUnit.MILLISECONDS);
        listener.runScheduledPendingTasks();
        return listener.config().isAutoRead();
    }

    @Test
    void acceptingPausesBrieflyAfterAFailure() {
        fail();
        assertTrue(backoff.isPaused());
        assertFalse(listener.config().isAutoRead());
        assertTrue(acceptsAfter(AcceptBackoff.INITIAL_BACKOFF_MS));
        assertFalse(backoff.isPaused());
        assertEquals(1, backoff.failureCount());
    }

    @Test
    void backoffGrowsToItsMaximumAndIsResetByAnAcceptedConnection() {
        for (int i = 0; i < 10; i++) {
            fail();
            assertTrue(acceptsAfter(AcceptBackoff.MAX_BACKOFF_MS));
        }
        listener.writeInbound("a connection");
        fail();
        assertTrue(acceptsAfter(AcceptBackoff.INITIAL_BACKOFF_MS));
    }

    @Test
    void eachFailureClosesAnIdleConnection() {
        fail();
        acceptsAfter(AcceptBackoff.INITIAL_BACKOFF_MS);
        fail();
        assertEquals(2, closedCount.get());
    }
}
