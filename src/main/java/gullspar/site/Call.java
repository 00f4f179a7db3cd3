package gullspar.site;

import gullspar.config.Site;
import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.backend.LoadReport;
import gullspar.proxy.events.Events;
import gullspar.route.Route;
import gullspar.route.Router;
import gullspar.site.backend.PlainAttempt;
import gullspar.site.client.Clients;
import gullspar.site.client.PlainClient;
import gullspar.site.http.Heads;
import gullspar.site.http.PlainRequest;
import gullspar.site.http.Values;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The life of one request that goes to a pool: the module hears of it, its attempts go out, it gets its one
 * final answer. With the head of an answer that is passed on it is over for the module; the rest comes piece
 * by piece, as fast as the client takes it.
 */
final class Call implements Clients.Taken, PlainAttempt.Listener {
    /** An answer must begin within the deadline: of that so much is kept, and so much before the backstop. */
    private static final long MARGIN_NS = 10_000_000L, BACKSTOP_NS = 5_000_000L;

    private record Try(PlainAttempt attempt, int server, long startedAt) {}

    private final Pool pool;
    private final PlainClient client;
    private final PlainRequest request;
    private final Route.PoolTarget to;
    private final Values values;
    private final Site.Forwarded forwarded;
    private final Consumer<Call> ended;
    private final int ticket;
    private final long deadline;
    private final ScheduledFuture<?> backstop;
    /** By number; null where none went out. */
    private final List<Try> tries = new ArrayList<>(2);

    private int out;
    private boolean over;
    /** The attempt whose answer is being passed on. */
    private PlainAttempt answering;

    private boolean chunked;
    private long movedAt;

    /** ended: told once nothing more goes to the client. */
    Call(
            Pool pool,
            PlainClient client,
            PlainRequest request,
            Router.Result found,
            Site.Forwarded forwarded,
            Consumer<Call> ended) {
        this.pool = pool;
        this.client = client;
        this.request = request;
        this.to = found.route().pool();
        this.values = new Values(request, found.groups(), found.route().name(), to.pool());
        this.forwarded = forwarded;
        this.ended = ended;
        long now = pool.platform.clock().now();
        long time = to.limits().deadlineNs();
        long margin = Math.min(MARGIN_NS, time / 4);
        this.deadline = now + time - margin;
        this.ticket = pool.take(this);
        this.backstop = pool.platform
                .loop()
                .schedule(this::overdue, time - Math.min(BACKSTOP_NS, margin / 2), TimeUnit.NANOSECONDS);
        int profile = pool.profile(Classes.profile(
                Route.resolveClass(to.requestClass(), request.method().name()),
                request.headers().contains("Idempotency-Key"),
                to.limits()));
        tell((at, module) ->
                module.onRequest(at, new Request(ticket, profile, 0, 0, Math.max(0, deadline - at), 0, false)));
    }

    private void tell(Events.Event event) {
        pool.tell(event, this::fail);
    }

    /** Ends an answer that has made no headway for so long. */
    void check(long now, long stallNs) {
        if (answering != null && now - movedAt > stallNs) {
            pool.platform.log().say("an answer of pool " + to.pool() + " made no headway and is cut off");
            PlainAttempt a = answering;
            done();
            a.cancel();
            client.abort();
        }
    }

    // ---- what happens to it ----

    /** The module has not ended it in time: that must not leave the client with no answer. */
    private void overdue() {
        if (!over) {
            answer(504, new DefaultHttpHeaders(), "no answer in time");
            withdraw();
        }
    }

    @Override
    public void abandoned() {
        if (answering != null) {
            PlainAttempt a = answering;
            done();
            a.cancel();
        } else if (!over) {
            finish();
            done();
            withdraw();
        }
    }

    private void withdraw() {
        for (int i = 0; i < tries.size(); i++) {
            cancel(i);
        }
        tell((now, module) -> {
            module.onWithdrawn(now, ticket);
            forget();
        });
    }

    private void outcome(int number, int server, long startedAt, Status status, Report report) {
        long elapsed = pool.platform.clock().now() - startedAt;
        tell((now, module) -> {
            out--;
            module.onOutcome(now, new Outcome(ticket, number, server, status, elapsed, over, report));
            forget();
        });
    }

    private void outcome(PlainAttempt a, Status status, Report report) {
        for (int i = 0; i < tries.size(); i++) {
            if (tries.get(i) != null && tries.get(i).attempt() == a) {
                outcome(i, tries.get(i).server(), tries.get(i).startedAt(), status, report);
            }
        }
    }

    private void forget() {
        if (over && out == 0) {
            pool.forget(this, ticket);
            request.body().release();
        }
    }

    /** Its final answer is decided. */
    private void finish() {
        over = true;
        backstop.cancel(false);
    }

    /** Nothing more goes to the client. */
    private void done() {
        answering = null;
        ended.accept(this);
    }

    private void answer(int status, HttpHeaders headers, String text) {
        finish();
        client.answer(status, headers, text);
        done();
    }

    // ---- what becomes of an attempt ----

    @Override
    public boolean head(PlainAttempt a, HttpResponse head) {
        Report report = LoadReport.last(head.headers().getAll("Server-Load"));
        Status status = status(head);
        boolean served = !over && (status == Status.OK || status == Status.MOOT);
        if (served) {
            finish();
            answering = a;
            movedAt = pool.platform.clock().now();
            HttpResponse r = Heads.answer(head, request, to, values);
            chunked = HttpUtil.isTransferEncodingChunked(r);
            client.begin(r);
        }
        pool.ended(a.server(), status);
        outcome(a, status, report);
        return served;
    }

    /**
     * 2xx and 3xx were served; what the route counts as a failure is one, but for the server's own word that
     * the request never ran; all else is the request's affair, and tells nothing of the server.
     */
    private Status status(HttpResponse head) {
        int code = head.status().code();
        if (to.limits().retryStatuses().contains(code)) {
            return (code == 503 || code == 504) && "1".equals(head.headers().get("Not-Started"))
                    ? Status.FULL
                    : Status.ERROR;
        }
        return code < 400 ? Status.OK : Status.MOOT;
    }

    @Override
    public void piece(ByteBuf bytes) {
        client.piece(bytes);
    }

    @Override
    public boolean wantsMore() {
        movedAt = pool.platform.clock().now();
        client.flush();
        return client.writable();
    }

    @Override
    public void writable() {
        movedAt = pool.platform.clock().now();
        if (answering != null) {
            answering.resume();
        }
    }

    @Override
    public void whole(HttpHeaders trailers) {
        client.whole(trailers, chunked);
        done();
    }

    @Override
    public void cutOff() {
        done();
        client.abort();
    }

    @Override
    public void lost(PlainAttempt a, Status status) {
        if (status != Status.MOOT) { // that never reached it
            pool.ended(a.server(), status);
        }
        outcome(a, status, null);
    }

    // ---- what the module does with it ----

    void send(int server, long timeoutNs) {
        long now = pool.platform.clock().now();
        long left = deadline - now;
        int number = tries.size();
        out++;
        if (over || left <= 0) {
            tries.add(null);
            outcome(number, server, now, Status.MOOT, null);
            return;
        }
        PlainAttempt.Sending sending = new PlainAttempt.Sending(
                leftNs -> Heads.request(request, to, values, forwarded, leftNs),
                request.body().bytes(),
                request.trailers(),
                request.head());
        tries.add(new Try(
                pool.backends.send(server, sending, timeoutNs == 0 ? left : Math.min(timeoutNs, left), this),
                server,
                now));
    }

    void refuse(long retryInNs) {
        if (!over) {
            HttpHeaders headers = new DefaultHttpHeaders();
            if (retryInNs > 0) {
                headers.set(HttpHeaderNames.RETRY_AFTER, Clients.seconds(retryInNs));
            }
            answer(503, headers, "refused, try again");
            forget();
        }
    }

    void fail() {
        if (!over) {
            answer(502, new DefaultHttpHeaders(), "failed");
            forget();
        }
    }

    void cancel(int attempt) {
        if (attempt < tries.size() && tries.get(attempt) != null) {
            PlainAttempt a = tries.get(attempt).attempt();
            if (a != answering) {
                a.cancel();
            }
        }
    }
}
