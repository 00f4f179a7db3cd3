package gullspar.proxy;

import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.backend.Backends;
import gullspar.proxy.client.Client;
import gullspar.proxy.client.Frontend;
import gullspar.proxy.client.RequestParameters;
import gullspar.proxy.events.Events;
import gullspar.proxy.http.Message;
import gullspar.proxy.io.Platform;
import gullspar.proxy.operator.RequestCounters;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;

/** The open requests of a proxy, by the module's ticket and by client. */
final class Exchanges implements Frontend.RequestHandler {
    final Platform platform;
    final Events events;
    final Backends backends;
    final RequestCounters counters;
    private final Map<Integer, Exchange> byTicket = new HashMap<>();
    /** Requests without a final response; never iterated over, as the order of an identity map varies. */
    private final Map<Client, Exchange> byClient = new IdentityHashMap<>();

    private int lastTicket;
    private int streamingCount;
    /** Time by which all requests have to be answered, whatever timeouts their clients set. */
    private long latestResponseNs = Long.MAX_VALUE;

    Exchanges(Platform platform, Events events, Backends backends, RequestCounters counters) {
        this.platform = platform;
        this.events = events;
        this.backends = backends;
        this.counters = counters;
    }

    @Override
    public void onRequest(Client client, Message message, RequestParameters parameters, long receivedAtNs) {
        do {
            lastTicket++;
        } while (lastTicket == 0 || byTicket.containsKey(lastTicket));
        Exchange exchange = new Exchange(this, lastTicket, client, message, parameters, receivedAtNs);
        byTicket.put(exchange.ticket, exchange);
        byClient.put(client, exchange);
    }

    @Override
    public void onRequestComplete(Client client, long completedAtNs) {
        Exchange exchange = byClient.get(client);
        if (exchange != null) {
            exchange.onRequestComplete(completedAtNs);
        }
    }

    @Override
    public void onRequestIncomplete(Client client, long receivedUntilNs) {
        Exchange exchange = byClient.get(client);
        if (exchange != null) {
            exchange.onRequestIncomplete(receivedUntilNs);
        }
    }

    @Override
    public void onClientDisconnected(Client client) {
        Exchange exchange = byClient.get(client);
        if (exchange != null) {
            exchange.onClientDisconnected();
        }
    }

    /** Limits the deadline of all open and future requests. */
    void capDeadlines(long limitNs) {
        latestResponseNs = limitNs;
        byTicket.values().forEach(exchange -> exchange.capDeadline(limitNs));
    }

    /** Returns the deadline, or the common limit if that is earlier. */
    long capDeadline(long deadlineNs) {
        return Math.min(deadlineNs, latestResponseNs);
    }

    /** Number of requests whose response has not been sent, or not completely. */
    int openRequests() {
        return byClient.size() + streamingCount;
    }

    /** Counts a streamed response that starts or ends. */
    void countStreaming(boolean isStart) {
        streamingCount += isStart ? 1 : -1;
    }

    /** The request has its final response, or its client has disconnected. */
    void onFinished(Exchange exchange) {
        byClient.remove(exchange.client);
    }

    void forgetIfComplete(Exchange exchange) {
        if (exchange.canForget()) {
            byTicket.remove(exchange.ticket);
        }
    }

    // ---- actions of the module, by ticket ----

    /**
     * Sends an attempt of a request.
     *
     * @param timeoutNs time-out of the attempt; 0 for the time left of the request
     * @param sendWithinNs the attempt is dropped if it cannot be sent within this time
     */
    void send(int ticket, int server, long timeoutNs, long sendWithinNs) {
        Exchange exchange = byTicket.get(ticket);
        if (exchange != null) {
            exchange.send(server, timeoutNs, sendWithinNs);
            return;
        }
        platform.log().write("attempt dropped: ticket " + ticket + " is unknown or finished");
        events.enqueue(
                (now, module) -> module.onOutcome(now, new Outcome(ticket, 0, server, Status.MOOT, 0, true, null)));
    }

    void refuse(int ticket, long retryInNs) {
        Exchange exchange = byTicket.get(ticket);
        if (exchange != null) {
            exchange.refuse(retryInNs);
        }
    }

    void fail(int ticket) {
        Exchange exchange = byTicket.get(ticket);
        if (exchange != null) {
            exchange.fail();
        }
    }

    void cancel(int ticket, int attempt) {
        Exchange exchange = byTicket.get(ticket);
        if (exchange != null) {
            exchange.cancel(attempt);
        }
    }
}
