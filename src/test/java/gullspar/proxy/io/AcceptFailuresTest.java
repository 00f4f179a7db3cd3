package gullspar.proxy.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** A listener on a clock of its own whose accepts fail. */
class AcceptFailuresTest {
    private final AtomicInteger closed = new AtomicInteger();
    private final AcceptFailures failures = new AcceptFailures(() -> closed.incrementAndGet() > 0);
    private final EmbeddedChannel listener = new EmbeddedChannel(failures);

    AcceptFailuresTest() {
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
    void acceptingRestsForMillisecondsAfterAFailure() {
        fail();
        assertTrue(failures.pausing());
        assertFalse(listener.config().isAutoRead());
        assertTrue(acceptsAfter(AcceptFailures.FIRST_PAUSE_MS));
        assertFalse(failures.pausing());
        assertEquals(1, failures.failures());
    }

    @Test
    void restsGrowToABoundWhileFailuresGoOnAndBeginAnewBehindAConnection() {
        for (int i = 0; i < 10; i++) {
            fail();
            assertTrue(acceptsAfter(AcceptFailures.LONGEST_PAUSE_MS));
        }
        listener.writeInbound("a connection");
        fail();
        assertTrue(acceptsAfter(AcceptFailures.FIRST_PAUSE_MS));
    }

    @Test
    void eachFailureGivesBackAnIdleDescriptor() {
        fail();
        acceptsAfter(AcceptFailures.FIRST_PAUSE_MS);
        fail();
        assertEquals(2, closed.get());
    }
}
