package gullspar.journal;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The stories of all requests that a journal's entries tell of, in the order in which they were taken. Where
 * records are lost every request that was open may have had one there: none of them is called never sent.
 */
public final class Stories {
    private final Map<Entry.Request, Story> all = new LinkedHashMap<>();
    private final Map<Entry.Request, Story> open = new LinkedHashMap<>();

    public void add(Entry e) {
        Story s = all.computeIfAbsent(e.request(), Story::new);
        s.add(e);
        if (s.closed()) {
            open.remove(e.request());
        } else {
            open.put(e.request(), s);
        }
    }

    /** Records were lost at this point. */
    public void lost() {
        open.values().forEach(Story::doubt);
    }

    public Collection<Story> all() {
        return all.values();
    }

    /** Null if nothing is known of it. */
    public Story of(Entry.Request request) {
        return all.get(request);
    }
}
