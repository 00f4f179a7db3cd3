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
        boolean head(PlainAttempt a, HttpResponse head);

        /** A piece of the answer, which is the listener's now. */
        void piece(ByteBuf bytes);

        /** All that came in one go has been passed on; true if more may come at once. */
        boolean wantsMore();

        /** The answer is whole. */
        void whole(HttpHeaders trailers);

        /** The answer that was taken on broke off. */
        void cutOff();

        /** It ended without any answer. */
        void lost(PlainAttempt a, Status status);
    }

    /** What is written. head: of the request, for what is left of its time in ns. */
    public record Sending(LongFunction<HttpRequest> head, ByteBuf body, HttpHeaders trailers, boolean headOnly) {}

    final PlainBackend backend;
    final Sending sending;
    final Listener listener;
    private final EventLoop loop;
    private PlainConnection connection;
    private ScheduledFuture<?> timer;
    private boolean mayHaveRun;
    private boolean ended;
    private boolean streaming;
    private boolean holds;

    PlainAttempt(PlainBackend backend, Sending sending, Listener listener, EventLoop loop) {
        this.backend = backend;
        this.sending = sending;
        this.listener = listener;
        this.loop = loop;
    }

    /** The number of its server. */
    public int server() {
        return backend.id;
    }

    void startTimer(long timeoutNs) {
        timer = loop.schedule(this::timeOut, timeoutNs, TimeUnit.NANOSECONDS);
    }

    /** It counts among what its server has in hand. */
    void holds() {
        holds = true;
        backend.busy++;
    }

    /** It no longer does; false if it did not. */
    boolean letGo() {
        boolean held = holds;
        holds = false;
        backend.busy -= held ? 1 : 0;
        return held;
    }

    void over(PlainConnection c) {
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
            loop.execute(() -> giveUp(Status.CANCELLED));
        }
    }

    /** There is room again for what the answer brings. */
    public void resume() {
        if (streaming) {
            connection.more();
        }
    }

    private void timeOut() {
        giveUp(mayHaveRun ? Status.TIMEOUT : Status.CONNECT_FAILED);
    }

    private void giveUp(Status status) {
        if (!ended) {
            lost(status);
            if (connection != null) {
                connection.close();
            }
        }
    }

    void lost(Status status) {
        if (!ended) {
            end();
            listener.lost(this, status);
        }
    }

    private void end() {
        ended = true;
        if (timer != null) {
            timer.cancel(false);
        }
    }

    /** The connection broke, or brought what is no answer. */
    void broken() {
        if (streaming) {
            streaming = false;
            listener.cutOff();
        } else {
            lost(mayHaveRun ? Status.RESET : Status.CONNECT_FAILED);
        }
    }

    boolean head(HttpResponse head) {
        if (ended) {
            return false;
        }
        end();
        streaming = listener.head(this, head);
        return streaming;
    }

    void whole(HttpHeaders trailers) {
        if (streaming) {
            streaming = false;
            listener.whole(trailers);
        }
    }
}
