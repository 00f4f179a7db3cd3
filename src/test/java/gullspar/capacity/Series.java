package gullspar.capacity;

import java.util.List;
import java.util.Map;

/**
 * What was measured at some sizes of one axis, all else fixed.
 *
 * @param heldOut the size that is left out of the fit, which the slope has to foretell; 0 for none
 */
record Series(
        String id,
        String description,
        String unit,
        String axis,
        Map<String, String> fixed,
        List<Point> points,
        double heldOut,
        Source source) {
    /** One run at one size. */
    record Point(double size, double value) {}

    /** Where it comes from. */
    record Source(String file, String script, String date, String commit, String machine, String seeds) {}

    Series {
        fixed = Map.copyOf(fixed);
        points = List.copyOf(points);
    }

    /** The sizes that were measured, the smallest first. */
    List<Double> sizes() {
        return points.stream().map(Point::size).distinct().sorted().toList();
    }

    /** The median of what was measured at a size. */
    double medianAt(double size) {
        double[] values = points.stream()
                .filter(p -> p.size() == size)
                .mapToDouble(Point::value)
                .sorted()
                .toArray();
        return values.length % 2 == 1
                ? values[values.length / 2]
                : (values[values.length / 2 - 1] + values[values.length / 2]) / 2;
    }

    /** The largest distance of a run from the median of its size, as a part of that; 0 for a single run. */
    double spread() {
        return points.stream()
                .mapToDouble(p -> Math.abs(p.value() - medianAt(p.size()))
                        / Math.max(Double.MIN_NORMAL, Math.abs(medianAt(p.size()))))
                .max()
                .orElse(0);
    }
}
