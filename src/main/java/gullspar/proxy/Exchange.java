package gullspar.proxy;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.backend.Answer;
import gullspar.proxy.backend.Attempt;
import gullspar.proxy.client.Client;
import gullspar.proxy.client.RequestParameters;
import gullspar.proxy.config.Classes.RequestClass;
import gullspar.proxy.events.Events;
import gullspar.proxy.http.Message;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * The life of one request that was taken: the module hears of it, its attempts go out and end, it gets its
 * one final answer, and it is kept until the last attempt has ended as well. Once it is over nothing goes out
 * for it, whatever the module does.
 */
final class Exchange {
    /**
     * A timeout counts from the client's send and is kept when the answer has reached it. The module is told
     * of so much less, and if it has not ended the request by the second margin, the backstop does.
     */
    private static final long MARGIN_NS = 10_000_000L, BACKSTOP_NS = 5_000_000L;

    final int ticket;
    final Client client;
    private final Exchanges owner;
    private final Message message;
    private final RequestClass of;
    private final long margin;
    private final long timeoutNs;
    /** While its request is still coming the end of all time: its client's time runs from the last byte. */
    private long deadline = Long.MAX_VALUE;
    /** By number; null where none went out. */
    private final List<Attempt> attempts = new ArrayList<>(2);

    private ScheduledFuture<?> backstop;
    private int out;
    private boolean over;

    Exchange(Exchanges owner, int ticket, Client client, Message message, RequestParameters asked, long at) {
        this.owner = owner;
        this.ticket = ticket;
        this.client = client;
        this.message = message;
        this.of = asked.of();
        this.timeoutNs = asked.timeoutNs();
        this.margin = Math.min(MARGIN_NS, timeoutNs / 4);
        if (message.bodyStream() == null || !message.bodyStream().isReceiving()) {
            requestComplete(at);
        }
        boolean whole = deadline != Long.MAX_VALUE;
        tell((now, module) -> module.onRequest(
                now,
                new Request(
                        ticket,
                        of.index(),
                        asked.tenant(),
                        asked.key(),
                        Math.max(0, left(now)),
                        asked.hintNs(),
                        asked.repeat(),
                        whole ? Math.max(0, now - at) : 0)));
    }

    /** Its last byte has come. */
    void requestComplete(long at) {
        if (over || backstop != null) {
            return;
        }
        deadline = owner.byThen(at + timeoutNs) - margin;
        startBackstop();
    }

    private void startBackstop() {
        long latest = deadline + margin - Math.min(BACKSTOP_NS, margin / 2);
        long delayNs = Math.max(0, latest - owner.platform.clock().now());
        backstop = owner.platform.loop().schedule(this::overdue, delayNs, TimeUnit.NANOSECONDS);
    }

    /** It is answered by that time, though its client would wait for longer. */
    void endBy(long time) {
        if (over || backstop == null || deadline + margin <= time) {
            return;
        }
        deadline = time - margin;
        backstop.cancel(false);
        startBackstop();
    }

    /** How long an attempt may take, from now or, while the request is still coming, from its last byte. */
    private long left(long now) {
        return deadline == Long.MAX_VALUE ? timeoutNs - margin : deadline - now;
    }

    private void tell(Events.Event event) {
        owner.events.enqueue(event, this::fail);
    }

    /** Over, and nothing of it is out. */
    boolean done() {
        return over && out == 0;
    }

    // ---- what happens to it ----

    /** The module has not ended it in time: that must not leave the client with no answer. */
    private void overdue() {
        if (!over) {
            owner.platform.log().say("no answer in time, ticket " + ticket);
            answer(504, null, "no answer in time\n".getBytes(StandardCharsets.UTF_8));
            withdraw();
        }
    }

    /** Its client has gone away. */
    void abandoned() {
        finish();
        withdraw();
    }

    private void withdraw() {
        for (int i = 0; i < attempts.size(); i++) {
            cancel(i);
        }
        tell((now, module) -> {
            module.onWithdrawn(now, ticket);
            owner.forget(this);
        });
    }

    private void ended(int number, int server, long startedAt, Status status, Report report, Answer answer) {
        if (status == Status.OK && over && answer.rest() != null) {
            answer.rest().drop();
        } else if (status == Status.OK && !over && answer.rest() != null) {
            passOn(answer);
        } else if (status == Status.OK && !over) {
            answer(200, answer.head().headers(), answer.body());
        } else if (answer != null && !over) {
            answer(
                    answer.head().status().code(),
                    null,
                    "the backend cannot use this request\n".getBytes(StandardCharsets.UTF_8));
        }
        long elapsed = owner.platform.clock().now() - startedAt;
        tell((now, module) -> {
            out--;
            module.onOutcome(now, new Outcome(ticket, number, server, status, elapsed, over, report));
            owner.forget(this);
        });
    }

    private void answer(int status, HttpHeaders headers, byte[] body) {
        finish();
        owner.figures.countEnded(of.index(), status);
        client.respond(status, headers, body);
    }

    /** The answer is the client's from its first bytes on; it is counted when it has ended. */
    private void passOn(Answer answer) {
        finish();
        owner.passing(true);
        // One that never ends is no answer: by the end of its client's time it has failed.
        ScheduledFuture<?> end = owner.platform
                .loop()
                .schedule(
                        client::abort, Math.max(0, left(owner.platform.clock().now()) + margin), TimeUnit.NANOSECONDS);
        client.respond(answer.head(), answer.body(), answer.rest(), whole -> {
            end.cancel(false);
            owner.passing(false);
            owner.figures.countEnded(of.index(), whole ? 200 : 502);
        });
    }

    private void finish() {
        over = true;
        if (backstop != null) {
            backstop.cancel(false);
        }
        message.release();
        owner.finished(this);
    }

    // ---- what the module does with it ----

    void send(int server, long timeoutNs, long withinNs) {
        long now = owner.platform.clock().now();
        long left = left(now);
        int number = attempts.size();
        out++;
        if (over || left <= 0 || number >= of.maxAttempts() || !message.isSendable()) {
            attempts.add(null);
            ended(number, server, now, Status.MOOT, null, null);
            return;
        }
        attempts.add(owner.backends.send(
                server,
                message,
                timeoutNs == 0 ? left : Math.min(timeoutNs, left),
                withinNs,
                of.profile().effect() == Effect.IDEMPOTENT,
                new Attempt.Listener() {
                    @Override
                    public void ended(Attempt a, Status status, Report report, Answer answer) {
                        Exchange.this.ended(number, server, a.began(), status, report, answer);
                    }

                    @Override
                    public boolean wanted() {
                        return Exchange.this.wanted();
                    }
                }));
    }

    /** Is its client still there? One that is found to have gone is not waited for to be heard of. */
    private boolean wanted() {
        if (!over && !client.readAndCheckConnected() && !over) {
            abandoned();
        }
        return !over;
    }

    void refuse(long retryInNs) {
        if (!over) {
            HttpHeaders headers = new DefaultHttpHeaders();
            if (retryInNs > 0) {
                headers.set("Retry-After", Message.formatSeconds(retryInNs));
            }
            answer(503, headers, "refused, try again\n".getBytes(StandardCharsets.UTF_8));
            owner.forget(this);
        }
    }

    void fail() {
        if (!over) {
            answer(502, null, "failed\n".getBytes(StandardCharsets.UTF_8));
            owner.forget(this);
        }
    }

    void cancel(int attempt) {
        if (attempt < attempts.size() && attempts.get(attempt) != null) {
            attempts.get(attempt).cancel();
        }
    }
}
