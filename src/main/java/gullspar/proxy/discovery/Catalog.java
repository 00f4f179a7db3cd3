package gullspar.proxy.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.Member;
import gullspar.decide.Balancer.State;
import gullspar.proxy.config.Config;
import gullspar.proxy.config.Fnv;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads lists in discovery's form and keeps the number by which the module knows each instance. */
final class Catalog {
    private final List<String> kinds;
    private final List<String> zones;
    /** The number of each listed backend and whose it is: no two share one. */
    private final Map<String, Integer> numbers = new HashMap<>();

    private final Map<Integer, String> owners = new HashMap<>();
    private final StartTimes starts = new StartTimes();

    Catalog(List<String> kinds, List<String> zones) {
        this.kinds = kinds;
        this.zones = zones;
    }

    int numbered() {
        return numbers.size();
    }

    /**
     * Reads one list; throws IllegalArgumentException if it is not one, and then nothing has changed.
     *
     * @param watched whether lists of discovery were heard before this one
     * @param now ns of this process's clock
     */
    ListUpdate read(JsonNode root, boolean watched, long now) {
        long generation = generation(root);
        JsonNode instances = root.path("instances");
        if (!instances.isArray()) {
            throw new IllegalArgumentException("no instances");
        }
        boolean whole = whole(root);
        List<JsonNode> entries = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (JsonNode e : instances) {
            boolean gone = state(e) == State.GONE;
            InetSocketAddress address = Config.parseAddress(e.path("hostPort").asText());
            if (e.path("instanceId").asText().isEmpty() || address == null && !gone) {
                throw new IllegalArgumentException("an instance with no id or address");
            }
            entries.add(e);
            addresses.add(address);
        }
        List<ListedBackend> list = new ArrayList<>();
        if (whole) {
            Set<String> ids = new HashSet<>(); // in a list each number kept would be looked for among all
            entries.forEach(e -> ids.add(e.path("instanceId").asText()));
            numbers.keySet().retainAll(ids);
            owners.values().retainAll(ids);
            starts.retain(ids);
        }
        starts.listed(entries.stream()
                .mapToLong(e -> e.path("startedAtMs").asLong())
                .max()
                .orElse(0));
        for (int i = 0; i < entries.size(); i++) {
            JsonNode e = entries.get(i);
            list.add(new ListedBackend(
                    new Member(
                            number(e.path("instanceId").asText()),
                            place(kinds, e.path("machineType")),
                            state(e),
                            starts.of(
                                    e.path("instanceId").asText(),
                                    e.path("startedAtMs").asLong(),
                                    watched,
                                    now),
                            e.path("cell").asInt(),
                            place(zones, e.path("zone")),
                            e.path("weight").asDouble(1)),
                    addresses.get(i)));
        }
        // Whoever is gone needs no number: where ids are ever new, those kept would grow without end.
        for (ListedBackend l : list) {
            if (l.member().state() == State.GONE) {
                String id = owners.remove(l.member().id());
                numbers.remove(id);
                starts.remove(id);
            }
        }
        return new ListUpdate(whole ? ListKind.FULL : ListKind.DELTA, generation, list);
    }

    /** The version of a list; throws IllegalArgumentException if it has none. */
    static long generation(JsonNode root) {
        JsonNode generation = root.path("generation");
        if (!generation.canConvertToLong() || !generation.isNumber()) {
            throw new IllegalArgumentException("no generation");
        }
        return generation.asLong();
    }

    /** Does a list name all that there is? */
    static boolean whole(JsonNode root) {
        return root.path("reset").asBoolean(false);
    }

    private static State state(JsonNode entry) {
        return switch (entry.path("lifecycle").asText()) {
            case "in_service" -> State.READY;
            case "terminating" -> State.DRAINING;
            case "terminated" -> State.GONE;
            default -> throw new IllegalArgumentException("lifecycle " + entry.path("lifecycle"));
        };
    }

    /** A name that the settings do not list stands apart from all that they do. */
    private static int place(List<String> names, JsonNode name) {
        int i = names.indexOf(name.asText());
        return i < 0 ? names.size() : i;
    }

    /**
     * The number of an instance. The module orders backends by it to spread the proxies' subsets, so it comes
     * from the id alone, the same at every proxy; two ids of one hash must not become one backend.
     */
    private int number(String id) {
        return numbers.computeIfAbsent(id, i -> {
            int n = (int) (Fnv.hash(i) >>> 32);
            while (owners.containsKey(n)) {
                n++;
            }
            owners.put(n, i);
            return n;
        });
    }
}
