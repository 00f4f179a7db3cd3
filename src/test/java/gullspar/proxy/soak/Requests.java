package gullspar.proxy.soak;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** The requests that all backends of a run have received. Thread-safe. */
final class Requests {
    private final Set<String> received = ConcurrentHashMap.newKeySet();
    private final Set<String> executed = ConcurrentHashMap.newKeySet();
    private final Consumer<String> onViolation;

    /** onViolation gets a line for each request that ran twice though it must not. */
    Requests(Consumer<String> onViolation) {
        this.onViolation = onViolation;
    }

    /** The head of a request was read. */
    void onHead(String id) {
        received.add(id);
    }

    /** The last byte of a request was read, so that it runs. */
    void onExecuted(String id, String startLine) {
        boolean isFirst = executed.add(id);
        if (!isFirst && startLine.startsWith(UsualClient.UNSAFE_START)) {
            onViolation.accept("ran twice: " + id + " " + startLine);
        }
    }

    /** Whether the head of a request was read. */
    boolean isReceived(String id) {
        return received.contains(id);
    }
}
