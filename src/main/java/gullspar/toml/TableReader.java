package gullspar.toml;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads one table of a TOML text strictly: every key that is not read, and every value of a wrong type or out
 * of range, is recorded as a problem at its position. Reading continues with a substitute value, so that all
 * problems are reported at once.
 */
public final class TableReader {
    /** The default of a key that is known to be present, and so never returned. */
    private static final double UNUSED_DEFAULT = Double.NaN;

    /** A parsed table, and the number of lines ahead of the text from which it was parsed. */
    record Part(TomlTable table, int lineOffset) {}

    private static final TomlTable EMPTY = Toml.parse("");

    /** A single part unless the text was parsed in blocks; only arrays of tables span several parts. */
    private final List<Part> parts;

    private final String name;
    private final TomlPosition position;
    private final List<Problem> problems;
    private final Set<String> readKeys = new HashSet<>();

    public TableReader(TomlTable table, String name, TomlPosition position, List<Problem> problems) {
        this(List.of(new Part(table, 0)), name, position, problems);
    }

    TableReader(List<Part> parts, String name, TomlPosition position, List<Problem> problems) {
        this.parts = parts;
        this.name = name;
        this.position = position;
        this.problems = problems;
    }

    /** Returns where the table begins. */
    public TomlPosition position() {
        return position;
    }

    /** Returns the part that has the key; the first one if none has. */
    private Part part(String key) {
        for (Part p : parts) {
            if (p.table.contains(List.of(key))) {
                return p;
            }
        }
        return parts.get(0);
    }

    private static TomlPosition shift(TomlPosition p, int lineOffset) {
        return lineOffset == 0 ? p : TomlPosition.positionAt(p.line() + lineOffset, p.column());
    }

    private TomlPosition positionOf(String key) {
        Part part = part(key);
        TomlPosition p = part.table.inputPositionOf(List.of(key));
        return p == null ? position : shift(p, part.lineOffset);
    }

    private void addProblemAt(TomlPosition at, String message) {
        problems.add(new Problem(at.line(), at.column(), message));
    }

    /** Records a problem with the value of a key. */
    public void addProblem(String key, String message) {
        addProblemAt(positionOf(key), key + " " + message);
    }

    /** Records a problem with the table as a whole. */
    public void addProblem(String message) {
        addProblemAt(position, message);
    }

    private Object value(String key) {
        readKeys.add(key);
        return part(key).table.get(List.of(key));
    }

    /** Returns whether the key is present, and counts it as read. */
    public boolean has(String key) {
        readKeys.add(key);
        return part(key).table.contains(List.of(key));
    }

    /** Returns whether the value is a number, without counting the key as read. */
    public boolean isNumber(String key) {
        return part(key).table.get(List.of(key)) instanceof Number;
    }

    private void addMissing(String key) {
        addProblemAt(position, (name.isEmpty() ? "" : name + ": ") + key + " is missing");
    }

    private static String typeName(Object value) {
        if (value instanceof String) {
            return "a string";
        } else if (value instanceof Long || value instanceof Double) {
            return "a number";
        } else if (value instanceof Boolean) {
            return "true or false";
        } else if (value instanceof TomlArray) {
            return "an array";
        }
        return value instanceof TomlTable ? "a table" : "a date or time";
    }

    private boolean checkRange(String key, double v, double min, double max) {
        if (v >= min && v <= max) {
            return true;
        }
        addProblem(
                key,
                "is " + formatNumber(v) + ", not " + formatNumber(min)
                        + (max < 1e300 ? " to " + formatNumber(max) : " or more"));
        return false;
    }

    /** Formats a whole number without a fraction. */
    public static String formatNumber(double v) {
        return v == Math.rint(v) && Math.abs(v) < 1e15 ? Long.toString((long) v) : String.valueOf(v);
    }

    /** Reads a required number; min if it is missing or invalid. */
    public double number(String key, double min, double max) {
        if (!has(key)) {
            addMissing(key);
            return min;
        }
        return number(key, UNUSED_DEFAULT, min, max);
    }

    /** Reads an optional number; min if it is invalid. */
    public double number(String key, double defaultValue, double min, double max) {
        Object v = value(key);
        if (v == null) {
            return defaultValue;
        }
        if (!(v instanceof Number n)) {
            addProblem(key, "must be a number, not " + typeName(v));
            return min;
        }
        return checkRange(key, n.doubleValue(), min, max) ? n.doubleValue() : min;
    }

    /** Reads a required integer; min if it is missing or invalid. */
    public int integer(String key, int min, int max) {
        if (!has(key)) {
            addMissing(key);
            return min;
        }
        return integer(key, min, min, max);
    }

    /** Reads an optional integer; min if it is invalid. */
    public int integer(String key, int defaultValue, int min, int max) {
        Object v = value(key);
        if (v == null) {
            return defaultValue;
        }
        if (!(v instanceof Long n)) {
            addProblem(key, "must be a whole number, not " + (v instanceof Double ? String.valueOf(v) : typeName(v)));
            return min;
        }
        return checkRange(key, n, min, max) ? (int) (long) n : min;
    }

    /** Reads an optional boolean; the default if it is invalid. */
    public boolean bool(String key, boolean defaultValue) {
        Object v = value(key);
        if (v == null || v instanceof Boolean) {
            return v == null ? defaultValue : (Boolean) v;
        }
        addProblem(key, "must be true or false, not " + typeName(v));
        return defaultValue;
    }

    /** Reads a required string; empty if it is missing or invalid. */
    public String string(String key) {
        if (!has(key)) {
            addMissing(key);
            return "";
        }
        return string(key, "");
    }

    /** Reads an optional string; the default if it is invalid. */
    public String string(String key, String defaultValue) {
        Object v = value(key);
        if (v == null || v instanceof String) {
            return v == null ? defaultValue : (String) v;
        }
        addProblem(key, "must be a string, not " + typeName(v));
        return defaultValue;
    }

    /** Reads the name of an enum constant, in lower case with hyphens; required if the default is null. */
    public <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
        if (defaultValue == null && !has(key)) {
            addMissing(key);
            return type.getEnumConstants()[0];
        }
        String text = string(key, null);
        if (text == null) {
            return defaultValue == null ? type.getEnumConstants()[0] : defaultValue;
        }
        List<String> names = new ArrayList<>();
        for (E e : type.getEnumConstants()) {
            names.add(tomlName(e));
            if (tomlName(e).equals(text)) {
                return e;
            }
        }
        addProblem(key, "is '" + text + "', not one of " + String.join(", ", names));
        return type.getEnumConstants()[0];
    }

    /** Returns the name of an enum constant as it is written in TOML. */
    public static String tomlName(Enum<?> e) {
        return e.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Reads a required number, or an array of two as the bounds of a range. */
    public Range range(String key, double min, double max) {
        if (!has(key)) {
            addMissing(key);
            return new Range(min, min);
        }
        return range(key, new Range(min, min), min, max);
    }

    /** Reads an optional number or range of two numbers. */
    public Range range(String key, Range defaultValue, double min, double max) {
        Object v = value(key);
        if (v == null) {
            return defaultValue;
        }
        if (v instanceof Number) {
            double n = number(key, min, max);
            return new Range(n, n);
        }
        if (!(v instanceof TomlArray a)
                || a.size() != 2
                || !(a.get(0) instanceof Number)
                || !(a.get(1) instanceof Number)) {
            addProblem(
                    key,
                    "must be a number or an array of two numbers, not "
                            + (v instanceof TomlArray ? "another array" : typeName(v)));
            return defaultValue;
        }
        Range r = new Range(((Number) a.get(0)).doubleValue(), ((Number) a.get(1)).doubleValue());
        if (r.from() > r.to()) {
            addProblem(key, "runs from the larger to the smaller");
        } else {
            checkRange(key, r.from(), min, max);
            checkRange(key, r.to(), min, max);
        }
        return r;
    }

    /** Reads a string or an array of distinct strings. */
    public List<String> stringList(String key, List<String> defaultValue) {
        Object v = value(key);
        if (v == null) {
            return defaultValue;
        }
        if (v instanceof String s) {
            return List.of(s);
        }
        List<String> texts = new ArrayList<>();
        if (v instanceof TomlArray a) {
            for (int i = 0; i < a.size(); i++) {
                if (!(a.get(i) instanceof String s)) {
                    addProblemAt(
                            shift(a.inputPositionOf(i), part(key).lineOffset),
                            key + " must hold strings, not " + typeName(a.get(i)));
                } else if (texts.contains(s)) {
                    addProblemAt(shift(a.inputPositionOf(i), part(key).lineOffset), key + " holds '" + s + "' twice");
                } else {
                    texts.add(s);
                }
            }
            return texts;
        }
        addProblem(key, "must be an array of strings, not " + typeName(v));
        return defaultValue;
    }

    /** Reads a table with arbitrary keys and string values, in order; empty if it is absent. */
    public Map<String, String> stringTable(String key) {
        TableReader f = table(key);
        Map<String, String> values = new LinkedHashMap<>();
        f.parts.get(0).table.keySet().forEach(k -> values.put(k, f.string(k, "")));
        return values;
    }

    /** Reads a nested table; empty if it is absent. */
    public TableReader table(String key) {
        Object v = value(key);
        if (v != null && !(v instanceof TomlTable)) {
            addProblem(key, "must be a table, not " + typeName(v));
        }
        TomlTable t = v instanceof TomlTable nested ? nested : EMPTY;
        return new TableReader(
                List.of(new Part(t, part(key).lineOffset)),
                name.isEmpty() ? key : name + "." + key,
                positionOf(key),
                problems);
    }

    /** Reads an array of tables. */
    public List<TableReader> tables(String key) {
        Object first = value(key);
        List<TableReader> list = new ArrayList<>();
        if (first != null && !(first instanceof TomlArray)) {
            addProblem(key, "must be an array of tables ([[" + key + "]]), not " + typeName(first));
            return list;
        }
        for (Part p : parts) {
            if (p.table.get(List.of(key)) instanceof TomlArray a) {
                tables(key, a, p.lineOffset, list);
            }
        }
        return list;
    }

    private void tables(String key, TomlArray a, int lineOffset, List<TableReader> list) {
        for (int i = 0; i < a.size(); i++) {
            TomlPosition position = shift(a.inputPositionOf(i), lineOffset);
            if (a.get(i) instanceof TomlTable t) {
                list.add(new TableReader(List.of(new Part(t, lineOffset)), key, position, problems));
            } else {
                addProblemAt(position, key + " must hold tables, not " + typeName(a.get(i)));
            }
        }
    }

    /** Records a problem for each key that has not been read; must be called last. */
    public void rejectUnknownKeys() {
        Set<String> reported = new HashSet<>();
        for (Part p : parts) {
            for (String key : p.table.keySet()) {
                if (!readKeys.contains(key) && reported.add(key)) {
                    addProblemAt(positionOf(key), (name.isEmpty() ? "" : name + ": ") + "unknown key '" + key + "'");
                }
            }
        }
    }
}
