package gullspar.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The results of a run: series of points, each along one axis with the other sizes fixed. */
final class Results {
    /** One measured value at one size. */
    record Point(long size, double value) {}

    /** Describes a series: its id, what it measures, unit, axis and fixed sizes. */
    record SeriesInfo(String id, String description, String unit, String axis, Map<String, Object> fixed) {}

    private final Map<String, List<Point>> points = new LinkedHashMap<>();
    private final Map<String, SeriesInfo> seriesById = new LinkedHashMap<>();
    private final Map<String, Object> properties = new LinkedHashMap<>();
    private final List<Map<String, Object>> comparisons = new ArrayList<>();

    synchronized void setProperty(String key, Object value) {
        properties.put(key, value);
    }

    synchronized void add(SeriesInfo info, long size, double value) {
        seriesById.putIfAbsent(info.id(), info);
        points.computeIfAbsent(info.id(), i -> new ArrayList<>()).add(new Point(size, round(value)));
        System.out.println(
                "  " + info.id() + "  " + info.axis() + "=" + size + "  " + round(value) + " " + info.unit());
    }

    /** Adds a figure measured at real and at hollow proxies, with the reason for a difference. */
    synchronized void addComparison(String figure, String unit, double real, double hollow, String reason) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("figure", figure);
        row.put("unit", unit);
        row.put("real", round(real));
        row.put("hollow", round(hollow));
        row.put("hollow_to_real", round(hollow / real));
        row.put("within_20_percent", Math.abs(hollow / real - 1) <= 0.2);
        row.put("difference", reason);
        comparisons.add(row);
        System.out.println("  " + row);
    }

    /** Returns the value of a series at a size, NaN if there is none. */
    synchronized double value(String id, long size) {
        return points.getOrDefault(id, List.of()).stream()
                .filter(p -> p.size() == size)
                .mapToDouble(Point::value)
                .findFirst()
                .orElse(Double.NaN);
    }

    private static double round(double v) {
        return v == 0 || !Double.isFinite(v)
                ? 0
                : new java.math.BigDecimal(v)
                        .round(new java.math.MathContext(4))
                        .doubleValue();
    }

    synchronized void write(Path file) throws IOException {
        Map<String, Object> root = new LinkedHashMap<>(properties);
        List<Map<String, Object>> all = new ArrayList<>();
        seriesById.forEach((id, a) -> {
            Map<String, Object> s = new LinkedHashMap<>();
            s.put("id", id);
            s.put("what", a.description());
            s.put("unit", a.unit());
            s.put("axis", a.axis());
            s.put("fixed", a.fixed());
            s.put("points", points.get(id));
            long largest = points.get(id).stream().mapToLong(Point::size).max().orElse(0);
            if (points.get(id).stream().mapToLong(Point::size).distinct().count() > 2) {
                s.put("held_out", largest);
            }
            all.add(s);
        });
        root.put("series", all);
        root.put("hollow_and_real", comparisons);
        Files.createDirectories(file.toAbsolutePath().getParent());
        String text =
                new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(root);
        Files.writeString(file, text + "\n");
    }
}
