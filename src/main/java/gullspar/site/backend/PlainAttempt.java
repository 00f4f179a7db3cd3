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
 * One try of one request at one server. It ends exactly once: lost, or its answer declined, or its answer
 * taken on, which then comes piece by piece until it is whole or cut off.
 */
public final class PlainAttempt {
    /** Who hears what becomes of it, on the event loop, never from inside a call of its own. */
    public interface Listener {
        /** The head of an answer has come: true to take it on, false to decline it. The attempt is over. */
        boolean onHead(PlainAttempt a, HttpResponse head);

        /** A piece of the answer, which is the listener's now. */
        void onContent(ByteBuf bytes);

        /** All that came in one go has been passed on; true if more may come at once. */
        boolean onReadComplete();

        /** The answer is whole. */
        void onEnd(HttpHeaders trailers);

        /** The answer that was taken on broke off. */
        void onTruncated();

        /** It ended without any answer. */
        void onFailed(PlainAttempt a, Status status);
    }

    /** What is written. head: of the request, for what is left of its time in ns. */
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

    PlainAttempt(PlainBackend backend, OutgoingRequest sending, Listener listener, EventLoop loop) {
        this.backend = backend;
        this.request = sending;
        this.listener = listener;
        this.loop = loop;
    }

    /** The number of its server. */
    public int server() {
        return backend.id;
    }

    void startTimer(long timeoutNs) {
        timer = loop.schedule(this::onTimeout, timeoutNs, TimeUnit.NANOSECONDS);
    }

    /** It counts among what its server has in hand. */
    void occupiesServer() {
        occupiesServer = true;
        backend.openAttempts++;
    }

    /** It no longer does; false if it did not. */
    boolean releaseServer() {
        boolean occupied = occupiesServer;
        occupiesServer = false;
        backend.openAttempts -= occupied ? 1 : 0;
        return occupied;
    }

    void useConnection(PlainConnection c) {
        connection = c;
    }

    /** From now on nobody can be sure that it did not run. */
    void mayHaveRun() {
        mayHaveRun = true;
    }

    boolean ended() {
        return ended;
    }

    /** Takes it back, whatever it is at; if it is lost by that, it is so later, never within this call. */
    public void cancel() {
        if (streaming) {
            streaming = false;
            connection.close();
        } else if (!ended) {
            loop.execute(() -> abort(Status.CANCELLED));
        }
    }

    /** There is room again for what the answer brings. */
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

    /** The connection broke, or brought what is no answer. */
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
