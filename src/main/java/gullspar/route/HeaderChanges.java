package gullspar.route;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a route does to the headers of a head: those in remove leave, whatever their case; those in set have
 * that value alone, and are left out where it is empty.
 */
public record HeaderChanges(Map<String, Template> set, List<String> remove) {
    /** Leaves all as it is. */
    public static final HeaderChanges NONE = new HeaderChanges(Map.of(), List.of());

    public HeaderChanges {
        set = new LinkedHashMap<>(set); // in the order in which they were written
        remove = List.copyOf(remove);
    }
}
