package gullspar.capacity;

import java.util.List;
import java.util.Map;

/**
 * Values measured at several sizes along one axis, with everything else fixed.
 *
 * @param heldOut the size that is excluded from the fit and predicted by it; 0 for none
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
    /** The value of one run at one size. */
    record Point(double size, double value) {}

    /** The file, script and circumstances of a measurement. */
    record Source(String file, String script, String date, String commit, String machine, String seeds) {}

    Series {
        fixed = Map.copyOf(fixed);
        points = List.copyOf(points);
    }

    /** Returns the measured sizes in ascending order. */
    List<Double> sizes() {
        return points.stream().map(Point::size).distinct().sorted().toList();
    }

    /** Returns the median of the runs at a size. */
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

    /** Returns the largest deviation of a run from the median at its size, as a fraction; 0 with single runs. */
    double spread() {
        return points.stream()
                .mapToDouble(p -> Math.abs(p.value() - medianAt(p.size()))
                        / Math.max(Double.MIN_NORMAL, Math.abs(medianAt(p.size()))))
                .max()
                .orElse(0);
    }
}
