package gullspar.proxy.events;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import gullspar.proxy.io.Platform;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Delivery of events to the module. */
class EventsTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Events events = new Events(new Platform(channel.eventLoop(), () -> 1, null, line -> {}));
    private final List<String> delivered = new ArrayList<>();

    /** After an error delivery never started again: the process stayed and answered nothing. */
    @ParameterizedTest
    @ValueSource(classes = {OutOfMemoryError.class, StackOverflowError.class, NoClassDefFoundError.class})
    void eventsAreDeliveredAfterOneThatEndedWithAnError(Class<? extends Error> kind) throws Exception {
        Error planted = kind.getConstructor(String.class).newInstance("planted");
        events.enqueue(
                (now, module) -> {
                    throw planted;
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
            throw new InternalError("planted");
        });
        events.enqueue((now, module) -> delivered.add("next"));
        assertThrows(InternalError.class, channel::runPendingTasks);
        events.enqueue((now, module) -> delivered.add("later"));
        channel.runPendingTasks();
        assertEquals(List.of("next", "later"), delivered);
    }

    /** All events of a turn were delivered in one go, however long that took: sockets were not read meanwhile. */
    @Test
    void longDeliveryIsInterrupted() {
        long halfLimitNs = Events.MAX_DELIVERY_NS / 2;
        AtomicLong clock = new AtomicLong();
        Events slow = new Events(new Platform(channel.eventLoop(), clock::get, null, line -> {}));
        for (int i = 0; i < 4; i++) {
            slow.enqueue((now, module) -> {
                clock.addAndGet(halfLimitNs);
                delivered.add("request at " + now / halfLimitNs);
            });
        }
        slow.enqueueBackendUpdate((now, module) -> delivered.add("list at " + now / halfLimitNs));
        channel.eventLoop().execute(() -> delivered.add("other task"));
        while (delivered.size() < 6) {
            channel.runPendingTasks();
        }
        assertEquals(
                List.of("list at 0", "request at 0", "request at 0", "other task", "request at 2", "request at 2"),
                delivered);
    }
}
