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

/** One try of one request at one backend. */
public final class Attempt {
    /**
     * Who hears, once, how an attempt ended. There is an answer if it was served, and with MOOT if the
     * backend cannot use the request.
     */
    public interface Listener {
        void onEnd(Attempt attempt, Status status, Report report, BackendResponse answer);

        /** Does anybody still wait for it, by all that is known at this moment? Asked before it begins. */
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
    /** Its last byte is written: from now on it may have run. */
    private boolean written;

    private final long timeoutNs;
    /** When the time began that it has. */
    private long startedAtNs;
    /** It must have gone out by then. */
    private final long sendByNs;

    private boolean sent;
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
            Runnable whenWritten) {
        this.backend = backend;
        this.request = request;
        this.loop = loop;
        this.clock = clock;
        this.startedAtNs = clock.now();
        this.timeoutNs = timeoutNs;
        this.deadlineNs = startedAtNs + timeoutNs;
        this.sendByNs = sendWithinNs == Long.MAX_VALUE ? sendWithinNs : startedAtNs + sendWithinNs;
        this.listener = listener;
        this.onWritten = whenWritten;
    }

    Backend backend() {
        return backend;
    }

    boolean hasEnded() {
        return hasEnded;
    }

    /**
     * Its time begins: with the attempt, or, where the request is still coming, with its last byte, as the
     * protocol counts. Until then both ends must make progress.
     */
    void startTimer() {
        timer = loop.schedule(this::onTimeout, timeoutNs, TimeUnit.NANOSECONDS);
    }

    /**
     * May it still go out? Not if it is over or called off, which ends it a moment later, nor once it is too
     * late for it.
     */
    boolean canStart() {
        return !hasEnded && !isAbandoned && clock.now() <= sendByNs;
    }

    /** Asks whether anybody still waits for it; where nobody does it goes out no more. */
    boolean checkNeeded() {
        isAbandoned |= !listener.isNeeded();
        return !isAbandoned;
    }

    /** The request that it sends. */
    Message request() {
        return request;
    }

    /** When its time began, in ns. */
    public long startedAtNs() {
        return startedAtNs;
    }

    /** The backend does not read it. */
    void failUnread() {
        giveUp(Status.CONNECT_FAILED);
    }

    /** It goes over that connection. */
    void setConnection(Connection c) {
        connection = c;
    }

    void written() {
        written = true;
        onWritten.run();
        if (request.rest() != null && !hasEnded) {
            startedAtNs = clock.now();
            startTimer();
        }
    }

    /** All of it is on its way to be written. */
    void sent() {
        sent = true;
    }

    boolean isSent() {
        return sent;
    }

    boolean isWritten() {
        return written;
    }

    /**
     * Takes it back: it ends as cancelled, if it has not ended by then; never within this call. One that has
     * not gone out does not go out any more, though its connection may come up in this very moment.
     */
    public void cancel() {
        isAbandoned = true;
        loop.execute(() -> giveUp(Status.CANCELLED));
    }

    private void onTimeout() {
        giveUp(written ? Status.TIMEOUT : Status.CONNECT_FAILED);
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
        end(written ? Status.RESET : Status.CONNECT_FAILED, null, null);
    }

    void end(Status status, Report report, BackendResponse answer) {
        if (hasEnded) {
            return;
        }
        hasEnded = true;
        if (timer != null) {
            timer.cancel(false);
        }
        listener.onEnd(this, status, report, answer);
    }

    /** The head, and the body as far as it is there. */
    HttpRequest toHttpRequest() {
        boolean isComplete = request.rest() == null;
        HttpRequest r = isComplete
                ? new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.method(),
                        request.uri(),
                        request.body().bytes())
                : new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
        Message.copyRequest(request.headers(), r.headers());
        r.headers().set(HttpHeaderNames.HOST, request.headers().get(HttpHeaderNames.HOST, ""));
        long remainingNs = isComplete ? deadlineNs - clock.now() : timeoutNs;
        r.headers().set("Request-Timeout", Message.seconds(Math.max(1000, remainingNs)));
        if (request.length() < 0) {
            HttpUtil.setTransferEncodingChunked(r, true);
        } else if (request.hasBody() || !request.method().equals(HttpMethod.GET)) {
            HttpUtil.setContentLength(r, request.length());
        }
        return r;
    }
}
