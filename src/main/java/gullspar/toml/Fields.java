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
 * One table of a TOML text, read strictly: every key that is not asked for, every value of a wrong type or
 * out of its bounds becomes a problem at its place, and reading goes on, so that all problems come at once.
 */
public final class Fields {
    /** A value in place of one that is missing or wrong, so that reading can go on. */
    private static final double NOTHING = Double.NaN;

    /** A table as it was parsed, and how many lines stand ahead of the text that it was parsed from. */
    record Part(TomlTable table, int below) {}

    private static final TomlTable NONE = Toml.parse("");

    /** One, but for a text that was parsed in blocks: each key but arrays of tables is in one of them. */
    private final List<Part> parts;

    private final String name;
    private final TomlPosition place;
    private final List<Problem> problems;
    private final Set<String> asked = new HashSet<>();

    public Fields(TomlTable table, String name, TomlPosition place, List<Problem> problems) {
        this(List.of(new Part(table, 0)), name, place, problems);
    }

    Fields(List<Part> parts, String name, TomlPosition place, List<Problem> problems) {
        this.parts = parts;
        this.name = name;
        this.place = place;
        this.problems = problems;
    }

    public TomlPosition place() {
        return place;
    }

    /** The part that holds the key; the first one if none does. */
    private Part part(String key) {
        for (Part p : parts) {
            if (p.table.contains(List.of(key))) {
                return p;
            }
        }
        return parts.get(0);
    }

    private static TomlPosition moved(TomlPosition p, int below) {
        return below == 0 ? p : TomlPosition.positionAt(p.line() + below, p.column());
    }

    private TomlPosition at(String key) {
        Part in = part(key);
        TomlPosition p = in.table.inputPositionOf(List.of(key));
        return p == null ? place : moved(p, in.below);
    }

    private void problem(TomlPosition at, String what) {
        problems.add(new Problem(at.line(), at.column(), what));
    }

    /** Something is wrong with the value of a key. */
    public void wrong(String key, String what) {
        problem(at(key), key + " " + what);
    }

    /** Something is wrong with the table as a whole. */
    public void wrong(String what) {
        problem(place, what);
    }

    private Object value(String key) {
        asked.add(key);
        return part(key).table.get(List.of(key));
    }

    public boolean has(String key) {
        asked.add(key);
        return part(key).table.contains(List.of(key));
    }

    public boolean isNumber(String key) {
        return part(key).table.get(List.of(key)) instanceof Number;
    }

    private void missing(String key) {
        problem(place, (name.isEmpty() ? "" : name + ": ") + key + " is missing");
    }

    private static String kind(Object value) {
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

    private boolean within(String key, double v, double least, double most) {
        if (v >= least && v <= most) {
            return true;
        }
        wrong(key, "is " + plain(v) + ", not " + plain(least) + (most < 1e300 ? " to " + plain(most) : " or more"));
        return false;
    }

    public static String plain(double v) {
        return v == Math.rint(v) && Math.abs(v) < 1e15 ? Long.toString((long) v) : String.valueOf(v);
    }

    /** A number that must be there. */
    public double number(String key, double least, double most) {
        if (!has(key)) {
            missing(key);
            return least;
        }
        return number(key, NOTHING, least, most);
    }

    public double number(String key, double absent, double least, double most) {
        Object v = value(key);
        if (v == null) {
            return absent;
        }
        if (!(v instanceof Number n)) {
            wrong(key, "must be a number, not " + kind(v));
            return least;
        }
        return within(key, n.doubleValue(), least, most) ? n.doubleValue() : least;
    }

    /** A whole number that must be there. */
    public int whole(String key, int least, int most) {
        if (!has(key)) {
            missing(key);
            return least;
        }
        return whole(key, least, least, most);
    }

    public int whole(String key, int absent, int least, int most) {
        Object v = value(key);
        if (v == null) {
            return absent;
        }
        if (!(v instanceof Long n)) {
            wrong(key, "must be a whole number, not " + (v instanceof Double ? String.valueOf(v) : kind(v)));
            return least;
        }
        return within(key, n, least, most) ? (int) (long) n : least;
    }

    public boolean flag(String key, boolean absent) {
        Object v = value(key);
        if (v == null || v instanceof Boolean) {
            return v == null ? absent : (Boolean) v;
        }
        wrong(key, "must be true or false, not " + kind(v));
        return absent;
    }

    public String text(String key) {
        if (!has(key)) {
            missing(key);
            return "";
        }
        return text(key, "");
    }

    public String text(String key, String absent) {
        Object v = value(key);
        if (v == null || v instanceof String) {
            return v == null ? absent : (String) v;
        }
        wrong(key, "must be a string, not " + kind(v));
        return absent;
    }

    /** One of the names of an enumeration, in small letters with hyphens. */
    public <E extends Enum<E>> E choice(String key, Class<E> type, E absent) {
        if (absent == null && !has(key)) {
            missing(key);
            return type.getEnumConstants()[0];
        }
        String text = text(key, null);
        if (text == null) {
            return absent == null ? type.getEnumConstants()[0] : absent;
        }
        List<String> names = new ArrayList<>();
        for (E e : type.getEnumConstants()) {
            names.add(named(e));
            if (named(e).equals(text)) {
                return e;
            }
        }
        wrong(key, "is '" + text + "', not one of " + String.join(", ", names));
        return type.getEnumConstants()[0];
    }

    public static String named(Enum<?> e) {
        return e.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** A number, or a range of two to draw from. */
    public Range range(String key, double least, double most) {
        if (!has(key)) {
            missing(key);
            return new Range(least, least);
        }
        return range(key, new Range(least, least), least, most);
    }

    public Range range(String key, Range absent, double least, double most) {
        Object v = value(key);
        if (v == null) {
            return absent;
        }
        if (v instanceof Number) {
            double n = number(key, least, most);
            return new Range(n, n);
        }
        if (!(v instanceof TomlArray a)
                || a.size() != 2
                || !(a.get(0) instanceof Number)
                || !(a.get(1) instanceof Number)) {
            wrong(
                    key,
                    "must be a number or an array of two, not " + (v instanceof TomlArray ? "another array" : kind(v)));
            return absent;
        }
        Range r = new Range(((Number) a.get(0)).doubleValue(), ((Number) a.get(1)).doubleValue());
        if (r.from() > r.to()) {
            wrong(key, "runs from the larger to the smaller");
        } else {
            within(key, r.from(), least, most);
            within(key, r.to(), least, most);
        }
        return r;
    }

    /** Strings, none twice. */
    public List<String> texts(String key, List<String> absent) {
        Object v = value(key);
        if (v == null) {
            return absent;
        }
        if (v instanceof String s) {
            return List.of(s);
        }
        List<String> texts = new ArrayList<>();
        if (v instanceof TomlArray a) {
            for (int i = 0; i < a.size(); i++) {
                if (!(a.get(i) instanceof String s)) {
                    problem(
                            moved(a.inputPositionOf(i), part(key).below),
                            key + " must hold strings, not " + kind(a.get(i)));
                } else if (texts.contains(s)) {
                    problem(moved(a.inputPositionOf(i), part(key).below), key + " holds '" + s + "' twice");
                } else {
                    texts.add(s);
                }
            }
            return texts;
        }
        wrong(key, "must be an array of strings, not " + kind(v));
        return absent;
    }

    /** A table whose keys are free and whose values are strings, in their order; empty if it is not there. */
    public Map<String, String> strings(String key) {
        Fields f = table(key);
        Map<String, String> values = new LinkedHashMap<>();
        f.parts.get(0).table.keySet().forEach(k -> values.put(k, f.text(k, "")));
        return values;
    }

    /** The table of that name; an empty one if it is not there. */
    public Fields table(String key) {
        Object v = value(key);
        if (v != null && !(v instanceof TomlTable)) {
            wrong(key, "must be a table, not " + kind(v));
        }
        TomlTable t = v instanceof TomlTable there ? there : NONE;
        return new Fields(
                List.of(new Part(t, part(key).below)), name.isEmpty() ? key : name + "." + key, at(key), problems);
    }

    /** The tables of an array of tables. */
    public List<Fields> tables(String key) {
        Object first = value(key);
        List<Fields> list = new ArrayList<>();
        if (first != null && !(first instanceof TomlArray)) {
            wrong(key, "must be an array of tables ([[" + key + "]]), not " + kind(first));
            return list;
        }
        for (Part p : parts) {
            if (p.table.get(List.of(key)) instanceof TomlArray a) {
                tables(key, a, p.below, list);
            }
        }
        return list;
    }

    private void tables(String key, TomlArray a, int below, List<Fields> list) {
        for (int i = 0; i < a.size(); i++) {
            TomlPosition at = moved(a.inputPositionOf(i), below);
            if (a.get(i) instanceof TomlTable t) {
                list.add(new Fields(List.of(new Part(t, below)), key, at, problems));
            } else {
                problem(at, key + " must hold tables, not " + kind(a.get(i)));
            }
        }
    }

    /** To be called last: what has not been asked for is not known. */
    public void noOthers() {
        Set<String> said = new HashSet<>();
        for (Part p : parts) {
            for (String key : p.table.keySet()) {
                if (!asked.contains(key) && said.add(key)) {
                    problem(at(key), (name.isEmpty() ? "" : name + ": ") + "unknown key '" + key + "'");
                }
            }
        }
    }
}
