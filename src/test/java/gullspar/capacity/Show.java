package gullspar.capacity;

import java.util.Locale;

/** Numbers for people: three digits, thousands set apart, units as large as they fit. */
final class Show {
    private static final String[] TIMES = {"ns", "µs", "ms", "s"}, BYTES = {"B", "kB", "MB", "GB"};

    private Show() {}

    static String number(double v) {
        if (Double.isNaN(v)) {
            return "?";
        }
        if (Double.isInfinite(v)) {
            return "never";
        }
        double a = Math.abs(v);
        if (a == 0) {
            return "0";
        }
        if (a < 0.001) {
            return String.format(Locale.ROOT, "%.2e", v);
        }
        double unit = Math.pow(10, Math.floor(Math.log10(a)) - 2);
        double r = Math.round(v / unit) * unit;
        if (a >= 100) {
            return String.format(Locale.ROOT, "%,.0f", r);
        }
        String s = String.format(Locale.ROOT, a >= 10 ? "%.1f" : a >= 1 ? "%.2f" : "%.4f", r);
        return s.contains(".") ? s.replaceAll("0+$", "").replaceAll("\\.$", "") : s;
    }

    static String with(double v, String unit) {
        double a = Math.abs(v);
        if (unit.equals("1/s")) {
            return number(v) + "/s";
        }
        boolean rate = unit.endsWith("/s");
        String base = rate ? unit.substring(0, unit.length() - 2) : unit;
        int step = a >= 1e9 ? 3 : a >= 1e6 ? 2 : a >= 1e3 ? 1 : 0;
        String[] units = base.equals("ns") ? TIMES : base.equals("B") ? BYTES : new String[] {base};
        step = Math.min(step, units.length - (rate && units == TIMES ? 2 : 1));
        return number(v / Math.pow(1000, step)) + (unit.isEmpty() ? "" : " " + units[step] + (rate ? "/s" : ""));
    }

    /** As a part of something: 0.0012, 0.31, 3.2. */
    static String part(double v) {
        return Double.isInfinite(v) ? "never" : v > 1000 ? "over 1,000" : number(v);
    }
}
