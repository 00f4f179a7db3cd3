package gullspar.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Reads all result files of a folder; each error names the file and the place in it. */
final class Results {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, Series> series = new TreeMap<>();

    private Results() {}

    static Results read(Path folder) {
        Results r = new Results();
        try (Stream<Path> files = Files.list(folder)) {
            files.filter(f -> f.toString().endsWith(".json")).sorted().forEach(r::readFile);
        } catch (IOException e) {
            throw new CapacityException(folder + " cannot be read: " + e.getMessage());
        }
        return r;
    }

    Map<String, Series> series() {
        return series;
    }

    Series get(String id) {
        return series.get(id);
    }

    private void readFile(Path file) {
        String name = String.valueOf(file.getFileName());
        try {
            JsonNode root = JSON.readTree(Files.readString(file));
            addSeries(name, root);
        } catch (JsonProcessingException e) {
            throw new CapacityException(
                    name + ":" + e.getLocation().getLineNr() + ": invalid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new CapacityException(name + " cannot be read: " + e.getMessage());
        }
    }

    private void addSeries(String name, JsonNode root) {
        JsonNode machine = root.path("machine");
        List<String> seeds = new ArrayList<>();
        root.path("seeds").forEach(s -> seeds.add(s.asText()));
        if (!machine.isObject()) {
            throw new CapacityException(name + ": missing machine");
        }
        if (!root.path("seeds").isArray()) {
            throw new CapacityException(name + ": missing seeds");
        }
        Series.Source source = new Series.Source(
                name,
                text(name, root, "script"),
                text(name, root, "date"),
                text(name, root, "commit"),
                describeMachine(name, machine),
                String.join(", ", seeds));
        if (!root.path("series").isArray()) {
            throw new CapacityException(name + ": missing series");
        }
        int i = 0;
        for (JsonNode s : root.path("series")) {
            Series added = series(name + ": series[" + i++ + "]", s, source);
            Series existing = series.putIfAbsent(added.id(), added);
            if (existing != null) {
                throw new CapacityException(
                        name + ": " + added.id() + " is in " + existing.source().file() + " too");
            }
        }
    }

    private static String describeMachine(String name, JsonNode m) {
        return text(name + ": machine", m, "cores") + " cores, " + text(name + ": machine", m, "memory_gib")
                + " GiB, Java " + text(name + ": machine", m, "java") + ", "
                + text(name + ": machine", m, "kernel");
    }

    private static Series series(String where, JsonNode s, Series.Source source) {
        String id = text(where, s, "id");
        String place = where + " (" + id + ")";
        List<Series.Point> points = new ArrayList<>();
        if (!s.path("points").isArray() || s.path("points").isEmpty()) {
            throw new CapacityException(place + ": missing points");
        }
        for (JsonNode p : s.path("points")) {
            points.add(new Series.Point(
                    number(place + ": points[" + points.size() + "]", p, "size"),
                    number(place + ": points[" + points.size() + "]", p, "value")));
        }
        Map<String, String> fixed = new LinkedHashMap<>();
        s.path("fixed")
                .properties()
                .forEach(e -> fixed.put(e.getKey(), e.getValue().asText()));
        double heldOut = s.hasNonNull("held_out") ? number(place, s, "held_out") : 0;
        if (heldOut != 0 && points.stream().noneMatch(p -> p.size() == heldOut)) {
            throw new CapacityException(
                    place + ": the held-out size " + NumberFormatter.number(heldOut) + " was not measured");
        }
        return new Series(
                id,
                text(place, s, "what"),
                s.path("unit").asText(""),
                text(place, s, "axis"),
                fixed,
                points,
                heldOut,
                source);
    }

    private static String text(String where, JsonNode n, String key) {
        String value = n.path(key).asText("");
        if (value.isEmpty()) {
            throw new CapacityException(where + ": missing " + key);
        }
        return value;
    }

    private static double number(String where, JsonNode n, String key) {
        if (!n.path(key).isNumber() || !Double.isFinite(n.path(key).asDouble())) {
            throw new CapacityException(where + ": " + key + " is not a number");
        }
        return n.path(key).asDouble();
    }

    /** Returns the source of the results in each file, by file name. */
    Map<String, Series.Source> sources() {
        return series.values().stream()
                .map(Series::source)
                .collect(Collectors.toMap(Series.Source::file, s -> s, (a, b) -> a, TreeMap::new));
    }
}
