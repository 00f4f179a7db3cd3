package gullspar.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * One figure of the page: a sum of terms, beside its limit, with what carries it.
 *
 * @param along the size that is made larger to find where the limit breaks
 * @param missing the mechanism that would carry it and is not there; empty if there is one
 * @param assumed what would measure what is not measured; empty if all is
 * @param exact why a number that is not measured is known all the same; empty if there is none
 */
record Row(
        String id,
        String role,
        List<String> events,
        String quantity,
        String what,
        List<Term> terms,
        String unit,
        String limit,
        String along,
        String mechanism,
        String missing,
        String assumed,
        String exact) {
    /**
     * A slope by a size: a series at a size of the letter, or a number, times and over other sizes.
     *
     * @param series empty for a number
     * @param at the size by its name; empty for a series of one size
     */
    record Term(String series, String at, double number, double by, List<String> times, List<String> over) {
        double value(Map<String, Fit> fits, Letter letter) {
            double v = by * (series.isEmpty() ? number : base(fits, letter));
            for (String t : times) {
                v *= size(t, letter);
            }
            for (String o : over) {
                v /= size(o, letter);
            }
            return v;
        }

        private double base(Map<String, Fit> fits, Letter letter) {
            Fit f = fits.get(series);
            return at.isEmpty() ? f.intercept() : f.at(size(at, letter));
        }

        private static double size(String nameOrNumber, Letter letter) {
            return numeric(nameOrNumber) ? Double.parseDouble(nameOrNumber) : letter.value(nameOrNumber);
        }

        private static boolean numeric(String s) {
            return Character.isDigit(s.charAt(0));
        }

        String shown(Map<String, Fit> fits, Letter letter) {
            StringBuilder b = new StringBuilder();
            if (series.isEmpty()) {
                b.append(Show.number(number));
            } else {
                b.append(measured(fits.get(series), letter));
            }
            times.forEach(t -> b.append(" × ").append(named(t, letter)));
            over.forEach(o -> b.append(" / ").append(named(o, letter)));
            return b.toString();
        }

        private String measured(Fit f, Letter letter) {
            String unit = f.series().unit();
            if (f.constant() || at.isEmpty()) {
                return Show.with(f.intercept(), unit);
            }
            double size = size(at, letter);
            if (!f.linear()) {
                return Show.with(f.at(size), unit) + " at " + named(at, letter) + " (not linear"
                        + (f.beyond(size) ? ", beyond what was measured)" : ")");
            }
            return Show.with(f.slope(), unit)
                    + (Double.isNaN(f.slopeError()) ? "" : " ± " + Show.number(f.slopeError())) + " × "
                    + named(at, letter)
                    + (Math.abs(f.intercept()) < Math.abs(f.slope() * size) / 100
                            ? ""
                            : (f.intercept() < 0 ? " - " : " + ") + Show.with(Math.abs(f.intercept()), unit))
                    + (f.beyond(size) ? " (beyond what was measured)" : "");
        }

        private static String named(String t, Letter letter) {
            return numeric(t) ? t : Show.number(letter.value(t)) + " " + t.replace('_', ' ');
        }
    }

    Row {
        events = List.copyOf(events);
        terms = List.copyOf(terms);
    }

    /** What is wrong with it, a line each. */
    List<String> faults(Map<String, Fit> fits, Letter letter) {
        List<String> wrong = new ArrayList<>();
        if (terms.isEmpty()) {
            wrong.add("row " + id + " has no source");
        }
        for (Term t : terms) {
            if (t.series().isEmpty() && assumed.isEmpty() && exact.isEmpty()) {
                wrong.add("row " + id + " has no source: a number that is neither measured, nor said to be "
                        + "assumed, nor exact");
            } else if (!t.series().isEmpty() && !fits.containsKey(t.series())) {
                wrong.add("row " + id + " has no source: no results hold " + t.series());
            }
        }
        if (limit.isEmpty()) {
            wrong.add("row " + id + " has no limit");
        } else if (!letter.has(limit)) {
            wrong.add("row " + id + " has no limit: the letter has no " + limit);
        }
        if (mechanism.isEmpty() && missing.isEmpty()) {
            wrong.add("row " + id + " has no mechanism, nor says that it is missing");
        }
        if (!letter.has(along)) {
            wrong.add("row " + id + " has no size to grow along: " + along);
        }
        return wrong;
    }

    double value(Map<String, Fit> fits, Letter letter) {
        return terms.stream().mapToDouble(t -> t.value(fits, letter)).sum();
    }

    String shown(Map<String, Fit> fits, Letter letter) {
        return terms.stream().map(t -> t.shown(fits, letter)).collect(Collectors.joining(" + "));
    }

    /** The least size along its axis at which the limit is passed; infinite if none up to a million times. */
    double breaksAt(Map<String, Fit> fits, Letter letter) {
        double most = letter.value(limit);
        double high = letter.value(along) / 1e6;
        double low = 0;
        while (value(fits, letter.with(along, high)) <= most) {
            low = high;
            high *= 2;
            if (high > letter.value(along) * 1e6) {
                return Double.POSITIVE_INFINITY;
            }
        }
        for (int i = 0; i < 100; i++) {
            double middle = (low + high) / 2;
            if (value(fits, letter.with(along, middle)) <= most) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /** The same as a part of the letter's size. */
    double part(Map<String, Fit> fits, Letter letter) {
        return breaksAt(fits, letter) / letter.value(along);
    }

    /** The series that it stands on. */
    List<String> series() {
        return terms.stream()
                .map(Term::series)
                .filter(s -> !s.isEmpty())
                .distinct()
                .toList();
    }
}
