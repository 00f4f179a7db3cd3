package gullspar.rehearse.stage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A proxy's view of the fleet, as reported at {@code /_fleet}.
 *
 * @param proxy the process that was polled: a proxy's name, or that of its twin
 * @param sentBytes the bytes in datagrams sent since its start
 * @param objections how often it had to refute a statement that it is dead or suspected
 */
public record FleetSnapshot(
        long at,
        String proxy,
        String life,
        boolean cutOff,
        double upS,
        long sentBytes,
        long objections,
        List<SeenMember> members) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MIN_INTERVAL_MS = 250;
    /** Up to this many proxies are polled at the minimum interval; responses grow with the fleet. */
    private static final int SMALL_FLEET = 25;

    /** The interval at which each proxy of a fleet of that size is polled. */
    public static long intervalMs(int proxies) {
        return MIN_INTERVAL_MS * Math.max(SMALL_FLEET, proxies) / SMALL_FLEET;
    }

    /** One process of another proxy, as the polled one sees it. */
    public record SeenMember(String name, String life, String status, int incarnation, boolean twin) {
        /** Whether it is considered alive or possibly alive. */
        public boolean isPresent() {
            return status.equals("alive") || status.equals("suspected");
        }
    }

    /** Parses the response of a process; an IOException if it is not JSON. */
    public static FleetSnapshot parse(long at, String process, String response) throws IOException {
        JsonNode n = JSON.readTree(response);
        List<SeenMember> seen = new ArrayList<>();
        double up = 0;
        for (JsonNode m : n.path("members")) {
            if (m.path("self").asBoolean()) {
                up = m.path("up_s").asDouble();
            } else {
                seen.add(new SeenMember(
                        m.path("name").asText(),
                        m.path("life").asText(),
                        m.path("status").asText(),
                        m.path("incarnation").asInt(),
                        m.path("twin").asBoolean()));
            }
        }
        return new FleetSnapshot(
                at,
                process,
                n.path("life").asText(),
                n.path("cut_off").asBoolean(),
                up,
                n.path("datagrams").path("sent_bytes").asLong(),
                n.path("objections").asLong(),
                List.copyOf(seen));
    }
}
