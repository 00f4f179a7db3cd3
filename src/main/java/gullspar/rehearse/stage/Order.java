package gullspar.rehearse.stage;

import gullspar.rehearse.script.Script.RequestClass;
import java.util.ArrayList;
import java.util.List;

/** What a client wants done once: its first try and all its retries. Times in ns on the day's clock. */
public final class Order {
    public final int number;
    public final RequestClass requestClass;
    /** What it is about; 0 for nothing. */
    public final int key;
    /** What it costs on one core of speed 1. */
    public final double workNs;

    public final String site;
    public final long at;
    public final List<ClientRequest> requests = new ArrayList<>(1);
    /** Executions that took effect, of all tries. */
    public int effects;

    Order(int number, RequestClass kind, int key, double workNs, String site, long at) {
        this.number = number;
        this.requestClass = kind;
        this.key = key;
        this.workNs = workNs;
        this.site = site;
        this.at = at;
    }

    /** The time of an answer that came while it was wanted; MAX_VALUE if there was none. */
    public long servedAt() {
        long served = Long.MAX_VALUE;
        for (ClientRequest t : requests) {
            if (t.status == 200) {
                served = Math.min(served, t.endedAt);
            }
        }
        return served;
    }

    /** Was it served within its wanted time? */
    public boolean isInTime() {
        return servedAt() <= at + (long) (requestClass.promiseMs() * 1e6);
    }

    /** The name under which nodes know repeats of it. */
    public String idempotencyKey() {
        return "order-" + number;
    }
}
