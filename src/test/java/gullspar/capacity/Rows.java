package gullspar.capacity;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tomlj.TomlArray;
import org.tomlj.TomlTable;

/** Reads the rows of the page and says what is wrong with them, each by its name. */
final class Rows {
    /** Who bears a figure, and when: in the page's order, with the page's words. */
    static final List<String> ROLES = List.of("serving", "control", "client", "machine", "backend", "operator"),
            EVENTS =
                    List.of(
                            "rest",
                            "peak",
                            "machine-dies",
                            "rolling-restart",
                            "rack",
                            "zone",
                            "regions",
                            "outage",
                            "burst"),
            QUANTITIES = List.of("state", "messages", "processor time", "memory");

    private Rows() {}

    static List<Row> read(Path file) {
        List<Row> rows = new ArrayList<>();
        TomlArray all = Letter.toml(file).getArrayOrEmpty("row");
        for (int i = 0; i < all.size(); i++) {
            rows.add(row(all.getTable(i)));
        }
        return rows;
    }

    private static Row row(TomlTable t) {
        List<Row.Term> terms = new ArrayList<>();
        TomlArray given = t.getArrayOrEmpty("terms");
        for (int i = 0; i < given.size(); i++) {
            TomlTable g = given.getTable(i);
            terms.add(new Row.Term(
                    text(g, "series"),
                    text(g, "at"),
                    number(g, "value", 1),
                    number(g, "by", 1),
                    texts(g, "times"),
                    texts(g, "over")));
        }
        return new Row(
                text(t, "id"),
                text(t, "role"),
                texts(t, "events"),
                text(t, "quantity"),
                text(t, "what"),
                terms,
                text(t, "unit"),
                text(t, "limit"),
                text(t, "along"),
                text(t, "mechanism"),
                text(t, "missing"),
                text(t, "assumed"),
                text(t, "exact"));
    }

    private static String text(TomlTable t, String key) {
        return t.getString(key, () -> "");
    }

    private static double number(TomlTable t, String key, double otherwise) {
        return t.get(key) instanceof Number n ? n.doubleValue() : otherwise;
    }

    private static List<String> texts(TomlTable t, String key) {
        return t.getArrayOrEmpty(key).toList().stream().map(String::valueOf).toList();
    }

    /** All that is wrong with rows, a line each. */
    static List<String> faults(List<Row> rows, Map<String, Fit> fits, Letter letter) {
        List<String> wrong = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (Row r : rows) {
            if (r.id().isEmpty() || !ids.add(r.id())) {
                wrong.add("row '" + r.id() + "' (" + r.what() + ") has no name of its own");
            }
            if (!ROLES.contains(r.role())) {
                wrong.add("row " + r.id() + " has no role: '" + r.role() + "'");
            }
            if (r.events().isEmpty() || !EVENTS.containsAll(r.events())) {
                wrong.add("row " + r.id() + " has no event: " + r.events());
            }
            if (!QUANTITIES.contains(r.quantity())) {
                wrong.add("row " + r.id() + " has no quantity: '" + r.quantity() + "'");
            }
            wrong.addAll(r.faults(fits, letter));
        }
        return wrong;
    }

    /** Roles that lack a row for an event or a quantity. */
    static List<String> gaps(List<Row> rows) {
        List<String> gaps = new ArrayList<>();
        for (String role : ROLES) {
            for (String event : EVENTS) {
                if (rows.stream()
                        .noneMatch(r -> r.role().equals(role) && r.events().contains(event))) {
                    gaps.add(role + " has no row for " + event);
                }
            }
            for (String q : QUANTITIES) {
                if (rows.stream()
                        .noneMatch(r -> r.role().equals(role) && r.quantity().equals(q))) {
                    gaps.add(role + " has no row for " + q);
                }
            }
        }
        return gaps;
    }
}
