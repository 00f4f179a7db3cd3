package gullspar.capacity;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A line through the points of a series by least squares. Where a held-out size is not foretold within a
 * quarter the series counts as not linear, and what was measured is joined by straight pieces instead.
 *
 * @param slopeStandardError the standard error of the slope; NaN where two sizes or fewer leave nothing to tell it by
 * @param predicted what the line says of the held-out size; NaN if none is held out
 */
record LinearFit(
        Series series,
        double intercept,
        double slope,
        double slopeStandardError,
        double predicted,
        boolean isConstant) {
    /** A held-out size has to be foretold so well. */
    static final double MAX_RELATIVE_ERROR = 0.25;

    static LinearFit of(Series s) {
        if (s.sizes().size() == 1) {
            return new LinearFit(s, s.medianAt(s.sizes().get(0)), 0, Double.NaN, Double.NaN, true);
        }
        boolean hasHeldOut = s.heldOut() > 0 && s.sizes().size() > 2;
        List<Series.Point> fitted = s.points().stream()
                .filter(p -> !hasHeldOut || p.size() != s.heldOut())
                .toList();
        double count = fitted.size();
        double meanX = fitted.stream().collect(Collectors.averagingDouble(Series.Point::size));
        double meanY = fitted.stream().collect(Collectors.averagingDouble(Series.Point::value));
        double sumXx = fitted.stream()
                .mapToDouble(p -> (p.size() - meanX) * (p.size() - meanX))
                .sum();
        double sumXy = fitted.stream()
                .mapToDouble(p -> (p.size() - meanX) * (p.value() - meanY))
                .sum();
        double slope = sumXy / sumXx;
        double intercept = meanY - slope * meanX;
        double squaredResiduals = fitted.stream()
                .mapToDouble(p -> p.value() - intercept - slope * p.size())
                .map(d -> d * d)
                .sum();
        return new LinearFit(
                s,
                intercept,
                slope,
                count > 2 ? Math.sqrt(squaredResiduals / (count - 2) / sumXx) : Double.NaN,
                hasHeldOut ? intercept + slope * s.heldOut() : Double.NaN,
                false);
    }

    /** How far the line is from what was measured at the held-out size, as a part of that; NaN for none. */
    double relativeError() {
        return (predicted - series.medianAt(series.heldOut())) / Math.abs(series.medianAt(series.heldOut()));
    }

    /** Is the held-out size foretold? True where none is held out; two sizes foretell nothing. */
    boolean isLinear() {
        return isConstant || series.heldOut() == 0 || Math.abs(relativeError()) <= MAX_RELATIVE_ERROR;
    }

    /** The value at a size: by the line, or between the sizes that were measured. */
    double valueAt(double size) {
        if (isConstant) {
            return intercept;
        }
        return isLinear() ? intercept + slope * size : interpolated(size);
    }

    private double interpolated(double size) {
        List<Double> sizes = series.sizes();
        int i = 1;
        while (i < sizes.size() - 1 && sizes.get(i) < size) {
            i++;
        }
        double from = sizes.get(i - 1);
        double to = sizes.get(i);
        return series.medianAt(from) + (series.medianAt(to) - series.medianAt(from)) * (size - from) / (to - from);
    }

    /** Is that size beyond all that were measured? */
    boolean isExtrapolated(double size) {
        return !isConstant && size > series.sizes().get(series.sizes().size() - 1) * 1.001;
    }
}
