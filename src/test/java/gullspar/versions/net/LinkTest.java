package gullspar.versions.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.versions.Message;
import gullspar.versions.wire.Frames;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** How many messages of a peer are handled before the event loop reads other connections again. */
class LinkTest {
    private static final int MESSAGES = 300;

    private final List<Message> received = new ArrayList<>();
    private final EmbeddedChannel channel = new EmbeddedChannel(new Link(
            new Link.Listener() {
                @Override
                public void opened(Link link) {}

                @Override
                public void partReceived(Link link) {}

                @Override
                public void received(Link link, Message m) {
                    received.add(m);
                }

                @Override
                public void closed(Link link, String reason) {}
            },
            1 << 20));

    /** All messages of a read were handled in one turn, whatever each of them costs. */
    @BeforeEach
    void sendManyMessagesAtOnce() {
        ByteBuf all = Unpooled.buffer();
        for (int i = 0; i < MESSAGES; i++) {
            Frames.of(new Message.StatusRequest(i % 2 == 0)).forEach(all::writeBytes);
        }
        channel.writeOneInbound(all);
        // The embedded channel also runs what is due in its next turn.
        assertTrue(received.size() <= 2 * Link.MAX_MESSAGES_PER_TURN, received.size() + " messages");
    }

    @Test
    void manyMessagesAreHandledOverSeveralTurns() {
        channel.flushInbound();
        for (int turns = 0; received.size() < MESSAGES; turns++) {
            assertTrue(turns < MESSAGES, "the rest is not handled");
            channel.runPendingTasks();
        }
        assertEquals(
                List.of(new Message.StatusRequest(true), new Message.StatusRequest(false)), received.subList(0, 2));
        channel.runPendingTasks();
        assertEquals(MESSAGES, received.size());
    }

    @Test
    void messagesOfClosedConnectionAreHandled() {
        channel.close();
        assertEquals(MESSAGES, received.size());
    }
}
