package gullspar.proxy.events;

import gullspar.decide.Balancer;
import gullspar.proxy.io.Platform;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * What the module is told. It hears of everything in order, on a clock that stands still for what one wake-up
 * brings, and never from inside one of its own actions. News of the backends come first: a proxy that stood
 * still finds requests and the news of a drain side by side, and which of them was read first is chance, but
 * the time since the drain was told has run on.
 */
public final class Events {
    /** One call of the module. */
    public interface Event {
        void apply(long now, Balancer module);
    }

    private final Platform platform;
    private final Queue<Event> backendUpdate = new ArrayDeque<>();
    private final Queue<Event> requestEvents = new ArrayDeque<>();
    private Balancer module;
    private boolean delivering;

    public Events(Platform platform) {
        this.platform = platform;
    }

    /** The module that hears; before any event is delivered. */
    public void setModule(Balancer balancer) {
        module = balancer;
    }

    /** Tells what discovery said. */
    public void backendUpdate(Event event) {
        add(backendUpdate, event, () -> {});
    }

    public void enqueue(Event event) {
        enqueue(event, () -> {});
    }

    /** Tells of one request; a slip of the module costs that request, not all that the proxy holds. */
    public void enqueue(Event event, Runnable onFailure) {
        add(requestEvents, event, onFailure);
    }

    private void add(Queue<Event> queue, Event event, Runnable onFailure) {
        queue.add((now, balancer) -> {
            try {
                event.apply(now, balancer);
            } catch (RuntimeException e) {
                StackTraceElement[] trace = e.getStackTrace();
                platform.log().say("the module failed: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
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
        while (!backendUpdate.isEmpty() || !requestEvents.isEmpty()) {
            (backendUpdate.isEmpty() ? requestEvents : backendUpdate).remove().apply(now, module);
        }
        delivering = false;
    }
}
