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
        void at(long now, Balancer module);
    }

    private final Platform platform;
    private final Queue<Event> news = new ArrayDeque<>();
    private final Queue<Event> others = new ArrayDeque<>();
    private Balancer module;
    private boolean delivering;

    public Events(Platform platform) {
        this.platform = platform;
    }

    /** The module that hears; before any event is delivered. */
    public void to(Balancer heir) {
        module = heir;
    }

    /** Tells what discovery said. */
    public void news(Event event) {
        add(news, event, () -> {});
    }

    public void tell(Event event) {
        tell(event, () -> {});
    }

    /** Tells of one request; a slip of the module costs that request, not all that the proxy holds. */
    public void tell(Event event, Runnable afterSlip) {
        add(others, event, afterSlip);
    }

    private void add(Queue<Event> queue, Event event, Runnable afterSlip) {
        queue.add((now, balancer) -> {
            try {
                event.at(now, balancer);
            } catch (RuntimeException e) {
                StackTraceElement[] trace = e.getStackTrace();
                platform.log().write("the module failed: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
                afterSlip.run();
            }
        });
        if (!delivering) {
            delivering = true;
            platform.loop().execute(this::deliver);
        }
    }

    private void deliver() {
        long now = platform.clock().now();
        while (!news.isEmpty() || !others.isEmpty()) {
            (news.isEmpty() ? others : news).remove().at(now, module);
        }
        delivering = false;
    }
}
