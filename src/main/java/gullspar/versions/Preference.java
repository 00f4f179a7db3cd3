package gullspar.versions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The order in which a follower tries the control processes, by a hash of its name and their addresses. */
public final class Preference {
    private Preference() {}

    /** Orders addresses by rendezvous hashing: removing one moves only the followers that had it first. */
    public static List<String> order(String name, List<String> addresses) {
        List<String> order = new ArrayList<>(addresses);
        order.sort(
                Comparator.comparing((String a) -> Checksum.of(name + "\n" + a).toString())
                        .thenComparing(Comparator.naturalOrder()));
        return List.copyOf(order);
    }
}
