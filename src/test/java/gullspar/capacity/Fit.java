package gullspar.capacity;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A line through the points of a series by least squares. Where a held-out size is not foretold within a
 * quarter the series counts as not linear, and what was measured is joined by straight pieces instead.
 *
 * @param slopeError the standard error of the slope; NaN where two sizes or fewer leave nothing to tell it by
 * @param foretold what the line says of the held-out size; NaN if none is held out
 */
record Fit(Series series, double intercept, double slope, double slopeError, double foretold, boolean constant) {
    /** A held-out size has to be foretold so well. */
    static final double WITHIN = 0.25;

    static Fit of(Series s) {
        if (s.sizes().size() == 1) {
            return new Fit(s, s.at(s.sizes().get(0)), 0, Double.NaN, Double.NaN, true);
        }
        boolean foretells = s.heldOut() > 0 && s.sizes().size() > 2;
        List<Series.Point> used = s.points().stream()
                .filter(p -> !foretells || p.size() != s.heldOut())
                .toList();
        double n = used.size();
        double x = used.stream().collect(Collectors.averagingDouble(Series.Point::size));
        double y = used.stream().collect(Collectors.averagingDouble(Series.Point::value));
        double xx =
                used.stream().mapToDouble(p -> (p.size() - x) * (p.size() - x)).sum();
        double xy =
                used.stream().mapToDouble(p -> (p.size() - x) * (p.value() - y)).sum();
        double slope = xy / xx;
        double intercept = y - slope * x;
        double rest = used.stream()
                .mapToDouble(p -> p.value() - intercept - slope * p.size())
                .map(d -> d * d)
                .sum();
        return new Fit(
                s,
                intercept,
                slope,
                n > 2 ? Math.sqrt(rest / (n - 2) / xx) : Double.NaN,
                foretells ? intercept + slope * s.heldOut() : Double.NaN,
                false);
    }

    /** How far the line is from what was measured at the held-out size, as a part of that; NaN for none. */
    double missedBy() {
        return (foretold - series.at(series.heldOut())) / Math.abs(series.at(series.heldOut()));
    }

    /** Is the held-out size foretold? True where none is held out; two sizes foretell nothing. */
    boolean linear() {
        return constant || series.heldOut() == 0 || Math.abs(missedBy()) <= WITHIN;
    }

    /** The value at a size: by the line, or between the sizes that were measured. */
    double at(double size) {
        if (constant) {
            return intercept;
        }
        return linear() ? intercept + slope * size : joined(size);
    }

    private double joined(double size) {
        List<Double> sizes = series.sizes();
        int i = 1;
        while (i < sizes.size() - 1 && sizes.get(i) < size) {
            i++;
        }
        double from = sizes.get(i - 1);
        double to = sizes.get(i);
        return series.at(from) + (series.at(to) - series.at(from)) * (size - from) / (to - from);
    }

    /** Is that size beyond all that were measured? */
    boolean beyond(double size) {
        return !constant && size > series.sizes().get(series.sizes().size() - 1) * 1.001;
    }
}
