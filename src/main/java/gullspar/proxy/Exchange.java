package gullspar.proxy;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.backend.Attempt;
import gullspar.proxy.backend.BackendResponse;
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
import java.util.Objects;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * One accepted request, from its arrival until its last attempt has ended. It gets exactly one final response, unless
 * its client disconnects first. After that no attempt is sent, whatever the module requests.
 */
final class Exchange {
    /**
     * The module gets the client's timeout less this margin: that timeout includes the transfer of the request and of
     * the response.
     */
    private static final long RESPONSE_MARGIN_NS = 10_000_000L;
    /** If the module has not ended the request this long before the client's timeout, the backstop timer does. */
    private static final long BACKSTOP_MARGIN_NS = 5_000_000L;

    final int ticket;
    final Client client;
    private final Exchanges exchanges;
    private final Message message;
    private final RequestClass requestClass;
    private final long marginNs;
    private final long timeoutNs;
    /** The module's deadline; MAX_VALUE while the request is being received, as the timeout runs from its last byte. */
    private long deadlineNs = Long.MAX_VALUE;
    /** By attempt number; null for attempts that were not sent. */
    private final List<Attempt> attempts = new ArrayList<>(2);

    private ScheduledFuture<?> backstopTimer;
    private int openAttempts;
    private boolean isFinished;

    Exchange(
            Exchanges exchanges,
            int ticket,
            Client client,
            Message message,
            RequestParameters parameters,
            long receivedAtNs) {
        this.exchanges = exchanges;
        this.ticket = ticket;
        this.client = client;
        this.message = message;
        this.requestClass = parameters.requestClass();
        this.timeoutNs = parameters.timeoutNs();
        this.marginNs = Math.min(RESPONSE_MARGIN_NS, timeoutNs / 4);
        if (message.bodyStream() == null || !message.bodyStream().isReceiving()) {
            onRequestComplete(receivedAtNs);
        }
        boolean isComplete = deadlineNs != Long.MAX_VALUE;
        enqueue((now, module) -> module.onRequest(
                now,
                new Request(
                        ticket,
                        requestClass.index(),
                        parameters.tenant(),
                        parameters.key(),
                        Math.max(0, timeLeftNs(now)),
                        parameters.workHintNs(),
                        parameters.isRepeat(),
                        isComplete ? Math.max(0, now - receivedAtNs) : 0)));
    }

    /** The last byte of the request was received. */
    void onRequestComplete(long completedAtNs) {
        if (isFinished || backstopTimer != null) {
            return;
        }
        deadlineNs = exchanges.capDeadline(completedAtNs + timeoutNs) - marginNs;
        startBackstop();
    }

    /**
     * The request is still being received, as fast as its backend reads it. Its last byte may have been waiting since
     * receivedUntilNs, and the client's timeout runs from there: attempts that are not sent by then are abandoned.
     */
    void onRequestIncomplete(long receivedUntilNs) {
        boolean isOverdue = exchanges.platform.clock().now() - receivedUntilNs >= timeoutNs - marginNs;
        if (isOverdue && !isFinished && backstopTimer == null) {
            attempts.stream().filter(Objects::nonNull).forEach(Attempt::failUnread);
        }
    }

    private void startBackstop() {
        long fireAtNs = deadlineNs + marginNs - Math.min(BACKSTOP_MARGIN_NS, marginNs / 2);
        long delayNs = Math.max(0, fireAtNs - exchanges.platform.clock().now());
        backstopTimer = exchanges.platform.loop().schedule(this::onBackstop, delayNs, TimeUnit.NANOSECONDS);
    }

    /** Limits the deadline, even if the client would wait longer. */
    void capDeadline(long limitNs) {
        if (isFinished || backstopTimer == null || deadlineNs + marginNs <= limitNs) {
            return;
        }
        deadlineNs = limitNs - marginNs;
        backstopTimer.cancel(false);
        startBackstop();
    }

    /** Time left for an attempt, from now or, while the request is being received, from its last byte. */
    private long timeLeftNs(long nowNs) {
        return deadlineNs == Long.MAX_VALUE ? timeoutNs - marginNs : deadlineNs - nowNs;
    }

    private void enqueue(Events.Event event) {
        exchanges.events.enqueue(event, this::fail);
    }

    /** The request has finished and has no open attempt. */
    boolean canForget() {
        return isFinished && openAttempts == 0;
    }

    // ---- events of the request ----

    /** Responds to the client if the module has not ended the request in time and no response is coming. */
    private void onBackstop() {
        new ArrayList<>(attempts).stream().filter(Objects::nonNull).forEach(Attempt::endWithBegunResponse);
        if (!isFinished) {
            exchanges.platform.log().write("module did not end the request in time, responding 504: ticket " + ticket);
            respond(504, null, "no answer in time\n".getBytes(StandardCharsets.UTF_8));
            withdraw();
        }
    }

    /** The client has disconnected. */
    void onClientDisconnected() {
        finish();
        withdraw();
    }

    private void withdraw() {
        for (int i = 0; i < attempts.size(); i++) {
            cancel(i);
        }
        enqueue((now, module) -> {
            module.onClientDisconnected(now, ticket);
            exchanges.forgetIfComplete(this);
        });
    }

    private void onAttemptEnded(
            int attemptNumber, int server, long elapsedNs, Status status, Report report, BackendResponse response) {
        if (status == Status.OK && isFinished && response.rest() != null) {
            response.rest().drop();
        } else if (status == Status.OK && !isFinished && response.rest() != null) {
            streamResponse(server, response);
        } else if (status == Status.OK && !isFinished) {
            respond(200, response.head().headers(), response.body());
        } else if (response != null && !isFinished) {
            respond(
                    response.head().status().code(),
                    null,
                    "the backend cannot use this request\n".getBytes(StandardCharsets.UTF_8));
        }
        enqueue((now, module) -> {
            openAttempts--;
            module.onOutcome(now, new Outcome(ticket, attemptNumber, server, status, elapsedNs, isFinished, report));
            exchanges.forgetIfComplete(this);
        });
    }

    private void respond(int status, HttpHeaders headers, byte[] body) {
        finish();
        exchanges.counters.countEnded(requestClass.index(), status);
        client.respond(status, headers, body);
    }

    /**
     * Streams the response to the client as it is received; it is counted once it has ended. No limit on its time: only
     * lack of progress, its size or its client's disconnect ends it.
     */
    private void streamResponse(int server, BackendResponse response) {
        finish();
        exchanges.countStreaming(true);
        enqueue((now, module) -> module.onResponseOpened(now, ticket, server));
        client.respond(response.head(), response.body(), response.rest(), isComplete -> {
            exchanges.countStreaming(false);
            enqueue((now, module) -> module.onResponseClosed(now, ticket));
            exchanges.counters.countEnded(requestClass.index(), isComplete ? 200 : 502);
        });
    }

    private void finish() {
        isFinished = true;
        if (backstopTimer != null) {
            backstopTimer.cancel(false);
        }
        message.release();
        exchanges.onFinished(this);
    }

    // ---- actions of the module ----

    void send(int server, long timeoutNs, long sendWithinNs) {
        long nowNs = exchanges.platform.clock().now();
        long remainingNs = timeLeftNs(nowNs);
        int attemptNumber = attempts.size();
        openAttempts++;
        if (isFinished || remainingNs <= 0 || attemptNumber >= requestClass.maxAttempts() || !message.isSendable()) {
            attempts.add(null);
            onAttemptEnded(attemptNumber, server, 0, Status.MOOT, null, null);
            return;
        }
        attempts.add(exchanges.backends.send(
                server,
                message,
                timeoutNs == 0 ? remainingNs : Math.min(timeoutNs, remainingNs),
                sendWithinNs,
                requestClass.profile().effect() == Effect.IDEMPOTENT,
                new Attempt.Listener() {
                    @Override
                    public void onEnd(Attempt a, Status status, Report report, BackendResponse response) {
                        boolean isStreamed = response != null && response.rest() != null;
                        Exchange.this.onAttemptEnded(
                                attemptNumber, server, a.elapsedNs(isStreamed), status, report, response);
                    }

                    @Override
                    public boolean isNeeded() {
                        return Exchange.this.checkNeeded();
                    }
                }));
    }

    /** Checks the connection, so that a client that has just disconnected is noticed before an attempt is sent. */
    private boolean checkNeeded() {
        if (!isFinished && !client.readAndCheckConnected() && !isFinished) {
            onClientDisconnected();
        }
        return !isFinished && !client.hasUnreadData();
    }

    void refuse(long retryInNs) {
        if (!isFinished) {
            HttpHeaders headers = new DefaultHttpHeaders();
            if (retryInNs > 0) {
                headers.set("Retry-After", Message.formatSeconds(retryInNs));
            }
            respond(503, headers, "refused, try again\n".getBytes(StandardCharsets.UTF_8));
            exchanges.forgetIfComplete(this);
        }
    }

    void fail() {
        if (!isFinished) {
            respond(502, null, "failed\n".getBytes(StandardCharsets.UTF_8));
            exchanges.forgetIfComplete(this);
        }
    }

    void cancel(int attemptNumber) {
        if (attemptNumber < attempts.size() && attempts.get(attemptNumber) != null) {
            attempts.get(attemptNumber).cancel();
        }
    }
}
