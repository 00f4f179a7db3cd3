package gullspar.proxy.backend;

import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.http.Message;
import gullspar.proxy.io.Clock;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** One attempt to send one request to one backend. */
public final class Attempt {
    /** Receives the end of an attempt, and states before it is sent whether it is still needed. */
    public interface Listener {
        /**
         * Called exactly once.
         *
         * @param report the load that the backend reported; null if it reported none
         * @param response the response if the status is OK, or MOOT because the backend rejected the request;
         *     otherwise null
         */
        void onEnd(Attempt attempt, Status status, Report report, BackendResponse response);

        /** Whether the response is still needed, as far as is known. Checked before the attempt is sent. */
        boolean isNeeded();
    }

    private final Backend backend;
    private final Message request;
    private final EventLoop loop;
    private final Clock clock;
    private final long deadlineNs;
    private final Listener listener;
    private final Runnable onWritten;
    private Connection connection;
    private ScheduledFuture<?> timer;
    /** The last byte of the request was written: the backend may have started it. */
    private boolean isWritten;

    private final long timeoutNs;
    /** When the time-out started. */
    private long startedAtNs;
    /** When the head of its response was received. */
    private long begunAtNs;
    /** The attempt is not sent after this time. */
    private final long sendByNs;
    /** All of the request was handed to the channel. */
    private boolean isSent;
    /** The attempt must no longer be sent; it has ended or is about to end. */
    private boolean isAbandoned;

    private boolean hasEnded;

    Attempt(
            Backend backend,
            Message request,
            EventLoop loop,
            Clock clock,
            long timeoutNs,
            long sendWithinNs,
            Listener listener,
            Runnable onWritten) {
        this.backend = backend;
        this.request = request;
        this.loop = loop;
        this.clock = clock;
        this.startedAtNs = clock.now();
        this.timeoutNs = timeoutNs;
        this.deadlineNs = startedAtNs + timeoutNs;
        this.sendByNs = sendWithinNs == Long.MAX_VALUE ? sendWithinNs : startedAtNs + sendWithinNs;
        this.listener = listener;
        this.onWritten = onWritten;
    }

    Backend backend() {
        return backend;
    }

    boolean hasEnded() {
        return hasEnded;
    }

    /**
     * Starts the time-out. It runs from the start of the attempt or, by the protocol, from the last byte of a request
     * that is still being received; until then stalls of the client and of the backend have limits of their own.
     */
    void startTimer() {
        timer = loop.schedule(this::onTimeout, timeoutNs, TimeUnit.NANOSECONDS);
    }

    /** Whether the attempt may still be sent: it has not ended, was not abandoned and is not too late. */
    boolean canStart() {
        return !hasEnded && !isAbandoned && clock.now() <= sendByNs;
    }

    /** Checks whether the response is still needed; if not, the attempt is abandoned. */
    boolean checkNeeded() {
        isAbandoned |= !listener.isNeeded();
        return !isAbandoned;
    }

    Message request() {
        return request;
    }

    /** The head of its response has been received. */
    void markBegun() {
        begunAtNs = clock.now();
    }

    /**
     * The time from the start of the time-out, in ns, until now or, for a response that is streamed, until its head:
     * how long the rest takes depends on its size and on its client.
     */
    public long elapsedNs(boolean isStreamed) {
        return (isStreamed ? begunAtNs : clock.now()) - startedAtNs;
    }

    /** Ends the attempt because the backend does not read the request, or too slowly. */
    public void failUnread() {
        giveUp(Status.CONNECT_FAILED);
    }

    /** Sets the connection that carries the attempt; it is closed if the attempt ends early. */
    void setConnection(Connection c) {
        connection = c;
    }

    void markWritten() {
        isWritten = true;
        onWritten.run();
        if (request.bodyStream() != null && !hasEnded) {
            startedAtNs = clock.now();
            startTimer();
        }
    }

    /** All of the request was handed to the channel. */
    void markSent() {
        isSent = true;
    }

    boolean isSent() {
        return isSent;
    }

    boolean isWritten() {
        return isWritten;
    }

    /**
     * Cancels the attempt. It ends after this call returns, unless it has another end first: as CANCELLED or, if its
     * last byte was not written, so that its backend has not run it, as MOOT. If it was not sent yet it never is, even
     * if its connection opens in the meantime.
     */
    public void cancel() {
        isAbandoned = true;
        loop.execute(() -> giveUp(isWritten ? Status.CANCELLED : Status.MOOT));
    }

    private void onTimeout() {
        endWithBegunResponse();
        giveUp(isWritten ? Status.TIMEOUT : Status.CONNECT_FAILED);
    }

    /**
     * Ends the attempt with the response that the backend has begun to send, if there is one: a response that is coming
     * is forwarded rather than cut off by a time limit. After a standstill its head may not have been read yet.
     */
    public void endWithBegunResponse() {
        if (!hasEnded && connection != null) {
            connection.readAndCheckUsable();
        }
        if (!hasEnded && connection != null) {
            connection.endWithBegunResponse(this);
        }
    }

    private void giveUp(Status status) {
        if (!hasEnded) {
            end(status, null, null);
            if (connection != null) {
                connection.close();
            }
        }
    }

    void onConnectionLost() {
        end(isWritten ? Status.RESET : Status.CONNECT_FAILED, null, null);
    }

    void end(Status status, Report report, BackendResponse response) {
        if (hasEnded) {
            return;
        }
        hasEnded = true;
        if (timer != null) {
            timer.cancel(false);
        }
        listener.onEnd(this, status, report, response);
    }

    /** Returns the request to be sent: its head, and its body if all of it was received. */
    HttpRequest toHttpRequest() {
        boolean isComplete = request.bodyStream() == null;
        HttpRequest r = isComplete
                ? new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.method(),
                        request.uri(),
                        request.body().bytes())
                : new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
        Message.copyRequestHeaders(request.headers(), r.headers());
        r.headers().set(HttpHeaderNames.HOST, request.headers().get(HttpHeaderNames.HOST, ""));
        long remainingNs = isComplete ? deadlineNs - clock.now() : timeoutNs;
        r.headers().set("Request-Timeout", Message.formatSeconds(Math.max(1000, remainingNs)));
        if (request.bodyLength() < 0) {
            HttpUtil.setTransferEncodingChunked(r, true);
        } else if (request.hasBody() || !request.method().equals(HttpMethod.GET)) {
            HttpUtil.setContentLength(r, request.bodyLength());
        }
        return r;
    }
}
