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

/** The requests that a proxy has taken and not yet done with, by the module's ticket and by client. */
final class Exchanges implements Frontend.RequestHandler {
    final Platform platform;
    final Events events;
    final Backends backends;
    final RequestCounters figures;
    private final Map<Integer, Exchange> byTicket = new HashMap<>();
    /** Those that still want their answer; only looked up, never walked. */
    private final Map<Client, Exchange> byClient = new IdentityHashMap<>();

    private int tickets;
    private int passing;
    /** No request is answered later, whatever its client allows. */
    private long lastAnswer = Long.MAX_VALUE;

    Exchanges(Platform platform, Events events, Backends backends, RequestCounters figures) {
        this.platform = platform;
        this.events = events;
        this.backends = backends;
        this.figures = figures;
    }

    @Override
    public void onRequest(Client client, Message message, RequestParameters asked, long at) {
        do {
            tickets++;
        } while (tickets == 0 || byTicket.containsKey(tickets));
        Exchange x = new Exchange(this, tickets, client, message, asked, at);
        byTicket.put(x.ticket, x);
        byClient.put(client, x);
    }

    @Override
    public void onRequestComplete(Client client, long at) {
        Exchange x = byClient.get(client);
        if (x != null) {
            x.requestComplete(at);
        }
    }

    @Override
    public void onClientDisconnected(Client client) {
        Exchange x = byClient.get(client);
        if (x != null) {
            x.abandoned();
        }
    }

    /** All requests are answered by then, those taken before and those that still come. */
    void endBy(long time) {
        lastAnswer = time;
        byTicket.values().forEach(x -> x.endBy(time));
    }

    /** When a request that would be answered by that time must be. */
    long byThen(long deadline) {
        return Math.min(deadline, lastAnswer);
    }

    /** Requests that still want their answer, or the rest of it. */
    int open() {
        return byClient.size() + passing;
    }

    /** An answer has begun to be passed on, or has ended. */
    void passing(boolean begins) {
        passing += begins ? 1 : -1;
    }

    /** It has its final answer, or nobody to give it to. */
    void finished(Exchange x) {
        byClient.remove(x.client);
    }

    void forget(Exchange x) {
        if (x.done()) {
            byTicket.remove(x.ticket);
        }
    }

    // ---- the module's actions, by ticket ----

    /** withinNs: it goes out within so long or not at all. */
    void send(int ticket, int server, long timeoutNs, long withinNs) {
        Exchange x = byTicket.get(ticket);
        if (x != null) {
            x.send(server, timeoutNs, withinNs);
            return;
        }
        platform.log().say("an attempt for ticket " + ticket + ", which is over");
        events.enqueue(
                (now, module) -> module.onOutcome(now, new Outcome(ticket, 0, server, Status.MOOT, 0, true, null)));
    }

    void refuse(int ticket, long retryInNs) {
        Exchange x = byTicket.get(ticket);
        if (x != null) {
            x.refuse(retryInNs);
        }
    }

    void fail(int ticket) {
        Exchange x = byTicket.get(ticket);
        if (x != null) {
            x.fail();
        }
    }

    void cancel(int ticket, int attempt) {
        Exchange x = byTicket.get(ticket);
        if (x != null) {
            x.cancel(attempt);
        }
    }
}
