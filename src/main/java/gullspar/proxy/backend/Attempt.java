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
    /**
     * Notified once of how an attempt ended. There is a response with OK, and with MOOT if the backend rejected
     * the request.
     */
    public interface Listener {
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
    /** Its last byte was written: from now on it may have run. */
    private boolean isWritten;

    private final long timeoutNs;
    /** Start of its time-out. */
    private long startedAtNs;
    /** It is not sent after this time. */
    private final long sendByNs;

    private boolean isSent;
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
     * Starts the time-out: with the attempt, or, where the request is still being received, with its last byte, as
     * the protocol defines. Until then both ends must make progress.
     */
    void startTimer() {
        timer = loop.schedule(this::onTimeout, timeoutNs, TimeUnit.NANOSECONDS);
    }

    /**
     * May it still be sent? Not if it has ended, was abandoned (its end follows a moment later), or its time to be
     * sent has passed.
     */
    boolean canStart() {
        return !hasEnded && !isAbandoned && clock.now() <= sendByNs;
    }

    /** Checks whether the response is still needed; if not, the attempt is abandoned. */
    boolean checkNeeded() {
        isAbandoned |= !listener.isNeeded();
        return !isAbandoned;
    }

    /** The request that it sends. */
    Message request() {
        return request;
    }

    /** Start of its time-out. */
    public long startedAtNs() {
        return startedAtNs;
    }

    /** Ends it because the backend does not read the request. */
    void failUnread() {
        giveUp(Status.CONNECT_FAILED);
    }

    /** Sets the connection that carries it. */
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
     * Cancels the attempt: it ends as CANCELLED unless it ends otherwise first, never within this call. If it was
     * not sent yet, it never is, even if its connection opens at this moment.
     */
    public void cancel() {
        isAbandoned = true;
        loop.execute(() -> giveUp(Status.CANCELLED));
    }

    private void onTimeout() {
        giveUp(isWritten ? Status.TIMEOUT : Status.CONNECT_FAILED);
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

    /** The head, and the body if all of it was received. */
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
