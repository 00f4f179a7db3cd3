package gullspar.rehearse.stage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * How a proxy said that it sees the fleet, as it answers operators at {@code /_fleet}.
 *
 * @param proxy the process that was asked: a proxy's name, or that of its twin
 * @param sentBytes what it has sent since its start
 * @param objections how often it had to say that it lives
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
    /** Answers grow with the fleet: a larger one is asked less often. */
    private static final int SMALL_FLEET = 25;

    /** How long after the last time each of so many proxies is asked again, in ms. */
    public static long intervalMs(int proxies) {
        return MIN_INTERVAL_MS * Math.max(SMALL_FLEET, proxies) / SMALL_FLEET;
    }

    /** One life of another proxy, as it is seen. */
    public record SeenMember(String name, String life, String status, int incarnation, boolean twin) {
        /** Is it held for somebody who is there, or may be? */
        public boolean isPresent() {
            return status.equals("alive") || status.equals("suspected");
        }
    }

    /** Reads the answer of a process; an IOException if it is none. */
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
