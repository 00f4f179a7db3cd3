package gullspar.rehearse.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gullspar.rehearse.TestScripts;
import gullspar.rehearse.judge.Rule;
import gullspar.rehearse.play.DayResult;
import gullspar.rehearse.play.VirtualPlay;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests the HTML and JSON reports of a played day. */
class ReportTest {
    private static DayResult day;

    @BeforeAll
    static void play() {
        day = VirtualPlay.play(
                TestScripts.parse("title = \"<b>odd & old</b>\"\n"
                        + TestScripts.smallText(
                                4,
                                TestScripts.fault("hang", 1, "for = 2\nnodes = 3")
                                        + TestScripts.fault("drain", 1, "nodes = [\"n1\"]")
                                        + "[expect]\nservice = 1\n")),
                VirtualPlay.Options.defaults());
    }

    @Test
    void htmlReportLoadsNothingAndEscapesText() {
        String html = HtmlReport.render(day);
        assertFalse(
                html.matches("(?s).*(https?:|<script|<link|@import|url\\((?!#)).*"),
                "the page refers to an external resource");
        assertTrue(html.contains("<h1>&lt;b&gt;odd &amp; old&lt;/b&gt;</h1>"));
        assertTrue(html.contains("prefers-color-scheme: dark"));
        assertTrue(html.contains("name=\"viewport\""));
        for (int i = 1; i <= 8; i++) {
            assertTrue(html.contains("<span>n" + i + "</span>"), "no strip for node " + i);
        }
        assertTrue(html.contains("1.0 s to 3.0 s: hang 3 nodes"));
        assertTrue(html.contains("url(#hatch)"), "a draining node is hatched");
        assertTrue(html.contains("the script expects 1.0000"));
        assertEquals(count(html, "<svg "), count(html, "</svg>"));
        assertEquals(count(html, "<div"), count(html, "</div>"));
    }

    private static int count(String text, String part) {
        return text.split(part, -1).length - 1;
    }

    /**
     * A killed proxy is at first still present and then removed; a partitioned one reports that it is cut off;
     * in the end all views are accurate.
     */
    @Test
    void fleetChartShowsFailuresAndPartitions() {
        DayResult fleetDay = VirtualPlay.play(
                TestScripts.parse(TestScripts.smallText(
                                30,
                                "[peers]\ninterval_ms = 200\nwindow_s = 20\n"
                                        + TestScripts.fault("kill", 2, "proxies = [\"p2\"]\ndown_s = 12")
                                        + TestScripts.fault("partition", 18, "for = 5\nproxies = [\"p3\"]"))
                        .replace("count = 2\nstart_s", "count = 3\nstart_s")),
                VirtualPlay.Options.defaults());
        FleetChart chart = new FleetChart(fleetDay.eventLog(), 30);
        assertEquals(List.of("p1", "p2", "p3"), chart.processes());
        assertEquals(
                FleetChart.ViewStatus.RIGHT, chart.samplesBySecond("p1").get(0).status());
        assertEquals(
                FleetChart.ViewStatus.BEHIND,
                chart.samplesBySecond("p1").get(2).status(),
                "the killed proxy is still present");
        assertEquals(
                new FleetChart.ViewSample(
                        FleetChart.ViewStatus.RIGHT,
                        2,
                        2,
                        chart.samplesBySecond("p1").get(12).sentBytes()),
                chart.samplesBySecond("p1").get(12));
        assertFalse(chart.samplesBySecond("p2").containsKey(8), "a process that does not run responded");
        assertEquals(
                FleetChart.ViewStatus.CUT_OFF,
                chart.samplesBySecond("p3").get(21).status());
        assertEquals(
                FleetChart.ViewStatus.RIGHT, chart.samplesBySecond("p3").get(29).status());
        assertTrue(chart.bytesPerSecond("p1") > 0);
        String html = HtmlReport.render(fleetDay);
        assertTrue(
                html.matches("(?s).*p3 at 21 s: \\d+ present, 3 running.*") && html.contains("The view of the fleet"));
        assertFalse(HtmlReport.render(day).contains("The view of the fleet"));
    }

    /** The plot and its table both use these counts: every order must be in exactly one of them. */
    @Test
    void everyOrderIsCountedOnce() {
        OutcomeTimeline outcomes = new OutcomeTimeline(day);
        int sum = 0;
        for (int second = 0; second < outcomes.length(); second++) {
            sum += outcomes.total(second);
        }
        assertEquals(day.verdict().orders(), sum);
        assertTrue(sum > 400);
    }

    @Test
    void jsonReportMatchesTheVerdict() throws Exception {
        JsonNode json = new ObjectMapper().readTree(JsonReport.render(day));
        assertFalse(json.get("kept").asBoolean());
        assertEquals(day.decisionHash(), json.get("sha256").asText());
        assertEquals("expected", json.get("broken").get(0).get("rule").asText());
        assertEquals(Rule.EXPECTED, day.verdict().violations().get(0).rule());
        assertTrue(json.get("service").asDouble() < 1);
        assertEquals(
                day.verdict().counts().get("served"),
                json.get("tries").get("served").asInt());
    }
}
