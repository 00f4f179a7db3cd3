package gullspar.capacity;

import java.util.Locale;

/** Formats numbers with three significant digits, thousands separators and the largest unit that fits. */
final class NumberFormatter {
    private static final String[] TIME_UNITS = {"ns", "µs", "ms", "s"}, BYTE_UNITS = {"B", "kB", "MB", "GB"};

    private NumberFormatter() {}

    static String number(double value) {
        if (Double.isNaN(value)) {
            return "?";
        }
        if (Double.isInfinite(value)) {
            return "never";
        }
        double magnitude = Math.abs(value);
        if (magnitude == 0) {
            return "0";
        }
        if (magnitude < 0.001) {
            return String.format(Locale.ROOT, "%.2e", value);
        }
        double lastDigit = Math.pow(10, Math.floor(Math.log10(magnitude)) - 2);
        double rounded = Math.round(value / lastDigit) * lastDigit;
        if (magnitude >= 100) {
            return String.format(Locale.ROOT, "%,.0f", rounded);
        }
        String text = String.format(Locale.ROOT, magnitude >= 10 ? "%.1f" : magnitude >= 1 ? "%.2f" : "%.4f", rounded);
        return text.contains(".") ? text.replaceAll("0+$", "").replaceAll("\\.$", "") : text;
    }

    static String withUnit(double value, String unit) {
        double magnitude = Math.abs(value);
        if (unit.equals("1/s")) {
            return number(value) + "/s";
        }
        boolean isRate = unit.endsWith("/s");
        String baseUnit = isRate ? unit.substring(0, unit.length() - 2) : unit;
        int prefix = magnitude >= 1e9 ? 3 : magnitude >= 1e6 ? 2 : magnitude >= 1e3 ? 1 : 0;
        String[] units =
                baseUnit.equals("ns") ? TIME_UNITS : baseUnit.equals("B") ? BYTE_UNITS : new String[] {baseUnit};
        prefix = Math.min(prefix, units.length - (isRate && units == TIME_UNITS ? 2 : 1));
        return number(value / Math.pow(1000, prefix))
                + (unit.isEmpty() ? "" : " " + units[prefix] + (isRate ? "/s" : ""));
    }

    /** Formats a ratio, such as 0.0012, 0.31 or 3.2. */
    static String ratio(double ratio) {
        return Double.isInfinite(ratio) ? "never" : ratio > 1000 ? "over 1,000" : number(ratio);
    }
}
