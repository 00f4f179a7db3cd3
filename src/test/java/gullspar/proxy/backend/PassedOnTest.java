package gullspar.proxy.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.http.Body;
import gullspar.proxy.http.BodyBudget;
import gullspar.proxy.http.Message;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** An answer has come whole, and its client has not taken all of it yet. */
class PassedOnTest {
    private static final int LENGTH = 300_000;

    private final Backend backend = new Backend();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Connection connection = new Connection(backend, channel.eventLoop(), () -> 1, 1);
    private final List<Answer> answers = new ArrayList<>();

    private void attempt() {
        Message m = Message.withFullBody(
                HttpMethod.GET, "/look", new DefaultHttpHeaders(), new Body(new BodyBudget(1000), 1000));
        connection.begin(new Attempt(
                backend,
                m,
                channel.eventLoop(),
                () -> 1,
                1_000_000_000L,
                Long.MAX_VALUE,
                new Attempt.Listener() {
                    @Override
                    public void ended(Attempt a, Status status, Report report, Answer answer) {
                        answers.add(answer);
                    }

                    @Override
                    public boolean wanted() {
                        return true;
                    }
                },
                () -> {}));
        channel.releaseOutbound();
    }

    private void answer(int length) {
        ByteBuf bytes = Unpooled.buffer();
        bytes.writeCharSequence("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n", StandardCharsets.US_ASCII);
        channel.writeInbound(bytes.writeZero(length));
    }

    @Test
    void itsConnectionIsReadAndUsedAgainAndLivesOnWhenItsClientLeaves() {
        connection.opening(channel);
        connection.openOn(channel);
        attempt();
        answer(LENGTH);
        assertEquals(1, answers.size());
        assertTrue(answers.get(0).rest().paused(), "nobody has taken anything");
        assertTrue(channel.config().isAutoRead());
        assertEquals(connection, backend.idle.peekFirst());
        backend.idle.pollFirst();
        attempt();
        answers.get(0).rest().drop();
        channel.runPendingTasks();
        assertTrue(channel.isOpen(), "it carries another's attempt");
        answer(10);
        assertEquals(2, answers.size());
        assertEquals(10, answers.get(1).body().length);
    }

    @Test
    void anAnswerThatNobodyWantsAndIsStillComingEndsItsConnection() {
        connection.opening(channel);
        connection.openOn(channel);
        attempt();
        ByteBuf bytes = Unpooled.buffer();
        bytes.writeCharSequence("HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n", StandardCharsets.US_ASCII);
        channel.writeInbound(bytes.writeZero(LENGTH / 2));
        answers.get(0).rest().drop();
        channel.runPendingTasks();
        assertFalse(channel.isOpen());
    }
}
