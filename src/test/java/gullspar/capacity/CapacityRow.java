package gullspar.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * One figure of the page: a sum of terms, beside its limit, with what carries it.
 *
 * @param scaledBy the size that is made larger to find where the limit breaks
 * @param missingMechanism the mechanism that would carry it and is not there; empty if there is one
 * @param measurementNeeded what would measure what is not measured; empty if all is
 * @param exactReason why a number that is not measured is known all the same; empty if there is none
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
     * A slope by a size: a series at a size of the letter, or a number, times and over other sizes.
     *
     * @param series empty for a number
     * @param sizeName the size by its name; empty for a series of one size
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

    /** What is wrong with it, a line each. */
    List<String> problems(Map<String, LinearFit> fits, DesignParameters design) {
        List<String> problems = new ArrayList<>();
        if (terms.isEmpty()) {
            problems.add("row " + id + " has no source");
        }
        for (Term term : terms) {
            if (term.series().isEmpty() && measurementNeeded.isEmpty() && exactReason.isEmpty()) {
                problems.add("row " + id + " has no source: a number that is neither measured, nor said to be "
                        + "assumed, nor exact");
            } else if (!term.series().isEmpty() && !fits.containsKey(term.series())) {
                problems.add("row " + id + " has no source: no results hold " + term.series());
            }
        }
        if (limit.isEmpty()) {
            problems.add("row " + id + " has no limit");
        } else if (!design.has(limit)) {
            problems.add("row " + id + " has no limit: the letter has no " + limit);
        }
        if (mechanism.isEmpty() && missingMechanism.isEmpty()) {
            problems.add("row " + id + " has no mechanism, nor says that it is missing");
        }
        if (!design.has(scaledBy)) {
            problems.add("row " + id + " has no size to grow along: " + scaledBy);
        }
        return problems;
    }

    double value(Map<String, LinearFit> fits, DesignParameters design) {
        return terms.stream().mapToDouble(t -> t.value(fits, design)).sum();
    }

    String formula(Map<String, LinearFit> fits, DesignParameters design) {
        return terms.stream().map(t -> t.formula(fits, design)).collect(Collectors.joining(" + "));
    }

    /** The least size along its axis at which the limit is passed; infinite if none up to a million times. */
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

    /** The same as a part of the letter's size. */
    double breakingRatio(Map<String, LinearFit> fits, DesignParameters design) {
        return breakingSize(fits, design) / design.value(scaledBy);
    }

    /** The series that it stands on. */
    List<String> seriesIds() {
        return terms.stream()
                .map(Term::series)
                .filter(s -> !s.isEmpty())
                .distinct()
                .toList();
    }
}
