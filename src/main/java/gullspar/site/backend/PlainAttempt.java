package gullspar.site.backend;

import gullspar.decide.Balancer.Status;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;

/**
 * One attempt of a request at one server. It ends exactly once: it fails, or its response is declined, or
 * accepted. The body of an accepted response follows until it is complete or truncated.
 */
public final class PlainAttempt {
    /** Gets the events of an attempt on the event loop, never from within a call of the listener itself. */
    public interface Listener {
        /** The head of a response was received: true accepts it, false declines it. The attempt has ended. */
        boolean onHead(PlainAttempt a, HttpResponse head);

        /** A part of the body; the listener takes ownership of the buffer. */
        void onContent(ByteBuf bytes);

        /** All bytes of one read were passed on; returns true if more may be read at once. */
        boolean onReadComplete();

        /** The response is complete. */
        void onEnd(HttpHeaders trailers);

        /** The connection failed within an accepted response. */
        void onTruncated();

        /** The attempt ended without a response. */
        void onFailed(PlainAttempt a, Status status);
    }

    /** A request to be written; head creates its head for the remaining time in ns. */
    public record OutgoingRequest(
            LongFunction<HttpRequest> head, ByteBuf body, HttpHeaders trailers, boolean headOnly) {}

    final PlainBackend backend;
    final OutgoingRequest request;
    final Listener listener;
    private final EventLoop loop;
    private PlainConnection connection;
    private ScheduledFuture<?> timer;
    private boolean mayHaveRun;
    private boolean ended;
    private boolean streaming;
    private boolean occupiesServer;

    PlainAttempt(PlainBackend backend, OutgoingRequest request, Listener listener, EventLoop loop) {
        this.backend = backend;
        this.request = request;
        this.listener = listener;
        this.loop = loop;
    }

    /** The id of the server. */
    public int server() {
        return backend.id;
    }

    void startTimer(long timeoutNs) {
        timer = loop.schedule(this::onTimeout, timeoutNs, TimeUnit.NANOSECONDS);
    }

    /** Counts the attempt among the open ones of its server. */
    void occupiesServer() {
        occupiesServer = true;
        backend.openAttempts++;
    }

    /** Stops counting it; false if it was not counted. */
    boolean releaseServer() {
        boolean occupied = occupiesServer;
        occupiesServer = false;
        backend.openAttempts -= occupied ? 1 : 0;
        return occupied;
    }

    void useConnection(PlainConnection c) {
        connection = c;
    }

    /** Marks that the server may have executed the request. */
    void mayHaveRun() {
        mayHaveRun = true;
    }

    boolean ended() {
        return ended;
    }

    /**
     * Cancels the attempt in any state; if it fails because of that, the listener is called later, not within this
     * call.
     */
    public void cancel() {
        if (streaming) {
            streaming = false;
            connection.close();
        } else if (!ended) {
            loop.execute(() -> abort(Status.CANCELLED));
        }
    }

    /** Resumes reading of the response. */
    public void resume() {
        if (streaming) {
            connection.read();
        }
    }

    private void onTimeout() {
        abort(mayHaveRun ? Status.TIMEOUT : Status.CONNECT_FAILED);
    }

    private void abort(Status status) {
        if (!ended) {
            endFailed(status);
            if (connection != null) {
                connection.close();
            }
        }
    }

    void endFailed(Status status) {
        if (!ended) {
            markEnded();
            listener.onFailed(this, status);
        }
    }

    private void markEnded() {
        ended = true;
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** The connection failed or delivered a malformed response. */
    void connectionFailed() {
        if (streaming) {
            streaming = false;
            listener.onTruncated();
        } else {
            endFailed(mayHaveRun ? Status.RESET : Status.CONNECT_FAILED);
        }
    }

    boolean onHead(HttpResponse head) {
        if (ended) {
            return false;
        }
        markEnded();
        streaming = listener.onHead(this, head);
        return streaming;
    }

    void onEnd(HttpHeaders trailers) {
        if (streaming) {
            streaming = false;
            listener.onEnd(trailers);
        }
    }
}
