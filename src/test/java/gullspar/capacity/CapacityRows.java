package gullspar.capacity;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tomlj.TomlArray;
import org.tomlj.TomlTable;

/** Reads the rows of the page and validates them; each problem names its row. */
final class CapacityRows {
    /** The valid roles, events and quantities of rows, in the order of the page. */
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

    private CapacityRows() {}

    static List<CapacityRow> read(Path file) {
        List<CapacityRow> rows = new ArrayList<>();
        TomlArray tables = DesignParameters.parseToml(file).getArrayOrEmpty("row");
        for (int i = 0; i < tables.size(); i++) {
            rows.add(row(tables.getTable(i)));
        }
        return rows;
    }

    private static CapacityRow row(TomlTable table) {
        List<CapacityRow.Term> terms = new ArrayList<>();
        TomlArray termTables = table.getArrayOrEmpty("terms");
        for (int i = 0; i < termTables.size(); i++) {
            TomlTable termTable = termTables.getTable(i);
            terms.add(new CapacityRow.Term(
                    text(termTable, "series"),
                    text(termTable, "at"),
                    number(termTable, "value", 1),
                    number(termTable, "by", 1),
                    texts(termTable, "times"),
                    texts(termTable, "over")));
        }
        return new CapacityRow(
                text(table, "id"),
                text(table, "role"),
                texts(table, "events"),
                text(table, "quantity"),
                text(table, "what"),
                terms,
                text(table, "unit"),
                text(table, "limit"),
                text(table, "along"),
                text(table, "mechanism"),
                text(table, "missing"),
                text(table, "assumed"),
                text(table, "exact"));
    }

    private static String text(TomlTable table, String key) {
        return table.getString(key, () -> "");
    }

    private static double number(TomlTable table, String key, double defaultValue) {
        return table.get(key) instanceof Number n ? n.doubleValue() : defaultValue;
    }

    private static List<String> texts(TomlTable table, String key) {
        return table.getArrayOrEmpty(key).toList().stream().map(String::valueOf).toList();
    }

    /** Returns a line for each problem of the rows. */
    static List<String> problems(List<CapacityRow> rows, Map<String, LinearFit> fits, DesignParameters design) {
        List<String> problems = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        for (CapacityRow row : rows) {
            if (row.id().isEmpty() || !ids.add(row.id())) {
                problems.add("row '" + row.id() + "' (" + row.description() + ") has no unique id");
            }
            if (!ROLES.contains(row.role())) {
                problems.add("row " + row.id() + " has an unknown role: '" + row.role() + "'");
            }
            if (row.events().isEmpty() || !EVENTS.containsAll(row.events())) {
                problems.add("row " + row.id() + " has no event or an unknown one: " + row.events());
            }
            if (!QUANTITIES.contains(row.quantity())) {
                problems.add("row " + row.id() + " has an unknown quantity: '" + row.quantity() + "'");
            }
            problems.addAll(row.problems(fits, design));
        }
        return problems;
    }

    /** Returns a line for each role that has no row for an event or a quantity. */
    static List<String> gaps(List<CapacityRow> rows) {
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
