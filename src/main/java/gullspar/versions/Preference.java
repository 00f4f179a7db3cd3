package gullspar.versions;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** In which order a follower tries the control processes: by a hash of both, so that the load spreads. */
public final class Preference {
    private Preference() {}

    /** The addresses in that follower's order (rendezvous hashing: one that goes moves only its own). */
    public static List<String> order(String name, List<String> addresses) {
        List<String> order = new ArrayList<>(addresses);
        order.sort(
                Comparator.comparing((String a) -> Checksum.of(name + "\n" + a).toString())
                        .thenComparing(Comparator.naturalOrder()));
        return List.copyOf(order);
    }
}
