package gullspar.proxy.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.ListedServer;
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

/** Parses lists from discovery and assigns to each instance the number by which the module identifies it. */
final class Catalog {
    private final List<String> kinds;
    private final List<String> zones;
    /** The unique number of each listed instance. */
    private final Map<String, Integer> numbersById = new HashMap<>();
    /** The reverse of numbersById. */
    private final Map<Integer, String> idsByNumber = new HashMap<>();

    private final StartTimes startTimes = new StartTimes();

    Catalog(List<String> kinds, List<String> zones) {
        this.kinds = kinds;
        this.zones = zones;
    }

    int backendCount() {
        return numbersById.size();
    }

    /**
     * Parses one list; throws IllegalArgumentException, without any change of state, if it is invalid.
     *
     * @param hadList whether a list was received from discovery before this one
     * @param nowNs current time of the proxy's clock
     */
    ListUpdate read(JsonNode root, boolean hadList, long nowNs) {
        long generation = generation(root);
        JsonNode instances = root.path("instances");
        if (!instances.isArray()) {
            throw new IllegalArgumentException("'instances' is missing or not an array");
        }
        boolean isFull = isFull(root);
        List<JsonNode> entries = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (JsonNode entry : instances) {
            boolean isGone = state(entry) == State.GONE;
            InetSocketAddress address =
                    Config.parseAddress(entry.path("hostPort").asText());
            if (entry.path("instanceId").asText().isEmpty() || address == null && !isGone) {
                throw new IllegalArgumentException("instance without an id or a valid address");
            }
            entries.add(entry);
            addresses.add(address);
        }
        List<ListedBackend> list = new ArrayList<>();
        if (isFull) {
            Set<String> ids = new HashSet<>(); // a set, as retainAll looks up each known id in it
            entries.forEach(entry -> ids.add(entry.path("instanceId").asText()));
            numbersById.keySet().retainAll(ids);
            idsByNumber.values().retainAll(ids);
            startTimes.retain(ids);
        }
        startTimes.recordNewestStart(entries.stream()
                .mapToLong(entry -> entry.path("startedAtMs").asLong())
                .max()
                .orElse(0));
        for (int i = 0; i < entries.size(); i++) {
            JsonNode entry = entries.get(i);
            list.add(new ListedBackend(
                    new ListedServer(
                            numberOf(entry.path("instanceId").asText()),
                            indexOf(kinds, entry.path("machineType")),
                            state(entry),
                            startTimes.startTimeNs(
                                    entry.path("instanceId").asText(),
                                    entry.path("startedAtMs").asLong(),
                                    hadList,
                                    nowNs),
                            entry.path("cell").asInt(),
                            indexOf(zones, entry.path("zone")),
                            entry.path("weight").asDouble(1)),
                    addresses.get(i)));
        }
        // Terminated instances release their numbers; otherwise the maps would grow without limit.
        for (ListedBackend backend : list) {
            if (backend.server().state() == State.GONE) {
                String id = idsByNumber.remove(backend.server().id());
                numbersById.remove(id);
                startTimes.remove(id);
            }
        }
        return new ListUpdate(isFull ? ListKind.FULL : ListKind.DELTA, generation, list);
    }

    /** Returns the version of a list; throws IllegalArgumentException if it has none. */
    static long generation(JsonNode root) {
        JsonNode generation = root.path("generation");
        if (!generation.canConvertToLong() || !generation.isNumber()) {
            throw new IllegalArgumentException("'generation' is missing or not an integer");
        }
        return generation.asLong();
    }

    /** Whether a list names all instances, rather than changes. */
    static boolean isFull(JsonNode root) {
        return root.path("reset").asBoolean(false);
    }

    private static State state(JsonNode entry) {
        return switch (entry.path("lifecycle").asText()) {
            case "in_service" -> State.READY;
            case "terminating" -> State.DRAINING;
            case "terminated" -> State.GONE;
            default -> throw new IllegalArgumentException("unknown lifecycle: " + entry.path("lifecycle"));
        };
    }

    /** Index of a name; names that the settings do not list share one index after all others. */
    private static int indexOf(List<String> names, JsonNode name) {
        int i = names.indexOf(name.asText());
        return i < 0 ? names.size() : i;
    }

    /**
     * Returns the number of an instance. The module orders backends by it to spread the proxies' subsets, so it
     * is derived from the id alone and equal at every proxy; ids with the same hash get different numbers.
     */
    private int numberOf(String id) {
        return numbersById.computeIfAbsent(id, i -> {
            int n = (int) (Fnv.hash(i) >>> 32);
            while (idsByNumber.containsKey(n)) {
                n++;
            }
            idsByNumber.put(n, i);
            return n;
        });
    }
}
