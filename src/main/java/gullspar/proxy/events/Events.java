package gullspar.proxy.events;

import gullspar.decide.Balancer;
import gullspar.proxy.io.Errors;
import gullspar.proxy.io.NextTurn;
import gullspar.proxy.io.Platform;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Queues events for the decision module. It gets them in order, with the same time for all events of one batch, and
 * never re-entrantly from one of its own actions. Backend updates are delivered first: after a stall of the loop,
 * requests and the update that starts a drain are read together in any order, and a request must not go to a backend
 * that has been draining for the length of the stall.
 */
public final class Events {
    /** A call to the module. */
    public interface Event {
        void apply(long now, Balancer module);
    }

    /** Delivery is continued in the next turn of the loop after this time, so that sockets are read in between. */
    static final long MAX_DELIVERY_NS = 20_000_000L;

    private final Platform platform;
    private final Queue<Event> backendUpdates = new ArrayDeque<>();
    private final Queue<Event> requestEvents = new ArrayDeque<>();
    private Balancer module;
    private boolean delivering;

    public Events(Platform platform) {
        this.platform = platform;
    }

    /** Sets the module; to be called before any event is delivered. */
    public void setModule(Balancer balancer) {
        module = balancer;
    }

    /** Queues an update from discovery. */
    public void enqueueBackendUpdate(Event event) {
        add(backendUpdates, event, () -> {});
    }

    /** Queues an event of no particular request. */
    public void enqueue(Event event) {
        enqueue(event, () -> {});
    }

    /**
     * Queues an event of one request. If the module throws an exception, onFailure ends that request; other events are
     * delivered as usual.
     */
    public void enqueue(Event event, Runnable onFailure) {
        add(requestEvents, event, onFailure);
    }

    private void add(Queue<Event> queue, Event event, Runnable onFailure) {
        queue.add((now, balancer) -> {
            try {
                event.apply(now, balancer);
            } catch (Throwable e) {
                Errors.rethrowIfFatal(e);
                Errors.report(platform.log(), "the decision module failed", e);
                onFailure.run();
            }
        });
        if (!delivering) {
            delivering = true;
            platform.loop().execute(this::deliver);
        }
    }

    private void deliver() {
        long now = platform.clock().now();
        long endNs = now + MAX_DELIVERY_NS;
        try {
            do {
                (backendUpdates.isEmpty() ? requestEvents : backendUpdates)
                        .remove()
                        .apply(now, module);
            } while (hasEvents() && platform.clock().now() < endNs);
        } finally {
            delivering = hasEvents(); // the time is over, or an error ended the loop above
            if (delivering) {
                NextTurn.run(platform.loop(), this::deliver);
            }
        }
    }

    private boolean hasEvents() {
        return !backendUpdates.isEmpty() || !requestEvents.isEmpty();
    }
}
