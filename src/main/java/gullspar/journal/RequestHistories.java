package gullspar.journal;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The stories of all requests that a journal's entries tell of, in the order in which they were taken. Where
 * records are lost every request that was open may have had one there: none of them is called never sent.
 */
public final class RequestHistories {
    private final Map<Entry.Request, RequestHistory> all = new LinkedHashMap<>();
    private final Map<Entry.Request, RequestHistory> open = new LinkedHashMap<>();

    public void add(Entry e) {
        RequestHistory history = all.computeIfAbsent(e.request(), RequestHistory::new);
        history.add(e);
        if (history.isClosed()) {
            open.remove(e.request());
        } else {
            open.put(e.request(), history);
        }
    }

    /** Records were lost at this point. */
    public void markRecordsLost() {
        open.values().forEach(RequestHistory::markRecordsLost);
    }

    public Collection<RequestHistory> all() {
        return all.values();
    }

    /** Null if nothing is known of it. */
    public RequestHistory find(Entry.Request request) {
        return all.get(request);
    }
}
