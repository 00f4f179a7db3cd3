package gullspar.proxy.events;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import gullspar.proxy.io.Platform;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Delivery of events to the module. */
class EventsTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Events events = new Events(new Platform(channel.eventLoop(), () -> 1, null, line -> {}));
    private final List<String> delivered = new ArrayList<>();

    /** After an error delivery never started again: the process stayed and answered nothing. */
    @Test
    void eventsAreDeliveredAfterOneThatRanOutOfMemory() {
        events.enqueue(
                (now, module) -> {
                    throw new OutOfMemoryError("planted");
                },
                () -> delivered.add("failed"));
        events.enqueue((now, module) -> delivered.add("next"));
        channel.runPendingTasks();
        events.enqueue((now, module) -> delivered.add("later"));
        channel.runPendingTasks();
        assertEquals(List.of("failed", "next", "later"), delivered);
    }

    @Test
    void eventsAreDeliveredAfterAnErrorThatCannotBeHandled() {
        events.enqueue((now, module) -> {
            throw new StackOverflowError("planted");
        });
        events.enqueue((now, module) -> delivered.add("next"));
        assertThrows(StackOverflowError.class, channel::runPendingTasks);
        events.enqueue((now, module) -> delivered.add("later"));
        channel.runPendingTasks();
        assertEquals(List.of("next", "later"), delivered);
    }
}
