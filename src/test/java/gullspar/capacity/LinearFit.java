package gullspar.capacity;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A least-squares line through the points of a series. If its prediction for the held-out size is off by more
 * than a quarter, the series counts as not linear, and values are interpolated between the measured sizes.
 *
 * @param slopeStandardError the standard error of the slope; NaN with two points or fewer
 * @param predicted the value of the line at the held-out size; NaN if none is held out
 */
record LinearFit(
        Series series,
        double intercept,
        double slope,
        double slopeStandardError,
        double predicted,
        boolean isConstant) {
    /** Largest error of the prediction, as a fraction of the measured value, for a linear series. */
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

    /** Returns the error of the prediction as a fraction of the measured median; NaN without a prediction. */
    double relativeError() {
        return (predicted - series.medianAt(series.heldOut())) / Math.abs(series.medianAt(series.heldOut()));
    }

    /** Returns whether the prediction holds; true if no size is held out, false if two sizes allow no prediction. */
    boolean isLinear() {
        return isConstant || series.heldOut() == 0 || Math.abs(relativeError()) <= MAX_RELATIVE_ERROR;
    }

    /** Returns the value of the line, or, if the series is not linear, one interpolated from the measured sizes. */
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

    /** Returns whether the size is larger than all measured ones. */
    boolean isExtrapolated(double size) {
        return !isConstant && size > series.sizes().get(series.sizes().size() - 1) * 1.001;
    }
}
