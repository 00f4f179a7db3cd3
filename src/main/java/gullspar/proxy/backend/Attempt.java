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
        void ended(Attempt attempt, Status status, Report report, Answer answer);

        /** Does anybody still wait for it, by all that is known at this moment? Asked before it begins. */
        boolean wanted();
    }

    private final Backend backend;
    private final Message request;
    private final EventLoop loop;
    private final Clock clock;
    private final long deadline;
    private final Listener listener;
    private final Runnable whenWritten;
    private Connection connection;
    private ScheduledFuture<?> timer;
    /** Its last byte is written: from now on it may have run. */
    private boolean written;

    private final long timeoutNs;
    /** When the time began that it has. */
    private long began;
    /** It must have gone out by then. */
    private final long latest;

    private boolean sent;
    private boolean calledOff;
    private boolean ended;

    Attempt(
            Backend backend,
            Message request,
            EventLoop loop,
            Clock clock,
            long timeoutNs,
            long withinNs,
            Listener listener,
            Runnable whenWritten) {
        this.backend = backend;
        this.request = request;
        this.loop = loop;
        this.clock = clock;
        this.began = clock.now();
        this.timeoutNs = timeoutNs;
        this.deadline = began + timeoutNs;
        this.latest = withinNs == Long.MAX_VALUE ? withinNs : began + withinNs;
        this.listener = listener;
        this.whenWritten = whenWritten;
    }

    Backend backend() {
        return backend;
    }

    boolean ended() {
        return ended;
    }

    /**
     * Its time begins: with the attempt, or, where the request is still coming, with its last byte, as the
     * protocol counts. Until then both ends must make progress.
     */
    void startTimer() {
        timer = loop.schedule(this::timeOut, timeoutNs, TimeUnit.NANOSECONDS);
    }

    /**
     * May it still go out? Not if it is over or called off, which ends it a moment later, nor once it is too
     * late for it.
     */
    boolean mayBegin() {
        return !ended && !calledOff && clock.now() <= latest;
    }

    /** Asks whether anybody still waits for it; where nobody does it goes out no more. */
    boolean wanted() {
        calledOff |= !listener.wanted();
        return !calledOff;
    }

    /** The request that it sends. */
    Message request() {
        return request;
    }

    /** When its time began, in ns. */
    public long began() {
        return began;
    }

    /** The backend does not read it. */
    void stuck() {
        giveUp(Status.CONNECT_FAILED);
    }

    /** It goes over that connection. */
    void over(Connection c) {
        connection = c;
    }

    void written() {
        written = true;
        whenWritten.run();
        if (request.bodyStream() != null && !ended) {
            began = clock.now();
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
        calledOff = true;
        loop.execute(() -> giveUp(Status.CANCELLED));
    }

    private void timeOut() {
        giveUp(written ? Status.TIMEOUT : Status.CONNECT_FAILED);
    }

    private void giveUp(Status status) {
        if (!ended) {
            end(status, null, null);
            if (connection != null) {
                connection.close();
            }
        }
    }

    void broken() {
        end(written ? Status.RESET : Status.CONNECT_FAILED, null, null);
    }

    void end(Status status, Report report, Answer answer) {
        if (ended) {
            return;
        }
        ended = true;
        if (timer != null) {
            timer.cancel(false);
        }
        listener.ended(this, status, report, answer);
    }

    /** The head, and the body as far as it is there. */
    HttpRequest toWrite() {
        boolean whole = request.bodyStream() == null;
        HttpRequest r = whole
                ? new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.method(),
                        request.uri(),
                        request.body().bytes())
                : new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
        Message.copyRequestHeaders(request.headers(), r.headers());
        r.headers().set(HttpHeaderNames.HOST, request.headers().get(HttpHeaderNames.HOST, ""));
        long left = whole ? deadline - clock.now() : timeoutNs;
        r.headers().set("Request-Timeout", Message.formatSeconds(Math.max(1000, left)));
        if (request.bodyLength() < 0) {
            HttpUtil.setTransferEncodingChunked(r, true);
        } else if (request.hasBody() || !request.method().equals(HttpMethod.GET)) {
            HttpUtil.setContentLength(r, request.bodyLength());
        }
        return r;
    }
}
