package gullspar.proxy.backend;

import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.http.Message;
import gullspar.proxy.io.Clock;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
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
    private boolean ended;

    Attempt(Backend backend, Message request, EventLoop loop, Clock clock, long timeoutNs,
            Listener listener, Runnable whenWritten) {
        this.backend = backend;
        this.request = request;
        this.loop = loop;
        this.clock = clock;
        this.deadline = clock.now() + timeoutNs;
        this.listener = listener;
        this.whenWritten = whenWritten;
    }

    Backend backend() {
        return backend;
    }

    boolean ended() {
        return ended;
    }

    void startTimer(long timeoutNs) {
        timer = loop.schedule(this::timeOut, timeoutNs, TimeUnit.NANOSECONDS);
    }

    /** It goes over that connection. */
    void over(Connection c) {
        connection = c;
    }

    void written() {
        written = true;
        whenWritten.run();
    }

    boolean isWritten() {
        return written;
    }

    /** Takes it back: it ends as cancelled, if it has not ended by then; never within this call. */
    public void cancel() {
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

    DefaultFullHttpRequest toWrite() {
        DefaultFullHttpRequest r = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(),
                request.uri(), Unpooled.wrappedBuffer(request.body()));
        Message.copyRequest(request.headers(), r.headers());
        r.headers().set(HttpHeaderNames.HOST, request.headers().get(HttpHeaderNames.HOST, ""));
        r.headers().set("Request-Timeout", Message.seconds(Math.max(1000, deadline - clock.now())));
        if (request.body().length > 0 || !request.method().equals(HttpMethod.GET)) {
            HttpUtil.setContentLength(r, request.body().length);
        }
        return r;
    }
}
