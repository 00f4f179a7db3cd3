package gullspar.route;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The changes of a route to header fields. Fields in remove are removed, whatever their case. Fields in set get
 * that value only, and are omitted if it is empty. Fields in add are added to others of the same name, as are
 * those in addOk, but only with the statuses 200, 201, 204, 206, 301 to 304, 307 and 308.
 */
public record HeaderChanges(
        Map<String, Template> set, Map<String, Template> add, Map<String, Template> addOk, List<String> remove) {
    /** No changes. */
    public static final HeaderChanges NONE = new HeaderChanges(Map.of(), Map.of(), Map.of(), List.of());

    private static final Set<Integer> ADD_OK_STATUSES = Set.of(200, 201, 204, 206, 301, 302, 303, 304, 307, 308);

    public HeaderChanges {
        set = new LinkedHashMap<>(set); // keeps the order of the file
        add = new LinkedHashMap<>(add);
        addOk = new LinkedHashMap<>(addOk);
        remove = List.copyOf(remove);
    }

    /** Returns whether the fields in addOk are added to a response with that status. */
    public static boolean isAddOkStatus(int status) {
        return ADD_OK_STATUSES.contains(status);
    }
}
