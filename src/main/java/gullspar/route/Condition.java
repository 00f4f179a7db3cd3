package gullspar.route;

import java.util.List;
import java.util.regex.Pattern;

/** What a header must be like: there, of a value, or with a regular expression found in it. */
public record Condition(String header, String value, Pattern pattern) {
    /** The header is there, whatever it says. */
    public static Condition present(String header) {
        return new Condition(header, null, null);
    }

    boolean fits(Request r) {
        List<String> values = r.headers().all(header);
        if (pattern != null) {
            return values.stream().anyMatch(v -> pattern.matcher(v).find());
        }
        return value == null ? !values.isEmpty() : values.contains(value);
    }

    @Override
    public String toString() {
        return header + (pattern != null ? " ~ " + pattern : value != null ? " = " + value : " is there");
    }
}
