package gullspar.settings;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Profile;
import gullspar.decide.Balancer.Scope;
import gullspar.decide.Balancer.Settings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Parses settings given as paths and values, as in the Start event of the simulator. Unknown keys are ignored; a
 * SettingsException names a key that is missing or has an invalid value.
 */
public final class SettingsParser {
    private final Map<String, String> values;

    private SettingsParser(Map<String, String> values) {
        this.values = values;
    }

    /** The settings, and the names of the values in a load report in their order. */
    public record Parsed(Settings settings, String[] columns) {}

    /** Parses lines of the form path=value; other lines are ignored. */
    public static Parsed parse(String text) {
        Map<String, String> values = new HashMap<>();
        for (String line : text.split("\n")) {
            int eq = line.indexOf('=');
            if (eq > 0) {
                values.put(line.substring(0, eq).trim(), line.substring(eq + 1).trim());
            }
        }
        return parse(values);
    }

    /** Parses settings by path. */
    public static Parsed parse(Map<String, String> values) {
        SettingsParser parser = new SettingsParser(values);
        List<Profile> profiles = new ArrayList<>();
        long count = parser.integer("profiles.count");
        if (count < 1 || count > 256) {
            throw new SettingsException("setting profiles.count is " + count + ", must be 1 to 256");
        }
        for (int i = 0; i < count; i++) {
            profiles.add(parser.profile("profiles." + i + "."));
        }
        String columns = parser.values.getOrDefault("report.columns", "");
        return new Parsed(parser.settings(profiles), columns.isEmpty() ? new String[0] : columns.split(",", -1));
    }

    private Profile profile(String prefix) {
        Effect effect = enumValue(prefix + "effect", Effect.class, null);
        return new Profile(
                effect,
                enumValue(prefix + "dedup_scope", Scope.class, Scope.ALL),
                effect == Effect.DEDUPLICATED ? integer(prefix + "window_ns") : 0,
                integer(prefix + "promise_ns"),
                integer(prefix + "give_up_ns"),
                number(prefix + "worth"),
                number(prefix + "late_share", 0),
                flag(prefix + "streamed"),
                flag(prefix + "sequential"));
    }

    private Settings settings(List<Profile> profiles) {
        boolean listOnRequest = "on_request".equals(values.get("discovery"));
        return new Settings(
                (int) integer("me"),
                (int) integer("balancers"),
                (int) integer("zone"),
                profiles,
                listOnRequest,
                flag("limits.cancelling"),
                (int) integer("limits.max_attempts"),
                flag("limits.retry_after") ? (long) number("limits.max_retry_after_ns", 0) : 0,
                number("rules.start_capacity"),
                integer("rules.cold_ns"),
                number("rules.tip_multiple"),
                integer("rules.fall_ns"),
                listOnRequest ? integer("rules.ask_within_ns") : 0,
                integer("step_ns"),
                number("prices.cross_zone", 0),
                flag("rules.busy_is_no_proof"),
                integer("rules.turn_gap_ns", 0));
    }

    private String required(String key) {
        String v = values.get(key);
        if (v == null) {
            throw new SettingsException("setting " + key + " is missing");
        }
        return v;
    }

    private long integer(String key) {
        String v = required(key);
        try {
            return Long.parseLong(v);
        } catch (NumberFormatException e) {
            throw new SettingsException("setting " + key + " is not a whole number: " + v);
        }
    }

    private long integer(String key, long defaultValue) {
        return values.containsKey(key) ? integer(key) : defaultValue;
    }

    private double number(String key) {
        String v = required(key);
        try {
            double d = Double.parseDouble(v);
            if (Double.isFinite(d)) {
                return d;
            }
        } catch (NumberFormatException e) {
            // reported below, as are infinities and NaN
        }
        throw new SettingsException("setting " + key + " is not a number: " + v);
    }

    private double number(String key, double defaultValue) {
        return values.containsKey(key) ? number(key) : defaultValue;
    }

    /** False unless the value is "true". */
    private boolean flag(String key) {
        return "true".equals(values.get(key));
    }

    /** The constant of this name in any case. Without a default value the key is required. */
    private <E extends Enum<E>> E enumValue(String key, Class<E> type, E defaultValue) {
        String v = defaultValue == null ? required(key) : values.get(key);
        if (v == null || v.isEmpty()) {
            return defaultValue;
        }
        try {
            return Enum.valueOf(type, v.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            String allowed = Arrays.toString(type.getEnumConstants()).toLowerCase(Locale.ROOT);
            throw new SettingsException(
                    "setting " + key + " has an unknown value: " + v + ", must be one of " + allowed);
        }
    }
}
