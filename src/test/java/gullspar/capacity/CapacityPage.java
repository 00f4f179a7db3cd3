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
 * Computes the tables of docs/CAPACITY.md and docs/ROADMAP.md from the measured results, the design
 * parameters and the rows, and writes them between their markers. Run by {@code bench/scale/page.sh}.
 */
public final class CapacityPage {
    private static final Map<String, String> EVENT_TITLES = eventTitles();

    private final DesignParameters design;
    private final Map<String, LinearFit> fits = new TreeMap<>();
    private final List<CapacityRow> rows;

    private final String answers;

    CapacityPage(Path folder) {
        this.design = DesignParameters.read(folder.resolve("letter.toml"));
        this.rows = CapacityRows.read(folder.resolve("rows.toml"));
        this.answers = readIfExists(folder.resolve("answers.md"));
        Results.read(folder.resolve("results")).series().forEach((id, s) -> fits.put(id, LinearFit.of(s)));
        List<String> problems = CapacityRows.problems(rows, fits, design);
        if (!problems.isEmpty()) {
            throw new CapacityException(String.join("\n", problems));
        }
    }

    private static String readIfExists(Path file) {
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
                Files.writeString(file, page.fillTables(Files.readString(file), name));
            }
        } catch (CapacityException e) {
            System.err.println(e.getMessage());
            System.exit(1);
        }
    }

    private static Map<String, String> eventTitles() {
        Map<String, String> titles = new LinkedHashMap<>();
        titles.put("rest", "at rest");
        titles.put("peak", "peak");
        titles.put("machine-dies", "a machine dies");
        titles.put("rolling-restart", "rolling restart");
        titles.put("rack", "a rack");
        titles.put("zone", "a zone");
        titles.put("regions", "regions apart");
        titles.put("outage", "control gone for ten minutes");
        titles.put("burst", "100 changes");
        return titles;
    }

    List<CapacityRow> rows() {
        return rows;
    }

    // ---- markers ----

    private static String beginMarker(String table) {
        return "<!-- written by bench/scale/page.sh: " + table + " -->\n";
    }

    private static final String END_MARKER = "<!-- end -->\n";

    /** Returns the page with the content of each of its tables replaced by the current one. */
    String fillTables(String oldPage, String name) {
        String page = oldPage;
        boolean found = false;
        for (Map.Entry<String, String> table : tables().entrySet()) {
            int from = page.indexOf(beginMarker(table.getKey()));
            if (from < 0) {
                continue;
            }
            found = true;
            from += beginMarker(table.getKey()).length();
            int to = page.indexOf(END_MARKER, from);
            if (to < 0) {
                throw new CapacityException(name + ": no end marker after the table '" + table.getKey() + "'");
            }
            page = page.substring(0, from) + "\n" + table.getValue() + "\n" + page.substring(to);
        }
        if (!found) {
            throw new CapacityException(name + ": no marker of a table found");
        }
        return page;
    }

    /** Returns a line for each required table that the page lacks or that differs from the current one. */
    List<String> outdatedTables(String page, String name, List<String> required) {
        List<String> problems = new ArrayList<>();
        for (String table : required) {
            if (!tables().containsKey(table)) {
                throw new IllegalArgumentException(table);
            }
            if (!page.contains(beginMarker(table))) {
                problems.add(name + " lacks the table '" + table + "'");
            } else if (!page.contains(beginMarker(table) + "\n" + tables().get(table) + "\n" + END_MARKER)) {
                problems.add(name + ": the table '" + table + "' differs from the results; run bench/scale/page.sh");
            }
        }
        return problems;
    }

    Map<String, String> tables() {
        Map<String, String> tables = new LinkedHashMap<>();
        tables.put("sizes", sizesTable());
        tables.put("answers", answers());
        tables.put("choice", missingMechanisms());
        tables.put("limits", breakingLimits());
        CapacityRows.ROLES.forEach(role -> tables.put("role " + role, roleTable(role)));
        tables.put("series", seriesTable());
        tables.put("runs", runsTable());
        return tables;
    }

    // ---- answers ----

    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^}]*)}}");

    /**
     * Returns the text of answers.md with its placeholders replaced: {{value ROW}}, {{breaks ROW}},
     * {{part ROW}}, {{seen SERIES SIZE}} and {{slope SERIES}}.
     */
    private String answers() {
        return PLACEHOLDER.matcher(answers).replaceAll(m -> Matcher.quoteReplacement(resolvePlaceholder(m.group(1))));
    }

    private String resolvePlaceholder(String placeholder) {
        String[] words = placeholder.split(" ");
        CapacityRow row = words.length == 2
                ? rows.stream().filter(r -> r.id().equals(words[1])).findFirst().orElse(null)
                : null;
        LinearFit fit = words.length > 1 ? fits.get(words[1]) : null;
        if (row != null) {
            BreakingPoint breakingPoint =
                    new BreakingPoint(row, row.breakingSize(fits, design), row.breakingRatio(fits, design));
            switch (words[0]) {
                case "value":
                    return NumberFormatter.withUnit(row.value(fits, design), row.unit());
                case "breaks":
                    return formatSize(breakingPoint);
                case "part":
                    return formatRatio(breakingPoint);
                default:
                    break;
            }
        }
        if (fit != null && words[0].equals("slope")) {
            return NumberFormatter.withUnit(fit.slope(), fit.series().unit());
        }
        if (fit != null
                && words[0].equals("seen")
                && words.length == 3
                && fit.series().sizes().contains(Double.valueOf(words[2]))) {
            return NumberFormatter.withUnit(
                    fit.series().medianAt(Double.parseDouble(words[2])),
                    fit.series().unit());
        }
        throw new CapacityException("answers.md: unknown placeholder '" + placeholder + "'");
    }

    // ---- tables ----

    private static String markdownTable(String header, List<List<String>> lines) {
        StringBuilder text =
                new StringBuilder("| " + header + " |\n|" + " --- |".repeat(header.split("\\|").length) + "\n");
        lines.forEach(l -> text.append("| ").append(String.join(" | ", l)).append(" |\n"));
        return text.toString();
    }

    private String sizesTable() {
        return markdownTable(
                "name | value | what",
                design.all().entrySet().stream()
                        .map(e -> List.of(
                                "`" + e.getKey() + "`",
                                NumberFormatter.withUnit(
                                        e.getValue().value(), e.getValue().unit()),
                                e.getValue().description()))
                        .toList());
    }

    private record BreakingPoint(CapacityRow row, double size, double ratio) {}

    private List<BreakingPoint> breakingPoints() {
        return rows.stream()
                .map(row -> new BreakingPoint(row, row.breakingSize(fits, design), row.breakingRatio(fits, design)))
                .sorted(Comparator.comparingDouble(BreakingPoint::ratio)
                        .thenComparing(b -> b.row().id()))
                .toList();
    }

    /**
     * Lists the missing mechanisms by their smallest breaking size; where two are equal to two digits, the one
     * that more rows depend on comes first.
     */
    private String missingMechanisms() {
        Map<String, List<BreakingPoint>> byMechanism = breakingPoints().stream()
                .filter(b -> !b.row().missingMechanism().isEmpty() && b.ratio() < 1)
                .collect(Collectors.groupingBy(b -> b.row().missingMechanism(), TreeMap::new, Collectors.toList()));
        List<Map.Entry<String, List<BreakingPoint>>> order = new ArrayList<>(byMechanism.entrySet());
        order.sort(Comparator.comparingDouble((Map.Entry<String, List<BreakingPoint>> e) ->
                        roundToTwoDigits(e.getValue().get(0).ratio()))
                .thenComparing(e -> -e.getValue().size()));
        List<List<String>> lines = new ArrayList<>();
        int rank = 0;
        for (Map.Entry<String, List<BreakingPoint>> e : order) {
            BreakingPoint first = e.getValue().get(0);
            lines.add(List.of(
                    String.valueOf(++rank),
                    "**" + e.getKey() + "**",
                    formatSize(first),
                    formatRatio(first),
                    first.row().description(),
                    formatLimit(first.row()),
                    String.valueOf(e.getValue().size()),
                    e.getValue().stream().map(b -> b.row().id()).collect(Collectors.joining(", "))));
        }
        return markdownTable(
                "place | mechanism that is missing | breaks at | part of the letter's | by this "
                        + "figure | "
                        + "its limit | rows that lean on it | which",
                lines);
    }

    private static double roundToTwoDigits(double ratio) {
        return ratio == 0 ? 0 : Double.parseDouble(String.format(java.util.Locale.ROOT, "%.1e", ratio));
    }

    private String breakingLimits() {
        return markdownTable(
                "row | breaks at | part of the letter's | figure at the letter's size | limit | carried by",
                breakingPoints().stream()
                        .filter(b -> b.ratio() < 1)
                        .map(b -> List.of(
                                b.row().id(),
                                formatSize(b),
                                formatRatio(b),
                                NumberFormatter.withUnit(
                                        b.row().value(fits, design), b.row().unit()),
                                formatLimit(b.row()),
                                formatMechanism(b.row())))
                        .toList());
    }

    private String formatSize(BreakingPoint breakingPoint) {
        return breakingPoint.size() < 1e-9
                ? "any size"
                : Double.isInfinite(breakingPoint.size())
                        ? "no size"
                        : NumberFormatter.number(breakingPoint.size()) + " "
                                + (NumberFormatter.number(breakingPoint.size()).equals("1")
                                                ? singular(breakingPoint.row().scaledBy())
                                                : breakingPoint.row().scaledBy())
                                        .replace('_', ' ');
    }

    private static String formatRatio(BreakingPoint breakingPoint) {
        return NumberFormatter.ratio(breakingPoint.ratio());
    }

    private String formatLimit(CapacityRow row) {
        DesignParameters.Parameter limit = design.get(row.limit());
        return NumberFormatter.withUnit(limit.value(), limit.unit()) + " (" + row.limit() + ")";
    }

    private static String formatMechanism(CapacityRow row) {
        return row.missingMechanism().isEmpty()
                ? row.mechanism()
                : (row.mechanism().isEmpty() ? "" : row.mechanism() + "; ") + "*missing*: " + row.missingMechanism();
    }

    private static String formatSource(CapacityRow row) {
        List<String> parts = new ArrayList<>();
        row.seriesIds().forEach(s -> parts.add("`" + s + "`"));
        if (!row.exactReason().isEmpty()) {
            parts.add(row.exactReason());
        }
        if (!row.measurementNeeded().isEmpty()) {
            parts.add("*assumed*; to be measured by " + row.measurementNeeded());
        }
        return String.join("; ", parts);
    }

    private String roleTable(String role) {
        List<CapacityRow> roleRows = rows.stream()
                .filter(r -> r.role().equals(role))
                .sorted(Comparator.comparingInt((CapacityRow r) ->
                        CapacityRows.EVENTS.indexOf(r.events().get(0))))
                .toList();
        return markdownTable(
                "row | when | quantity | figure | slope × size | at the letter's size | limit | "
                        + "breaks at | "
                        + "part | carried by | source",
                roleRows.stream()
                        .map(r -> {
                            BreakingPoint b =
                                    new BreakingPoint(r, r.breakingSize(fits, design), r.breakingRatio(fits, design));
                            return List.of(
                                    r.id(),
                                    r.events().stream().map(EVENT_TITLES::get).collect(Collectors.joining(", ")),
                                    r.quantity(),
                                    r.description(),
                                    r.formula(fits, design),
                                    NumberFormatter.withUnit(r.value(fits, design), r.unit()),
                                    formatLimit(r),
                                    formatSize(b),
                                    formatRatio(b),
                                    formatMechanism(r),
                                    formatSource(r));
                        })
                        .toList());
    }

    /** Returns the fits of the series that a row or answers.md uses; others are not on the page. */
    private List<LinearFit> usedFits() {
        Set<String> ids = new TreeSet<>();
        rows.forEach(r -> ids.addAll(r.seriesIds()));
        PLACEHOLDER
                .matcher(answers)
                .results()
                .map(m -> m.group(1).split(" "))
                .filter(a -> a.length > 1)
                .forEach(a -> ids.add(a[1]));
        return fits.values().stream().filter(f -> ids.contains(f.series().id())).toList();
    }

    private String seriesTable() {
        return markdownTable(
                "series | what | slope ± standard error | at 0 | sizes measured | runs a size, spread | "
                        + "held out: foretold, seen | run",
                usedFits().stream()
                        .map(f -> {
                            Series s = f.series();
                            return List.of(
                                    "`" + s.id() + "`",
                                    s.description() + formatFixed(s),
                                    f.isConstant()
                                            ? NumberFormatter.withUnit(f.intercept(), s.unit())
                                            : NumberFormatter.withUnit(f.slope(), s.unit()) + " a " + singular(s.axis())
                                                    + (Double.isNaN(f.slopeStandardError())
                                                            ? ""
                                                            : " ± " + NumberFormatter.number(f.slopeStandardError())),
                                    f.isConstant() ? "" : NumberFormatter.withUnit(f.intercept(), s.unit()),
                                    s.sizes().stream()
                                                    .map(NumberFormatter::number)
                                                    .collect(Collectors.joining("; ")) + " " + s.axis(),
                                    s.points().size() / s.sizes().size() + ", " + formatPercent(s.spread()),
                                    formatHeldOut(f),
                                    s.source().file());
                        })
                        .toList());
    }

    private static String formatFixed(Series series) {
        return series.fixed().isEmpty()
                ? ""
                : " ("
                        + new TreeMap<>(series.fixed())
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

    private static String formatHeldOut(LinearFit fit) {
        if (Double.isNaN(fit.predicted())) {
            return fit.isConstant() || fit.series().heldOut() == 0 ? "none" : "two sizes foretell nothing";
        }
        return NumberFormatter.number(fit.predicted()) + ", "
                + NumberFormatter.number(fit.series().medianAt(fit.series().heldOut()))
                + (fit.isLinear() ? "" : ": **not linear**");
    }

    private static String formatPercent(double ratio) {
        return NumberFormatter.number(Math.round(ratio * 1000) / 10.0) + "%";
    }

    private String runsTable() {
        return markdownTable(
                "run | script | date | commit | machine | seeds",
                usedFits().stream()
                        .map(f -> f.series().source())
                        .distinct()
                        .map(s ->
                                List.of(s.file(), "`" + s.script() + "`", s.date(), s.commit(), s.machine(), s.seeds()))
                        .toList());
    }
}
