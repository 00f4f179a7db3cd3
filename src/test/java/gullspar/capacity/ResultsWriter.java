package gullspar.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Writes a file of measured results with the machine and the commit that they were measured on. */
public final class ResultsWriter {
    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private final ObjectNode root = JSON.createObjectNode();
    private final Map<String, ObjectNode> series = new LinkedHashMap<>();

    /** Starts the results of a script that runs with the given seeds. */
    public ResultsWriter(String script, List<Integer> seeds) {
        root.put("script", script);
        root.put("date", LocalDate.now(ZoneOffset.UTC).toString());
        root.put("commit", System.getProperty("commit", "unknown"));
        ObjectNode machine = root.putObject("machine");
        machine.put("cores", 8);
        machine.put("cores_used", Runtime.getRuntime().availableProcessors());
        machine.put("memory_gib", memoryGib());
        machine.put("java", System.getProperty("java.version"));
        machine.put("flags", System.getProperty("flags", ""));
        machine.put("kernel", System.getProperty("os.version"));
        ArrayNode drawn = root.putArray("seeds");
        seeds.forEach(drawn::add);
    }

    /** Adds the series of an existing file, so that more sizes can be added; machine and commit must be the same. */
    public ResultsWriter withExisting(Path file) throws IOException {
        JsonNode existing = JSON.readTree(Files.readString(file));
        for (String key : new String[] {"machine", "commit"}) {
            if (!existing.path(key).equals(JSON.readTree(root.get(key).toString()))) {
                throw new IOException(file + " was measured on another " + key);
            }
        }
        root.put(
                "script",
                existing.path("script").asText() + "; " + root.path("script").asText());
        Set<Integer> allSeeds = new TreeSet<>();
        existing.path("seeds").forEach(x -> allSeeds.add(x.asInt()));
        root.path("seeds").forEach(x -> allSeeds.add(x.asInt()));
        allSeeds.forEach(root.putArray("seeds")::add);
        existing.path("series").forEach(s -> series.put(s.path("id").asText(), (ObjectNode) s));
        return this;
    }

    private static long memoryGib() {
        try {
            return Files.readAllLines(Path.of("/proc/meminfo")).stream()
                    .filter(l -> l.startsWith("MemTotal"))
                    .mapToLong(l -> Math.round(Long.parseLong(l.replaceAll("\\D", "")) / 1048576.0))
                    .sum();
        } catch (IOException e) {
            return 0;
        }
    }

    /**
     * Adds one point to a series; the first point defines the series.
     *
     * @param heldOut the size that is excluded from the fit and predicted by it, 0 for none
     */
    public ResultsWriter addPoint(
            String id,
            String description,
            String unit,
            String axis,
            Map<String, Integer> fixed,
            double heldOut,
            double size,
            double value) {
        ObjectNode s = series.computeIfAbsent(id, i -> {
            ObjectNode n = JSON.createObjectNode();
            n.put("id", i).put("what", description).put("unit", unit).put("axis", axis);
            ObjectNode f = n.putObject("fixed");
            fixed.forEach(f::put);
            n.putArray("points");
            return n;
        });
        if (heldOut > s.path("held_out").asDouble()) {
            s.put("held_out", heldOut);
        }
        ((ArrayNode) s.get("points")).addObject().put("size", size).put("value", rounded(value));
        System.err.printf("%s at %.0f: %.6g %s%n", id, size, value, unit);
        return this;
    }

    /** Rounds to five digits, which exceeds the precision of all measurements here. */
    private static double rounded(double value) {
        return value == 0 ? 0 : Double.parseDouble(String.format(java.util.Locale.ROOT, "%.5g", value));
    }

    /** Writes all points added so far; a later call writes the whole file again. */
    public void write(Path file) throws IOException {
        ArrayNode all = JSON.createArrayNode();
        series.values().forEach(all::add);
        root.set("series", all);
        Files.createDirectories(file.toAbsolutePath().getParent());
        Files.writeString(file, JSON.writeValueAsString(root) + "\n");
    }

    /** Returns the ids of the series with points so far. */
    public Set<String> seriesIds() {
        return series.keySet();
    }
}
