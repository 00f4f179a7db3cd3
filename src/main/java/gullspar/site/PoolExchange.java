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
import gullspar.site.http.TemplateValues;
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
 * One request to a pool: it is reported to the decision module, its attempts are sent, and the client gets exactly
 * one final answer. For the module the request ends with the head of a forwarded response; the body follows as
 * fast as the client reads it.
 */
final class PoolExchange implements Clients.PendingRequest, PlainAttempt.Listener {
    /** A response must start this long before the deadline; the backstop fires this long before it. */
    private static final long DEADLINE_MARGIN_NS = 10_000_000L, BACKSTOP_MARGIN_NS = 5_000_000L;

    private record SentAttempt(PlainAttempt attempt, int server, long startedAt) {}

    private final Pool pool;
    private final PlainClient client;
    private final PlainRequest request;
    private final Route.PoolTarget route;
    private final TemplateValues values;
    private final Site.Forwarded forwarded;
    private final Consumer<PoolExchange> onEnd;
    private final int ticket;
    private final long deadline;
    private final ScheduledFuture<?> backstop;
    /** Indexed by attempt number; null if the attempt was not sent. */
    private final List<SentAttempt> attempts = new ArrayList<>(2);

    private int openAttempts;
    private boolean answered;
    /** The attempt whose response is being forwarded; null if there is none. */
    private PlainAttempt responding;

    private boolean chunked;
    private long lastProgressAt;

    /**
     * Creates the exchange and reports the request to the module; onEnd runs once nothing more is sent to the
     * client.
     */
    PoolExchange(
            Pool pool,
            PlainClient client,
            PlainRequest request,
            Router.Result found,
            Site.Forwarded forwarded,
            Consumer<PoolExchange> onEnd) {
        this.pool = pool;
        this.client = client;
        this.request = request;
        this.route = found.route().pool();
        this.values = new TemplateValues(request, found.groups(), found.route().name(), route.pool());
        this.forwarded = forwarded;
        this.onEnd = onEnd;
        long now = pool.platform.clock().now();
        long time = route.limits().deadlineNs();
        long margin = Math.min(DEADLINE_MARGIN_NS, time / 4);
        this.deadline = now + time - margin;
        this.ticket = pool.register(this);
        this.backstop = pool.platform
                .loop()
                .schedule(this::onBackstop, time - Math.min(BACKSTOP_MARGIN_NS, margin / 2), TimeUnit.NANOSECONDS);
        int profile = pool.classId(PoolClasses.profile(
                Route.resolveClass(route.requestClass(), request.method().name()),
                request.headers().contains("Idempotency-Key"),
                route.limits()));
        notifyModule((at, module) ->
                module.onRequest(at, new Request(ticket, profile, 0, 0, Math.max(0, deadline - at), 0, false)));
    }

    private void notifyModule(Events.Event event) {
        pool.notifyModule(event, this::fail);
    }

    /** Aborts a response that has made no progress for longer than stallNs. */
    void abortIfStalled(long now, long stallNs) {
        if (responding != null && now - lastProgressAt > stallNs) {
            pool.platform
                    .log()
                    .write("response of pool " + route.pool() + " made no progress; closing the client connection");
            PlainAttempt a = responding;
            endResponse();
            a.cancel();
            client.abort();
        }
    }

    // ---- events of the client and of time ----

    /** Answers 504 when the module has not decided in time, so that the client always gets an answer. */
    private void onBackstop() {
        if (!answered) {
            respond(504, new DefaultHttpHeaders(), "no answer in time");
            withdraw();
        }
    }

    @Override
    public void onClientDisconnected() {
        if (responding != null) {
            PlainAttempt a = responding;
            endResponse();
            a.cancel();
        } else if (!answered) {
            markAnswered();
            endResponse();
            withdraw();
        }
    }

    private void withdraw() {
        for (int i = 0; i < attempts.size(); i++) {
            cancel(i);
        }
        notifyModule((now, module) -> {
            module.onClientDisconnected(now, ticket);
            releaseIfComplete();
        });
    }

    private void reportOutcome(int number, int server, long startedAt, Status status, Report report) {
        long elapsed = pool.platform.clock().now() - startedAt;
        notifyModule((now, module) -> {
            openAttempts--;
            module.onOutcome(now, new Outcome(ticket, number, server, status, elapsed, answered, report));
            releaseIfComplete();
        });
    }

    private void reportOutcome(PlainAttempt a, Status status, Report report) {
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i) != null && attempts.get(i).attempt() == a) {
                reportOutcome(i, attempts.get(i).server(), attempts.get(i).startedAt(), status, report);
            }
        }
    }

    private void releaseIfComplete() {
        if (answered && openAttempts == 0) {
            pool.forget(this, ticket);
            request.body().release();
        }
    }

    private void markAnswered() {
        answered = true;
        backstop.cancel(false);
    }

    /** Ends the exchange for the client: nothing more is sent to it. */
    private void endResponse() {
        responding = null;
        onEnd.accept(this);
    }

    private void respond(int status, HttpHeaders headers, String text) {
        markAnswered();
        client.respond(status, headers, text);
        endResponse();
    }

    // ---- events of attempts ----

    @Override
    public boolean onHead(PlainAttempt a, HttpResponse head) {
        Report report = LoadReport.lastValid(head.headers().getAll("Server-Load"));
        Status status = status(head);
        boolean forwarded = !answered && (status == Status.OK || status == Status.MOOT);
        if (forwarded) {
            markAnswered();
            responding = a;
            lastProgressAt = pool.platform.clock().now();
            HttpResponse r = Heads.response(head, request, route, values);
            chunked = HttpUtil.isTransferEncodingChunked(r);
            client.begin(r);
        }
        pool.onAttemptEnded(a.server(), status);
        reportOutcome(a, status, report);
        return forwarded;
    }

    /**
     * Maps a response to an outcome: 2xx and 3xx are OK, and a status in the retry_on of the route is a failure,
     * unless the server states that it did not start the request. Any other status concerns the request and is
     * no evidence about the server.
     */
    private Status status(HttpResponse head) {
        int code = head.status().code();
        if (route.limits().retryStatuses().contains(code)) {
            return (code == 503 || code == 504) && "1".equals(head.headers().get("Not-Started"))
                    ? Status.FULL
                    : Status.ERROR;
        }
        return code < 400 ? Status.OK : Status.MOOT;
    }

    @Override
    public void onContent(ByteBuf bytes) {
        client.writeContent(bytes);
    }

    @Override
    public boolean onReadComplete() {
        lastProgressAt = pool.platform.clock().now();
        client.flush();
        return client.isWritable();
    }

    @Override
    public void onWritable() {
        lastProgressAt = pool.platform.clock().now();
        if (responding != null) {
            responding.resume();
        }
    }

    @Override
    public void onEnd(HttpHeaders trailers) {
        client.complete(trailers, chunked);
        endResponse();
    }

    @Override
    public void onTruncated() {
        endResponse();
        client.abort();
    }

    @Override
    public void onFailed(PlainAttempt a, Status status) {
        if (status != Status.MOOT) { // MOOT: the attempt did not reach the server
            pool.onAttemptEnded(a.server(), status);
        }
        reportOutcome(a, status, null);
    }

    // ---- actions of the module ----

    void send(int server, long timeoutNs) {
        long now = pool.platform.clock().now();
        long remainingNs = deadline - now;
        int number = attempts.size();
        openAttempts++;
        if (answered || remainingNs <= 0) {
            attempts.add(null);
            reportOutcome(number, server, now, Status.MOOT, null);
            return;
        }
        PlainAttempt.OutgoingRequest outgoing = new PlainAttempt.OutgoingRequest(
                leftNs -> Heads.request(request, route, values, forwarded, leftNs),
                request.body().bytes(),
                request.trailers(),
                request.isHead());
        attempts.add(new SentAttempt(
                pool.backends.send(
                        server, outgoing, timeoutNs == 0 ? remainingNs : Math.min(timeoutNs, remainingNs), this),
                server,
                now));
    }

    void refuse(long retryInNs) {
        if (!answered) {
            HttpHeaders headers = new DefaultHttpHeaders();
            long seconds = TimeUnit.NANOSECONDS.toSeconds(retryInNs); // a longer wait may be harmful
            if (seconds > 0) {
                headers.set(HttpHeaderNames.RETRY_AFTER, seconds);
            }
            respond(503, headers, "refused, try again");
            releaseIfComplete();
        }
    }

    void fail() {
        if (!answered) {
            respond(502, new DefaultHttpHeaders(), "failed");
            releaseIfComplete();
        }
    }

    void cancel(int attempt) {
        if (attempt < attempts.size() && attempts.get(attempt) != null) {
            PlainAttempt a = attempts.get(attempt).attempt();
            if (a != responding) {
                a.cancel();
            }
        }
    }
}
