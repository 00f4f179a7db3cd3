package gullspar.rehearse.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gullspar.rehearse.Days;
import gullspar.rehearse.judge.Rule;
import gullspar.rehearse.play.DayResult;
import gullspar.rehearse.play.VirtualPlay;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** What a day looks like afterwards. */
class ReportTest {
    private static DayResult day;

    @BeforeAll
    static void play() {
        day = VirtualPlay.play(
                Days.parse("title = \"<b>odd & old</b>\"\n"
                        + Days.text(
                                4,
                                Days.fault("hang", 1, "for = 2\nnodes = 3") + Days.fault("drain", 1, "nodes = [\"n1\"]")
                                        + "[expect]\nservice = 1\n")),
                VirtualPlay.Options.defaults());
    }

    @Test
    void thePageNeedsNoNetworkAndNoScriptAndEscapesWhatItIsGiven() {
        String html = HtmlReport.of(day);
        assertFalse(html.matches("(?s).*(https?:|<script|<link|@import|url\\((?!#)).*"), "it loads something");
        assertTrue(html.contains("<h1>&lt;b&gt;odd &amp; old&lt;/b&gt;</h1>"));
        assertTrue(html.contains("prefers-color-scheme: dark"));
        assertTrue(html.contains("name=\"viewport\""));
        for (int i = 1; i <= 8; i++) {
            assertTrue(html.contains("<span>n" + i + "</span>"), "no line for node " + i);
        }
        assertTrue(html.contains("1.0 s to 3.0 s: hang 3 nodes"));
        assertTrue(html.contains("url(#hatch)"), "a node that drains is marked");
        assertTrue(html.contains("the script expects 1.0000"));
        assertEquals(count(html, "<svg "), count(html, "</svg>"));
        assertEquals(count(html, "<div"), count(html, "</div>"));
    }

    private static int count(String text, String part) {
        return text.split(part, -1).length - 1;
    }

    /** One that dies is missed, then known to be gone; whoever is alone says so; all is well in the end. */
    @Test
    void theViewOfTheFleetIsDrawnAsItWas() {
        DayResult p = VirtualPlay.play(
                Days.parse(Days.text(
                                30,
                                "[peers]\ninterval_ms = 200\nwindow_s = 20\n"
                                        + Days.fault("kill", 2, "proxies = [\"p2\"]\ndown_s = 12")
                                        + Days.fault("partition", 18, "for = 5\nproxies = [\"p3\"]"))
                        .replace("count = 2\nstart_s", "count = 3\nstart_s")),
                VirtualPlay.Options.defaults());
        FleetChart chart = new FleetChart(p.eventLog(), 30);
        assertEquals(List.of("p1", "p2", "p3"), chart.processes());
        assertEquals(FleetChart.Sight.RIGHT, chart.of("p1").get(0).sight());
        assertEquals(FleetChart.Sight.BEHIND, chart.of("p1").get(2).sight(), "it is dead and still there");
        assertEquals(
                new FleetChart.Cell(
                        FleetChart.Sight.RIGHT, 2, 2, chart.of("p1").get(12).bytes()),
                chart.of("p1").get(12));
        assertFalse(chart.of("p2").containsKey(8), "a dead process was asked");
        assertEquals(FleetChart.Sight.CUT_OFF, chart.of("p3").get(21).sight());
        assertEquals(FleetChart.Sight.RIGHT, chart.of("p3").get(29).sight());
        assertTrue(chart.bytesPerSecond("p1") > 0);
        String html = HtmlReport.of(p);
        assertTrue(html.contains("p3 at 21 s: has ") && html.contains("The view of the fleet"));
        assertFalse(HtmlReport.of(day).contains("The view of the fleet"));
    }

    /** The plot and its table tell of the same orders, and of all. */
    @Test
    void everyOrderIsCountedOnce() {
        Seconds seconds = new Seconds(day);
        int sum = 0;
        for (int s = 0; s < seconds.length(); s++) {
            sum += seconds.total(s);
        }
        assertEquals(day.verdict().orders(), sum);
        assertTrue(sum > 400);
    }

    @Test
    void theResultForMachines() throws Exception {
        JsonNode json = new ObjectMapper().readTree(JsonReport.of(day));
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
