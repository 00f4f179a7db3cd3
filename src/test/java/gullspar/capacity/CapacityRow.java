package gullspar.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * One figure of the page: a sum of terms, its limit, and the mechanism that has to keep it within the limit.
 *
 * @param scaledBy the design parameter that is increased until the limit is exceeded
 * @param missingMechanism the mechanism that is needed and does not exist; empty if none is missing
 * @param measurementNeeded how an assumed figure could be measured; empty if nothing is assumed
 * @param exactReason why a constant that is not measured is exact; empty if there is none
 */
record CapacityRow(
        String id,
        String role,
        List<String> events,
        String quantity,
        String description,
        List<Term> terms,
        String unit,
        String limit,
        String scaledBy,
        String mechanism,
        String missingMechanism,
        String measurementNeeded,
        String exactReason) {
    /**
     * A series evaluated at a design parameter, or a constant; multiplied by a scale and the factors, and
     * divided by the divisors.
     *
     * @param series empty for a constant
     * @param sizeName the design parameter at which the series is evaluated; empty for a series of one size
     */
    record Term(
            String series,
            String sizeName,
            double constant,
            double scale,
            List<String> factors,
            List<String> divisors) {
        double value(Map<String, LinearFit> fits, DesignParameters design) {
            double value = scale * (series.isEmpty() ? constant : measuredValue(fits, design));
            for (String factor : factors) {
                value *= sizeOf(factor, design);
            }
            for (String divisor : divisors) {
                value /= sizeOf(divisor, design);
            }
            return value;
        }

        private double measuredValue(Map<String, LinearFit> fits, DesignParameters design) {
            LinearFit fit = fits.get(series);
            return sizeName.isEmpty() ? fit.intercept() : fit.valueAt(sizeOf(sizeName, design));
        }

        private static double sizeOf(String nameOrNumber, DesignParameters design) {
            return isNumeric(nameOrNumber) ? Double.parseDouble(nameOrNumber) : design.value(nameOrNumber);
        }

        private static boolean isNumeric(String nameOrNumber) {
            return Character.isDigit(nameOrNumber.charAt(0));
        }

        String formula(Map<String, LinearFit> fits, DesignParameters design) {
            StringBuilder text = new StringBuilder();
            if (series.isEmpty()) {
                text.append(NumberFormatter.number(constant));
            } else {
                text.append(measuredFormula(fits.get(series), design));
            }
            factors.forEach(t -> text.append(" × ").append(formatFactor(t, design)));
            divisors.forEach(o -> text.append(" / ").append(formatFactor(o, design)));
            return text.toString();
        }

        private String measuredFormula(LinearFit fit, DesignParameters design) {
            String unit = fit.series().unit();
            if (fit.isConstant() || sizeName.isEmpty()) {
                return NumberFormatter.withUnit(fit.intercept(), unit);
            }
            double size = sizeOf(sizeName, design);
            if (!fit.isLinear()) {
                return NumberFormatter.withUnit(fit.valueAt(size), unit) + " at " + formatFactor(sizeName, design)
                        + " (not linear" + (fit.isExtrapolated(size) ? ", beyond what was measured)" : ")");
            }
            return NumberFormatter.withUnit(fit.slope(), unit)
                    + (Double.isNaN(fit.slopeStandardError())
                            ? ""
                            : " ± " + NumberFormatter.number(fit.slopeStandardError()))
                    + " × "
                    + formatFactor(sizeName, design)
                    + (Math.abs(fit.intercept()) < Math.abs(fit.slope() * size) / 100
                            ? ""
                            : (fit.intercept() < 0 ? " - " : " + ")
                                    + NumberFormatter.withUnit(Math.abs(fit.intercept()), unit))
                    + (fit.isExtrapolated(size) ? " (beyond what was measured)" : "");
        }

        private static String formatFactor(String nameOrNumber, DesignParameters design) {
            return isNumeric(nameOrNumber)
                    ? nameOrNumber
                    : NumberFormatter.number(design.value(nameOrNumber)) + " " + nameOrNumber.replace('_', ' ');
        }
    }

    CapacityRow {
        events = List.copyOf(events);
        terms = List.copyOf(terms);
    }

    /** Returns a line for each problem of the row. */
    List<String> problems(Map<String, LinearFit> fits, DesignParameters design) {
        List<String> problems = new ArrayList<>();
        if (terms.isEmpty()) {
            problems.add("row " + id + " has no source");
        }
        for (Term term : terms) {
            if (term.series().isEmpty() && measurementNeeded.isEmpty() && exactReason.isEmpty()) {
                problems.add("row " + id + " has no source: its constant is neither measured, nor marked as "
                        + "assumed or exact");
            } else if (!term.series().isEmpty() && !fits.containsKey(term.series())) {
                problems.add("row " + id + " has no source: no results contain " + term.series());
            }
        }
        if (limit.isEmpty()) {
            problems.add("row " + id + " has no limit");
        } else if (!design.has(limit)) {
            problems.add("row " + id + " has no limit: letter.toml has no " + limit);
        }
        if (mechanism.isEmpty() && missingMechanism.isEmpty()) {
            problems.add("row " + id + " names neither a mechanism nor a missing one");
        }
        if (!design.has(scaledBy)) {
            problems.add("row " + id + " has an unknown size to increase: " + scaledBy);
        }
        return problems;
    }

    double value(Map<String, LinearFit> fits, DesignParameters design) {
        return terms.stream().mapToDouble(t -> t.value(fits, design)).sum();
    }

    String formula(Map<String, LinearFit> fits, DesignParameters design) {
        return terms.stream().map(t -> t.formula(fits, design)).collect(Collectors.joining(" + "));
    }

    /**
     * Returns the smallest value of {@code scaledBy} at which the limit is exceeded; infinite if a million times
     * the design size is within the limit.
     */
    double breakingSize(Map<String, LinearFit> fits, DesignParameters design) {
        double maximum = design.value(limit);
        double high = design.value(scaledBy) / 1e6;
        double low = 0;
        while (value(fits, design.with(scaledBy, high)) <= maximum) {
            low = high;
            high *= 2;
            if (high > design.value(scaledBy) * 1e6) {
                return Double.POSITIVE_INFINITY;
            }
        }
        for (int i = 0; i < 100; i++) {
            double middle = (low + high) / 2;
            if (value(fits, design.with(scaledBy, middle)) <= maximum) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /** Returns the breaking size divided by the design size. */
    double breakingRatio(Map<String, LinearFit> fits, DesignParameters design) {
        return breakingSize(fits, design) / design.value(scaledBy);
    }

    /** Returns the ids of the series that the terms use. */
    List<String> seriesIds() {
        return terms.stream()
                .map(Term::series)
                .filter(s -> !s.isEmpty())
                .distinct()
                .toList();
    }
}
