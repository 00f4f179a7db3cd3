package gullspar.importer;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Times and sizes as nginx writes them. */
final class NginxValues {
    private static final Pattern TIME = Pattern.compile("(\\d+)(ms|[smhdwMy]?)\\s*");
    private static final Pattern SIZE = Pattern.compile("(\\d+)([kKmMgG]?)");

    private NginxValues() {}

    /** A time in ms: 500ms, 10s, 1h30m, and seconds where no unit is written. */
    static long parseMillis(String text) throws UntranslatableException {
        Matcher m = TIME.matcher(text);
        long sum = 0;
        int at = 0;
        while (at < text.length() && m.region(at, text.length()).lookingAt()) {
            long n = Long.parseLong(m.group(1).length() > 12 ? "999999999999" : m.group(1));
            sum += n
                    * switch (m.group(2)) {
                        case "ms" -> 1;
                        case "m" -> 60_000;
                        case "h" -> 3_600_000;
                        case "d" -> 86_400_000L;
                        case "w" -> 7 * 86_400_000L;
                        case "M" -> 30 * 86_400_000L;
                        case "y" -> 365 * 86_400_000L;
                        default -> 1000;
                    };
            at = m.end();
        }
        if (text.isEmpty() || at < text.length()) {
            throw new UntranslatableException("'" + text + "' is no time");
        }
        return sum;
    }

    /** A size in KiB. */
    static double parseKilobytes(String text) throws UntranslatableException {
        Matcher m = SIZE.matcher(text);
        if (!m.matches() || m.group(1).length() > 12) {
            throw new UntranslatableException("'" + text + "' is no size");
        }
        long n = Long.parseLong(m.group(1));
        return switch (m.group(2)) {
            case "k", "K" -> n;
            case "m", "M" -> n * 1024.0;
            case "g", "G" -> n * 1024.0 * 1024;
            default -> n / 1024.0;
        };
    }

    /** A whole number. */
    static int parseInteger(String text) throws UntranslatableException {
        if (!text.matches("\\d{1,6}")) {
            throw new UntranslatableException("'" + text + "' is no number");
        }
        return Integer.parseInt(text);
    }
}
