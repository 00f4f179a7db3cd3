package gullspar.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The tables of docs/CAPACITY.md match the committed results, and incomplete rows and results are rejected. */
class CapacityTest {
    private static final Path SCALE = Path.of("bench/scale");
    private static final Path PAGE = Path.of("docs/CAPACITY.md"), ROADMAP = Path.of("docs/ROADMAP.md");
    private static final String RESULTS =
            """
        {"script":"bench/scale/x.sh","date":"2026-12-02","commit":"abc1234",
         "machine":{"cores":8,"memory_gib":24,"java":"17","kernel":"6"},"seeds":[1],
         "series":[{"id":"list.bytes","what":"bytes of a list","unit":"B","axis":"backends",
           "fixed":{"proxies":40},
           "points":[{"size":100,"value":1100},{"size":1000,"value":10100},{"size":6600,"value":66100}],
           "held_out":6600}]}
        """;
    private static final String DESIGN =
            """
        [letter]
        backends = { value = 6600, what = "backends" }
        bytes = { value = 10000, unit = "B", what = "bytes" }
        """;
    private static final String ROW =
            """
        [[row]]
        id = "list"
        role = "control"
        events = ["rest"]
        quantity = "messages"
        what = "a whole list"
        terms = [{ series = "list.bytes", at = "backends" }]
        unit = "B"
        limit = "bytes"
        along = "backends"
        mechanism = "the watch"
        """;

    @TempDir
    Path folder;

    @BeforeEach
    void writeInputs() throws IOException {
        Files.createDirectories(folder.resolve("results"));
        write("results/x.json", RESULTS);
        write("letter.toml", DESIGN);
        write("rows.toml", ROW);
    }

    private void write(String name, String text) throws IOException {
        Files.writeString(folder.resolve(name), text);
    }

    private String rejection() {
        return assertThrows(CapacityException.class, () -> new CapacityPage(folder))
                .getMessage();
    }

    // ---- the committed page ----

    @Test
    void committedPageMatchesTheCommittedResults() throws IOException {
        CapacityPage page = new CapacityPage(SCALE);
        assertEquals(
                List.of(),
                page.outdatedTables(
                        Files.readString(PAGE),
                        "CAPACITY.md",
                        List.copyOf(page.tables().keySet())));
        assertEquals(List.of(), page.outdatedTables(Files.readString(ROADMAP), "ROADMAP.md", List.of("choice")));
    }

    @Test
    void everyRoleHasARowForEveryEventAndQuantity() {
        assertEquals(List.of(), CapacityRows.gaps(new CapacityPage(SCALE).rows()));
    }

    @Test
    void everyCommittedSeriesNamesItsCommitAndDate() {
        Results.read(SCALE.resolve("results")).sources().values().forEach(s -> {
            assertTrue(s.commit().matches("[0-9a-f]{7,}"), s.file() + " has the commit " + s.commit());
            assertTrue(s.date().matches("20\\d\\d-\\d\\d-\\d\\d"), s.file() + " has the date " + s.date());
        });
    }

    // ---- invalid inputs ----

    @Test
    void outdatedTablesAreReported() throws IOException {
        CapacityPage page = new CapacityPage(folder);
        String empty = "<!-- written by bench/scale/page.sh: limits -->\n<!-- end -->\n";
        String filled = page.fillTables(empty, "page");
        assertEquals(List.of(), page.outdatedTables(filled, "page", List.of("limits")));
        assertEquals(
                List.of("page: the table 'limits' differs from the results; run bench/scale/page.sh"),
                page.outdatedTables(filled.replace("990 backends", "980 backends"), "page", List.of("limits")));
        assertEquals(List.of("page lacks the table 'choice'"), page.outdatedTables(filled, "page", List.of("choice")));
        write("results/x.json", RESULTS.replace("10100", "20100"));
        assertEquals(
                1,
                new CapacityPage(folder)
                        .outdatedTables(filled, "page", List.of("limits"))
                        .size());
    }

    @Test
    void fillingAPageTwiceGivesTheSamePage() {
        CapacityPage page = new CapacityPage(folder);
        String once = page.fillTables("a\n<!-- written by bench/scale/page.sh: series -->\n<!-- end -->\nb\n", "p");
        assertEquals(once, page.fillTables(once, "p"));
        assertTrue(once.startsWith("a\n") && once.endsWith("\nb\n"), once);
        assertEquals(
                "p: no end marker after the table 'series'",
                assertThrows(
                                CapacityException.class,
                                () -> page.fillTables("<!-- written by bench/scale/page.sh: series -->\n", "p"))
                        .getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "limit = \"bytes\"|row list has no limit|",
                "limit = \"bytes\"|row list has no limit: letter.toml has no such_limit|limit = \"such_limit\"",
                "mechanism = \"the watch\"|row list names neither a mechanism nor a missing one|",
                "terms = [{ series = \"list.bytes\", at = \"backends\" }]|row list has no source|",
                "series = \"list.bytes\"|row list has no source: no results contain list.words|series = \"list.words\"",
                "series = \"list.bytes\", at = \"backends\"|row list has no source: its constant is neither "
                        + "measured, nor marked as assumed or exact|value = 3",
                "role = \"control\"|row list has an unknown role: ''|",
                "events = [\"rest\"]|row list has no event or an unknown one: []|",
                "events = [\"rest\"]|row list has no event or an unknown one: [storm]|events = [\"storm\"]",
                "quantity = \"messages\"|row list has an unknown quantity: ''|",
                "along = \"backends\"|row list has an unknown size to increase: |",
                "id = \"list\"|row '' (a whole list) has no unique id|"
            })
    void incompleteRowsAreReported(String removed, String message, String replacement) throws IOException {
        write("rows.toml", ROW.replace(removed, replacement == null ? "" : replacement));
        String rejection = rejection();
        assertTrue(rejection.lines().anyMatch(l -> l.strip().equals(message.strip())), rejection);
    }

    @Test
    void missingMechanismsAndAssumptionsAreAccepted() throws IOException {
        write(
                "rows.toml",
                ROW.replace("mechanism = \"the watch\"", "missing = \"changes\"")
                        + ROW.replace("\"list\"", "\"guess\"")
                                .replace(
                                        "series = \"list.bytes\", at = \"backends\"",
                                        "value = 3, times = [\"backends\"]")
                        + "assumed = \"a trial\"\n");
        String mechanisms = new CapacityPage(folder).tables().get("choice");
        assertTrue(mechanisms.contains("| 1 | **changes** | 990 backends | 0.15 | a whole list |"), mechanisms);
        String role = new CapacityPage(folder).tables().get("role control");
        assertTrue(role.contains("*assumed*; to be measured by a trial"), role);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"seeds\":[1],|x.json: missing seeds|",
                "\"commit\":\"abc1234\",|x.json: missing commit|",
                "\"cores\":8,|x.json: machine: missing cores|",
                "\"id\":\"list.bytes\",|x.json: series[0]: missing id|",
                "\"axis\":\"backends\",|x.json: series[0] (list.bytes): missing axis|",
                "{\"size\":6600,\"value\":66100}|x.json: series[0] (list.bytes): points[2]: size is not a number|{}",
                "\"value\":10100|x.json: series[0] (list.bytes): points[1]: value is not a number|\"value\":\"many\"",
                "\"held_out\":6600|x.json: series[0] (list.bytes): the held-out size 640 was not measured"
                        + "|\"held_out\":640"
            })
    void malformedResultsAreReported(String removed, String message, String replacement) throws IOException {
        write("results/x.json", RESULTS.replace(removed, replacement == null ? "" : replacement));
        assertEquals(message, rejection());
    }

    @Test
    void invalidJsonAndDuplicateSeriesAreReported() throws IOException {
        write("results/y.json", RESULTS);
        assertEquals("y.json: list.bytes is in x.json too", rejection());
        write("results/y.json", RESULTS.substring(0, 150));
        assertTrue(rejection().matches("(?s)y\\.json:\\d+: invalid JSON: Unexpected end-of-input.*"), rejection());
    }

    // ---- the fit ----

    private Series series(UnaryOperator<String> change) throws IOException {
        write("results/x.json", change.apply(RESULTS));
        return Results.read(folder.resolve("results")).get("list.bytes");
    }

    @Test
    void linearSeriesPredictsItsHeldOutSize() throws IOException {
        LinearFit fit = LinearFit.of(series(r -> r));
        assertEquals(10, fit.slope(), 1e-9);
        assertEquals(100, fit.intercept(), 1e-6);
        assertEquals(66_100, fit.predicted(), 1e-6);
        assertTrue(fit.isLinear());
        assertEquals(33_100, fit.valueAt(3300), 1e-6);
    }

    /** The first data set of Anscombe's quartet: slope 0.5001 with standard error 0.1179, intercept 3.0001. */
    @Test
    void slopeAndStandardErrorMatchAReferenceDataSet() throws IOException {
        double[] x = {10, 8, 13, 9, 11, 14, 6, 4, 12, 7, 5};
        double[] y = {8.04, 6.95, 7.58, 8.81, 8.33, 9.96, 7.24, 4.26, 10.84, 4.82, 5.68};
        StringBuilder points = new StringBuilder("[");
        for (int i = 0; i < x.length; i++) {
            points.append(i == 0 ? "" : ",")
                    .append("{\"size\":")
                    .append(x[i])
                    .append(",\"value\":")
                    .append(y[i])
                    .append('}');
        }
        LinearFit fit = LinearFit.of(series(
                r -> r.replaceFirst("\\[\\{\"size\"[^]]*]", points + "]").replaceFirst(",\\s*\"held_out\":6600", "")));
        assertEquals(0.50009, fit.slope(), 1e-5);
        assertEquals(0.11791, fit.slopeStandardError(), 1e-5);
        assertEquals(3.00009, fit.intercept(), 1e-5);
        assertTrue(Double.isNaN(fit.predicted()));
    }

    @Test
    void predictionErrorOfMoreThanAQuarterIsNotLinear() throws IOException {
        assertTrue(LinearFit.of(series(r -> r.replace("66100", "53000"))).isLinear());
        assertTrue(LinearFit.of(series(r -> r.replace("66100", "88000"))).isLinear());
        assertFalse(LinearFit.of(series(r -> r.replace("66100", "52000"))).isLinear());
        LinearFit nonLinear = LinearFit.of(series(r -> r.replace("66100", "89000")));
        assertFalse(nonLinear.isLinear());
        assertEquals(89_000, nonLinear.valueAt(6600), 1e-6);
        assertEquals(10_100, nonLinear.valueAt(1000), 1e-6);
        assertEquals((10_100 + 89_000) / 2.0, nonLinear.valueAt(3800), 1e-6);
        assertTrue(new CapacityPage(folder).tables().get("series").contains("**not linear**"));
    }

    @Test
    void twoSizesGiveNoPrediction() throws IOException {
        LinearFit fit = LinearFit.of(series(r -> r.replace("{\"size\":100,\"value\":1100},", "")));
        assertFalse(fit.isLinear());
        assertEquals(66_100, fit.valueAt(6600), 1e-6);
        assertEquals(38_100, fit.valueAt(3800), 1e-6);
        String series = new CapacityPage(folder).tables().get("series");
        assertTrue(series.contains("| two sizes foretell nothing |"), series);
    }

    @Test
    void oneSizeGivesAConstant() throws IOException {
        LinearFit fit = LinearFit.of(series(r -> r.replaceFirst(
                        "\\[\\{\"size\"[^]]*]",
                        "[{\"size\":3,\"value\":7}," + "{\"size\":3,\"value\":9},{\"size\":3,\"value\":8}]")
                .replaceFirst(",\\s*\"held_out\":6600", "")));
        assertEquals(8, fit.valueAt(1e6));
        assertFalse(fit.isExtrapolated(1e6));
    }

    // ---- the breaking size ----

    @Test
    void breakingSizeIsWhereTheLimitIsExceeded() throws IOException {
        CapacityPage page = new CapacityPage(folder);
        Map<String, LinearFit> fits = Map.of("list.bytes", LinearFit.of(series(r -> r)));
        DesignParameters design = DesignParameters.read(folder.resolve("letter.toml"));
        CapacityRow row = page.rows().get(0);
        assertEquals(990, row.breakingSize(fits, design), 1e-6);
        assertEquals(0.15, row.breakingRatio(fits, design), 1e-9);
        write("rows.toml", ROW.replace("at = \"backends\"", "at = \"backends\", times = [\"backends\"]"));
        assertEquals(
                27.02, CapacityRows.read(folder.resolve("rows.toml")).get(0).breakingSize(fits, design), 0.01);
        write("rows.toml", ROW.replace("series = \"list.bytes\", at = \"backends\"", "value = 3"));
        assertEquals(
                Double.POSITIVE_INFINITY,
                CapacityRows.read(folder.resolve("rows.toml")).get(0).breakingSize(fits, design));
    }

    @Test
    void numbersAreRoundedToThreeDigits() {
        assertEquals(
                List.of("0", "0.0123", "1.23", "12.3", "123", "1,230", "1,170,000"),
                List.of(
                        NumberFormatter.number(0),
                        NumberFormatter.number(0.012345),
                        NumberFormatter.number(1.2345),
                        NumberFormatter.number(12.345),
                        NumberFormatter.number(123.45),
                        NumberFormatter.number(1234.5),
                        NumberFormatter.number(1_166_630)));
    }
}
