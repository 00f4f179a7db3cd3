package gullspar.rehearse.stage;

import gullspar.rehearse.script.Script.RequestClass;
import java.util.ArrayList;
import java.util.List;

/**
 * An operation that a client needs executed once, with its first request and all retries. Times are in ns on the
 * day's clock.
 */
public final class Order {
    public final int number;
    public final RequestClass requestClass;
    /** The key of the data that it concerns; 0 for none. */
    public final int key;
    /** Its processing time on one core of speed 1. */
    public final double workNs;

    public final String site;
    public final long at;
    public final List<ClientRequest> requests = new ArrayList<>(1);
    /** The number of executions that took effect, over all requests. */
    public int effects;

    Order(int number, RequestClass requestClass, int key, double workNs, String site, long at) {
        this.number = number;
        this.requestClass = requestClass;
        this.key = key;
        this.workNs = workNs;
        this.site = site;
        this.at = at;
    }

    /** The end of the first request that was served; MAX_VALUE if there was none. */
    public long servedAt() {
        long served = Long.MAX_VALUE;
        for (ClientRequest request : requests) {
            if (request.status == 200) {
                served = Math.min(served, request.endedAt);
            }
        }
        return served;
    }

    /** Whether it was served within the latency target of its class. */
    public boolean isInTime() {
        return servedAt() <= at + (long) (requestClass.latencyTargetMs() * 1e6);
    }

    /** The key by which nodes detect repeats of it. */
    public String idempotencyKey() {
        return "order-" + number;
    }
}
