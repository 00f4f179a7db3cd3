package gullspar.route;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a route does to the headers of a head: those in remove leave, whatever their case; those in set have
 * that value alone, and are left out where it is empty; those in add come beside others of the name, and
 * those
 * in addOk too, but only with the statuses 200, 201, 204, 206, 301 to 304, 307 and 308.
 */
public record HeaderChanges(
        Map<String, Template> set, Map<String, Template> add, Map<String, Template> addOk, List<String> remove) {
    /** Leaves all as it is. */
    public static final HeaderChanges NONE = new HeaderChanges(Map.of(), Map.of(), Map.of(), List.of());

    private static final Set<Integer> ADD_OK_STATUSES = Set.of(200, 201, 204, 206, 301, 302, 303, 304, 307, 308);

    public HeaderChanges {
        set = new LinkedHashMap<>(set); // in the order in which they were written
        add = new LinkedHashMap<>(add);
        addOk = new LinkedHashMap<>(addOk);
        remove = List.copyOf(remove);
    }

    /** Does what is in addOk come with that status? */
    public static boolean isAddOkStatus(int status) {
        return ADD_OK_STATUSES.contains(status);
    }
}
