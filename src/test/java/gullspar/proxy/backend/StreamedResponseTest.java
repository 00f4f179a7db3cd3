package gullspar.proxy.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.http.Body;
import gullspar.proxy.http.MemoryBudget;
import gullspar.proxy.http.Message;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses that are streamed to a client which has not read all of them yet. */
class StreamedResponseTest {
    private static final int LENGTH = 300_000;

    private final Backend backend = new Backend();
    private final MemoryBudget budget = MemoryBudget.unlimited();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ResponseFailureLog failures = new ResponseFailureLog();
    private int accusations;
    private final Connection connection = newConnection();
    private final List<BackendResponse> responses = new ArrayList<>();

    private Connection newConnection() {
        backend.address = new InetSocketAddress("127.0.0.1", 9000);
        return new Connection(backend, channel.eventLoop(), () -> 1, 1, budget, b -> accusations++, failures);
    }

    private void startAttempt() {
        Message m = Message.withFullBody(
                HttpMethod.GET,
                "/look",
                new DefaultHttpHeaders().set("Request-Id", "r1"),
                new Body(new MemoryBudget(1000), 1000));
        connection.start(new Attempt(
                backend,
                m,
                channel.eventLoop(),
                () -> 1,
                1_000_000_000L,
                Long.MAX_VALUE,
                new Attempt.Listener() {
                    @Override
                    public void onEnd(Attempt a, Status status, Report report, BackendResponse answer) {
                        responses.add(answer);
                    }

                    @Override
                    public boolean isNeeded() {
                        return true;
                    }
                },
                () -> {}));
        channel.releaseOutbound();
    }

    private void writeResponse(int length) {
        ByteBuf bytes = Unpooled.buffer();
        bytes.writeCharSequence("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n", StandardCharsets.US_ASCII);
        channel.writeInbound(bytes.writeZero(length));
    }

    @Test
    void connectionOfAReceivedResponseIsReusedAndSurvivesItsClient() {
        connection.setChannel(channel);
        connection.initPipeline(channel);
        startAttempt();
        writeResponse(LENGTH);
        assertEquals(1, responses.size());
        assertTrue(responses.get(0).rest().paused(), "the client has read nothing");
        assertTrue(channel.config().isAutoRead());
        assertEquals(connection, backend.idle.oldest());
        backend.idle.remove(connection);
        startAttempt();
        responses.get(0).rest().drop();
        channel.runPendingTasks();
        assertTrue(channel.isOpen(), "it carries the attempt of another request");
        writeResponse(10);
        assertEquals(2, responses.size());
        assertEquals(10, responses.get(1).body().length);
    }

    /** The client of the first response leaves while the second one is being streamed. */
    @Test
    void droppingACompleteResponseDoesNotCutTheNextOneOfItsConnection() {
        connection.setChannel(channel);
        connection.initPipeline(channel);
        startAttempt();
        writeResponse(LENGTH);
        backend.idle.remove(connection);
        startAttempt();
        ByteBuf begun = Unpooled.buffer();
        begun.writeCharSequence("HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n", StandardCharsets.US_ASCII);
        channel.writeInbound(begun.writeZero(LENGTH / 2));
        assertEquals(2, responses.size());
        responses.get(0).rest().drop();
        channel.runPendingTasks();
        assertTrue(channel.isOpen());
        assertTrue(responses.get(1).rest().isReceiving());
    }

    /** Responses that backends write slowly were outside the budget. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void bufferedPartOfAResponseIsReservedUntilItEnds(boolean isCompleted) {
        connection.setChannel(channel);
        connection.initPipeline(channel);
        startAttempt();
        ByteBuf bytes = Unpooled.buffer();
        bytes.writeCharSequence("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", StandardCharsets.US_ASCII);
        channel.writeInbound(bytes.writeZero(30_000));
        assertTrue(budget.reservedBytes() >= 30_000);
        if (isCompleted) {
            channel.writeInbound(Unpooled.buffer().writeZero(30_000));
            assertEquals(60_000, responses.get(0).body().length);
        } else {
            channel.close();
        }
        channel.runPendingTasks();
        assertEquals(0, budget.reservedBytes());
    }

    /** A backend was accused of the rest of a response that the proxy itself had given up. */
    @ParameterizedTest
    @ValueSource(strings = {"500 Oops", "200 OK"})
    void restOfAnAbandonedResponseIsNotHeldAgainstItsBackend(String status) {
        connection.setChannel(channel);
        connection.initPipeline(channel);
        startAttempt();
        ByteBuf bytes = Unpooled.buffer();
        bytes.writeCharSequence(
                "HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n\r\n", StandardCharsets.US_ASCII);
        for (int i = 0; i < 10; i++) {
            bytes.writeCharSequence("8000\r\n", StandardCharsets.US_ASCII);
            bytes.writeZero(0x8000);
            bytes.writeCharSequence("\r\n", StandardCharsets.US_ASCII);
        }
        channel.writeInbound(bytes);
        if (status.startsWith("200")) {
            responses.get(0).rest().drop();
        }
        channel.runPendingTasks();
        assertFalse(channel.isOpen());
        assertEquals(0, accusations);
    }

    /** The log of a report did not say why responses had been given up. */
    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf', true, 'ended before the end of the response', 200",
        "'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf', false, 'connection broken', 200",
        "'', true, 'ended before the end of the response', 0",
        "'HTTP/1.1 100 Continue\r\n\r\n', false, 'connection broken', 0",
        "'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwhole of it', false, 'bytes behind the declared end', 200",
        "'HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n', false, 'too long', 200",
        "'HTTP/1.1 200 OK\r\nno colon\r\n\r\n', false, 'malformed', 0",
        "'HTTP/1.1 101 Switching Protocols\r\n\r\n', false, 'unexpected interim response', 0",
        "noise, false, 'bytes that start no response', 0"
    })
    void reasonOfAFailedResponseIsLogged(String text, boolean isEndOfStream, String reason, int status) {
        connection.setChannel(channel);
        connection.initPipeline(channel);
        startAttempt();
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        if (isEndOfStream) {
            channel.unsafe().recvBufAllocHandle().lastBytesRead(-1);
        }
        channel.close();
        channel.runPendingTasks();
        List<String> lines = new ArrayList<>();
        failures.writeAndReset(lines::add);
        failures.writeAndReset(lines::add);
        assertEquals(
                List.of("attempts without a whole response: 1 " + reason + " (first: request r1 at 127.0.0.1:9000, "
                        + (status == 0 ? "no head)" : "status " + status + ")")),
                lines);
    }

    @Test
    void droppingAnIncompleteResponseClosesItsConnection() {
        connection.setChannel(channel);
        connection.initPipeline(channel);
        startAttempt();
        ByteBuf bytes = Unpooled.buffer();
        bytes.writeCharSequence("HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n", StandardCharsets.US_ASCII);
        channel.writeInbound(bytes.writeZero(LENGTH / 2));
        responses.get(0).rest().drop();
        channel.runPendingTasks();
        assertFalse(channel.isOpen());
    }
}
