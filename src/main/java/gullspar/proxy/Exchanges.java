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
import gullspar.proxy.operator.Figures;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;

/** The requests that a proxy has taken and not yet done with, by the module's ticket and by client. */
final class Exchanges implements Frontend.Taker {
    final Platform platform;
    final Events events;
    final Backends backends;
    final Figures figures;
    private final Map<Integer, Exchange> byTicket = new HashMap<>();
    /** Those that still want their answer; only looked up, never walked. */
    private final Map<Client, Exchange> byClient = new IdentityHashMap<>();

    private int lastTicket;
    private int streaming;
    /** No request is answered later, whatever its client allows. */
    private long latestResponseNs = Long.MAX_VALUE;

    Exchanges(Platform platform, Events events, Backends backends, Figures figures) {
        this.platform = platform;
        this.events = events;
        this.backends = backends;
        this.figures = figures;
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
    public void onClientLeft(Client client) {
        Exchange exchange = byClient.get(client);
        if (exchange != null) {
            exchange.onClientDisconnected();
        }
    }

    /** All requests are answered by then, those taken before and those that still come. */
    void capDeadlines(long limitNs) {
        latestResponseNs = limitNs;
        byTicket.values().forEach(x -> x.capDeadline(limitNs));
    }

    /** When a request that would be answered by that time must be. */
    long capDeadline(long deadlineNs) {
        return Math.min(deadlineNs, latestResponseNs);
    }

    /** Requests that still want their answer, or the rest of it. */
    int openRequests() {
        return byClient.size() + streaming;
    }

    /** An answer has begun to be passed on, or has ended. */
    void streaming(boolean isStart) {
        streaming += isStart ? 1 : -1;
    }

    /** It has its final answer, or nobody to give it to. */
    void onFinished(Exchange exchange) {
        byClient.remove(exchange.client);
    }

    void forgetIfComplete(Exchange exchange) {
        if (exchange.canForget()) {
            byTicket.remove(exchange.ticket);
        }
    }

    // ---- the module's actions, by ticket ----

    /** withinNs: it goes out within so long or not at all. */
    void send(int ticket, int server, long timeoutNs, long withinNs) {
        Exchange exchange = byTicket.get(ticket);
        if (exchange != null) {
            exchange.send(server, timeoutNs, withinNs);
            return;
        }
        platform.log().say("an attempt for ticket " + ticket + ", which is over");
        events.tell((now, module) -> module.onOutcome(now, new Outcome(ticket, 0, server, Status.MOOT, 0, true, null)));
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
