package gullspar.journal;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The histories of all requests in a journal, in the order of their first entries. Where records are lost,
 * each request that was open may have had one among them, so none of these is reported as never sent.
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

    /** Marks that records were lost at this point. */
    public void markRecordsLost() {
        open.values().forEach(RequestHistory::markRecordsLost);
    }

    public Collection<RequestHistory> all() {
        return all.values();
    }

    /** Null if there is no entry of the request. */
    public RequestHistory find(Entry.Request request) {
        return all.get(request);
    }
}
