package gullspar.importer;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses times, sizes and numbers in nginx's syntax. */
final class NginxValues {
    private static final Pattern TIME = Pattern.compile("(\\d+)(ms|[smhdwMy]?)\\s*");
    private static final Pattern SIZE = Pattern.compile("(\\d+)([kKmMgG]?)");

    private NginxValues() {}

    /** Parses a time such as 500ms, 10s or 1h30m; without a unit it is in seconds. */
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

    /** Parses a size such as 512, 8k or 1m and returns it in KiB. */
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

    static int parseInteger(String text) throws UntranslatableException {
        if (!text.matches("\\d{1,6}")) {
            throw new UntranslatableException("'" + text + "' is no number");
        }
        return Integer.parseInt(text);
    }
}
