package gullspar.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Writes the tables of docs/CAPACITY.md and of docs/ROADMAP.md from the results, the letter's sizes and the
 * rows, between their markers. Called by {@code bench/scale/page.sh}.
 */
public final class CapacityPage {
    private static final Map<String, String> EVENTS = events();

    private final Letter letter;
    private final Map<String, Fit> fits = new TreeMap<>();
    private final List<Row> rows;

    private final String answers;

    CapacityPage(Path folder) {
        this.letter = Letter.read(folder.resolve("letter.toml"));
        this.rows = Rows.read(folder.resolve("rows.toml"));
        this.answers = text(folder.resolve("answers.md"));
        Results.read(folder.resolve("results")).series().forEach((id, s) -> fits.put(id, Fit.of(s)));
        List<String> faults = Rows.faults(rows, fits, letter);
        if (!faults.isEmpty()) {
            throw new CapacityException(String.join("\n", faults));
        }
    }

    private static String text(Path file) {
        try {
            return Files.exists(file) ? Files.readString(file) : "";
        } catch (IOException e) {
            throw new CapacityException(file + " cannot be read: " + e.getMessage());
        }
    }

    public static void main(String[] args) throws IOException {
        Path root = Path.of(args[0]);
        try {
            CapacityPage page = new CapacityPage(root.resolve("bench/scale"));
            for (String name : List.of("docs/CAPACITY.md", "docs/ROADMAP.md")) {
                Path file = root.resolve(name);
                Files.writeString(file, page.filled(Files.readString(file), name));
            }
        } catch (CapacityException e) {
            System.err.println(e.getMessage());
            System.exit(1);
        }
    }

    private static Map<String, String> events() {
        Map<String, String> e = new LinkedHashMap<>();
        e.put("rest", "at rest");
        e.put("peak", "peak");
        e.put("machine-dies", "a machine dies");
        e.put("rolling-restart", "rolling restart");
        e.put("rack", "a rack");
        e.put("zone", "a zone");
        e.put("regions", "regions apart");
        e.put("outage", "control gone for ten minutes");
        e.put("burst", "100 changes");
        return e;
    }

    List<Row> rows() {
        return rows;
    }

    // ---- markers ----

    private static String begin(String table) {
        return "<!-- written by bench/scale/page.sh: " + table + " -->\n";
    }

    private static final String END = "<!-- end -->\n";

    /** A page with its tables made anew. */
    String filled(String text, String name) {
        String page = text;
        boolean any = false;
        for (Map.Entry<String, String> t : tables().entrySet()) {
            int from = page.indexOf(begin(t.getKey()));
            if (from < 0) {
                continue;
            }
            any = true;
            from += begin(t.getKey()).length();
            int to = page.indexOf(END, from);
            if (to < 0) {
                throw new CapacityException(name + ": the table '" + t.getKey() + "' has no end");
            }
            page = page.substring(0, from) + "\n" + t.getValue() + "\n" + page.substring(to);
        }
        if (!any) {
            throw new CapacityException(name + ": has none of the tables");
        }
        return page;
    }

    /** What is out of date on a page, by the table's name; tables that it lacks, of those needed. */
    List<String> drift(String text, String name, List<String> needed) {
        List<String> wrong = new ArrayList<>();
        for (String table : needed) {
            if (!tables().containsKey(table)) {
                throw new IllegalArgumentException(table);
            }
            if (!text.contains(begin(table))) {
                wrong.add(name + " lacks the table '" + table + "'");
            } else if (!text.contains(begin(table) + "\n" + tables().get(table) + "\n" + END)) {
                wrong.add(name + ": the table '" + table
                        + "' is not what the results say; bench/scale/page.sh writes it");
            }
        }
        return wrong;
    }

    Map<String, String> tables() {
        Map<String, String> t = new LinkedHashMap<>();
        t.put("sizes", sizes());
        t.put("answers", answers());
        t.put("choice", choice());
        t.put("limits", limits());
        Rows.ROLES.forEach(role -> t.put("role " + role, role(role)));
        t.put("series", series());
        t.put("runs", runs());
        return t;
    }

    // ---- answers ----

    private static final Pattern FIGURE = Pattern.compile("\\{\\{([^}]*)}}");

    /**
     * The text of answers.md, its figures filled in: {{value ROW}}, {{breaks ROW}}, {{part ROW}},
     * {{seen SERIES SIZE}}, {{slope SERIES}}.
     */
    private String answers() {
        return FIGURE.matcher(answers).replaceAll(m -> Matcher.quoteReplacement(figure(m.group(1))));
    }

    private String figure(String asked) {
        String[] a = asked.split(" ");
        Row row = a.length == 2
                ? rows.stream().filter(r -> r.id().equals(a[1])).findFirst().orElse(null)
                : null;
        Fit fit = a.length > 1 ? fits.get(a[1]) : null;
        if (row != null) {
            Broken b = new Broken(row, row.breaksAt(fits, letter), row.part(fits, letter));
            switch (a[0]) {
                case "value":
                    return Show.with(row.value(fits, letter), row.unit());
                case "breaks":
                    return at(b);
                case "part":
                    return part(b);
                default:
                    break;
            }
        }
        if (fit != null && a[0].equals("slope")) {
            return Show.with(fit.slope(), fit.series().unit());
        }
        if (fit != null
                && a[0].equals("seen")
                && a.length == 3
                && fit.series().sizes().contains(Double.valueOf(a[2]))) {
            return Show.with(
                    fit.series().at(Double.parseDouble(a[2])), fit.series().unit());
        }
        throw new CapacityException("answers.md asks for '" + asked + "', which is no figure");
    }

    // ---- tables ----

    private static String table(String head, List<List<String>> lines) {
        StringBuilder b = new StringBuilder("| " + head + " |\n|" + " --- |".repeat(head.split("\\|").length) + "\n");
        lines.forEach(l -> b.append("| ").append(String.join(" | ", l)).append(" |\n"));
        return b.toString();
    }

    private String sizes() {
        return table(
                "name | value | what",
                letter.all().entrySet().stream()
                        .map(e -> List.of(
                                "`" + e.getKey() + "`",
                                Show.with(e.getValue().value(), e.getValue().unit()),
                                e.getValue().what()))
                        .toList());
    }

    private record Broken(Row row, double at, double part) {}

    private List<Broken> broken() {
        return rows.stream()
                .map(r -> new Broken(r, r.breaksAt(fits, letter), r.part(fits, letter)))
                .sorted(Comparator.comparingDouble(Broken::part)
                        .thenComparing(b -> b.row().id()))
                .toList();
    }

    /** By mechanism: the smallest breaking size first, ties (to two digits) by how many rows lean on it. */
    private String choice() {
        Map<String, List<Broken>> by = broken().stream()
                .filter(b -> !b.row().missing().isEmpty() && b.part() < 1)
                .collect(Collectors.groupingBy(b -> b.row().missing(), TreeMap::new, Collectors.toList()));
        List<Map.Entry<String, List<Broken>>> order = new ArrayList<>(by.entrySet());
        order.sort(Comparator.comparingDouble((Map.Entry<String, List<Broken>> e) ->
                        digits(e.getValue().get(0).part()))
                .thenComparing(e -> -e.getValue().size()));
        List<List<String>> lines = new ArrayList<>();
        int place = 0;
        for (Map.Entry<String, List<Broken>> e : order) {
            Broken first = e.getValue().get(0);
            lines.add(List.of(
                    String.valueOf(++place),
                    "**" + e.getKey() + "**",
                    at(first),
                    part(first),
                    first.row().what(),
                    limit(first.row()),
                    String.valueOf(e.getValue().size()),
                    e.getValue().stream().map(b -> b.row().id()).collect(Collectors.joining(", "))));
        }
        return table(
                "place | mechanism that is missing | breaks at | part of the letter's | by this "
                        + "figure | "
                        + "its limit | rows that lean on it | which",
                lines);
    }

    private static double digits(double part) {
        return part == 0 ? 0 : Double.parseDouble(String.format(java.util.Locale.ROOT, "%.1e", part));
    }

    private String limits() {
        return table(
                "row | breaks at | part of the letter's | figure at the letter's size | limit | " + "carried by",
                broken().stream()
                        .filter(b -> b.part() < 1)
                        .map(b -> List.of(
                                b.row().id(),
                                at(b),
                                part(b),
                                Show.with(b.row().value(fits, letter), b.row().unit()),
                                limit(b.row()),
                                mechanism(b.row())))
                        .toList());
    }

    private String at(Broken b) {
        return b.at() < 1e-9
                ? "any size"
                : Double.isInfinite(b.at())
                        ? "no size"
                        : Show.number(b.at()) + " "
                                + (Show.number(b.at()).equals("1")
                                                ? singular(b.row().along())
                                                : b.row().along())
                                        .replace('_', ' ');
    }

    private static String part(Broken b) {
        return Show.part(b.part());
    }

    private String limit(Row r) {
        Letter.Given g = letter.get(r.limit());
        return Show.with(g.value(), g.unit()) + " (" + r.limit() + ")";
    }

    private static String mechanism(Row r) {
        return r.missing().isEmpty()
                ? r.mechanism()
                : (r.mechanism().isEmpty() ? "" : r.mechanism() + "; ") + "*missing*: " + r.missing();
    }

    private static String source(Row r) {
        List<String> parts = new ArrayList<>();
        r.series().forEach(s -> parts.add("`" + s + "`"));
        if (!r.exact().isEmpty()) {
            parts.add(r.exact());
        }
        if (!r.assumed().isEmpty()) {
            parts.add("*assumed*; to be measured by " + r.assumed());
        }
        return String.join("; ", parts);
    }

    private String role(String role) {
        List<Row> mine = rows.stream()
                .filter(r -> r.role().equals(role))
                .sorted(Comparator.comparingInt(
                        (Row r) -> Rows.EVENTS.indexOf(r.events().get(0))))
                .toList();
        return table(
                "row | when | quantity | figure | slope × size | at the letter's size | limit | "
                        + "breaks at | "
                        + "part | carried by | source",
                mine.stream()
                        .map(r -> {
                            Broken b = new Broken(r, r.breaksAt(fits, letter), r.part(fits, letter));
                            return List.of(
                                    r.id(),
                                    r.events().stream().map(EVENTS::get).collect(Collectors.joining(", ")),
                                    r.quantity(),
                                    r.what(),
                                    r.shown(fits, letter),
                                    Show.with(r.value(fits, letter), r.unit()),
                                    limit(r),
                                    at(b),
                                    part(b),
                                    mechanism(r),
                                    source(r));
                        })
                        .toList());
    }

    /** Series that a row or an answer stands on; others are not on the page. */
    private List<Fit> used() {
        Set<String> ids = new TreeSet<>();
        rows.forEach(r -> ids.addAll(r.series()));
        FIGURE.matcher(answers)
                .results()
                .map(m -> m.group(1).split(" "))
                .filter(a -> a.length > 1)
                .forEach(a -> ids.add(a[1]));
        return fits.values().stream().filter(f -> ids.contains(f.series().id())).toList();
    }

    private String series() {
        return table(
                "series | what | slope ± standard error | at 0 | sizes measured | runs a size, spread | "
                        + "held out: foretold, seen | run",
                used().stream()
                        .map(f -> {
                            Series s = f.series();
                            return List.of(
                                    "`" + s.id() + "`",
                                    s.what() + fixed(s),
                                    f.constant()
                                            ? Show.with(f.intercept(), s.unit())
                                            : Show.with(f.slope(), s.unit()) + " a " + singular(s.axis())
                                                    + (Double.isNaN(f.slopeError())
                                                            ? ""
                                                            : " ± " + Show.number(f.slopeError())),
                                    f.constant() ? "" : Show.with(f.intercept(), s.unit()),
                                    s.sizes().stream().map(Show::number).collect(Collectors.joining("; ")) + " "
                                            + s.axis(),
                                    s.points().size() / s.sizes().size() + ", " + percent(s.spread()),
                                    heldOut(f),
                                    s.source().file());
                        })
                        .toList());
    }

    private static String fixed(Series s) {
        return s.fixed().isEmpty()
                ? ""
                : " ("
                        + new TreeMap<>(s.fixed())
                                .entrySet().stream()
                                        .map(e -> e.getKey() + " " + e.getValue())
                                        .collect(Collectors.joining(", "))
                        + ")";
    }

    private static String singular(String axis) {
        return axis.endsWith("proxies")
                ? axis.replace("proxies", "proxy")
                : axis.endsWith("s") ? axis.substring(0, axis.length() - 1) : axis;
    }

    private static String heldOut(Fit f) {
        if (Double.isNaN(f.foretold())) {
            return f.constant() || f.series().heldOut() == 0 ? "none" : "two sizes foretell nothing";
        }
        return Show.number(f.foretold()) + ", "
                + Show.number(f.series().at(f.series().heldOut())) + (f.linear() ? "" : ": **not linear**");
    }

    private static String percent(double part) {
        return Show.number(Math.round(part * 1000) / 10.0) + "%";
    }

    private String runs() {
        return table(
                "run | script | date | commit | machine | seeds",
                used().stream()
                        .map(f -> f.series().source())
                        .distinct()
                        .map(s ->
                                List.of(s.file(), "`" + s.script() + "`", s.date(), s.commit(), s.machine(), s.seeds()))
                        .toList());
    }
}
