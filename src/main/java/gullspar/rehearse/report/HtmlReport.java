package gullspar.rehearse.report;

import gullspar.rehearse.judge.Judge;
import gullspar.rehearse.judge.RequestTrace;
import gullspar.rehearse.judge.RuleViolation;
import gullspar.rehearse.judge.Verdict;
import gullspar.rehearse.play.DayResult;
import gullspar.rehearse.script.Fault;
import gullspar.rehearse.stage.ClientRequest;
import gullspar.rehearse.stage.EventLog;
import gullspar.rehearse.stage.Order;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Renders a day as a self-contained HTML page that loads nothing from the network, with light and dark colors,
 * for narrow and wide screens.
 */
public final class HtmlReport {
    private static final int MAX_DETAILED_VIOLATIONS = 5;
    private static final long WORST_WINDOW_NS = 10_000_000_000L;

    private final DayResult day;
    private final EventLog eventLog;
    private final OutcomeTimeline outcomes;
    private final StringBuilder html = new StringBuilder(1 << 16);

    private HtmlReport(DayResult day) {
        this.day = day;
        this.eventLog = day.eventLog();
        this.outcomes = new OutcomeTimeline(day);
    }

    /** Returns the report of a day as an HTML page. */
    public static String render(DayResult day) {
        return new HtmlReport(day).renderPage();
    }

    private String renderPage() {
        String title = escape(day.script().title());
        html.append("<!doctype html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n"
                + "<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n<title>" + title
                + "</title>\n<style>\n" + stylesheet() + "</style>\n</head>\n<body>\n<main>\n");
        addSummary(title);
        addTimeline();
        addNodes();
        if (!eventLog.fleetSnapshots().isEmpty()) {
            addFleet();
        }
        addWorstWindow();
        addViolations();
        addTable();
        html.append("</main>\n</body>\n</html>\n");
        return html.toString();
    }

    private static String stylesheet() {
        try (InputStream in = HtmlReport.class.getResourceAsStream("/gullspar/rehearse/report.css")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    private void addLine(String format, Object... values) {
        html.append(String.format(Locale.ROOT, format, values)).append('\n');
    }

    // ---- sections ----

    private void addSummary(String title) {
        Verdict verdict = day.verdict();
        addLine("<h1>%s</h1>", title);
        addLine(
                "<p><span class=\"verdict %s\">%s</span> <span class=\"soft\">seed %d, %.0f s, %s%s</span></p>",
                verdict.hasNoViolations() ? "kept" : "broken",
                verdict.hasNoViolations()
                        ? "all rules kept"
                        : "broken: " + verdict.violations().size(),
                day.script().seed(),
                day.script().seconds(),
                day.decisionHash().isEmpty() ? "played live" : "in virtual time",
                day.decisionHash().isEmpty()
                        ? ""
                        : ", decisions " + day.decisionHash().substring(0, 12));
        day.notes().forEach(n -> addLine("<p><strong>Note:</strong> %s</p>", escape(n)));
        addLine("<dl class=\"figures\">");
        addFigure("service, of the requested worth", "%.2f %%", 100 * verdict.service());
        addFigure(
                "worst 10 s, from " + Math.round(verdict.worstFromNs() / 1e9) + " s",
                "%.2f %%",
                100 * verdict.worst10s());
        addFigure("worst class, " + verdict.worstClassName(), "%.2f %%", 100 * verdict.worstClass());
        addFigure("orders", "%d", verdict.orders());
        for (Map.Entry<String, Integer> e : verdict.counts().entrySet()) {
            if (e.getValue() > 0) {
                addFigure("requests " + e.getKey(), "%d", e.getValue());
            }
        }
        addLine("</dl>");
    }

    private void addFigure(String name, String format, Object value) {
        addLine("<div><dt>%s</dt><dd>" + format + "</dd></div>", escape(name), value);
    }

    private void addTimeline() {
        addLine("<h2>How the orders of each second ended</h2>");
        addLine("<ul class=\"legend\"><li><i style=\"background:var(--served)\"></i>served in time</li>"
                + "<li><i style=\"background:var(--late)\"></i>served late</li>"
                + "<li><i style=\"background:var(--refused)\"></i>refused</li>"
                + "<li><i style=\"background:var(--failed)\"></i>failed or unanswered</li></ul>");
        int maxTotal = outcomes.maxTotal();
        addLine("<div class=\"plot\"><span class=\"top\">%d/s</span><span class=\"bottom\">0</span>", maxTotal);
        addLine(
                "<svg viewBox=\"0 0 %d %d\" preserveAspectRatio=\"none\" role=\"img\" aria-label=\"orders by "
                        + "second\">",
                outcomes.length(), maxTotal);
        for (int second = 0; second < outcomes.length(); second++) {
            int y = maxTotal;
            for (OutcomeTimeline.Outcome outcome : OutcomeTimeline.Outcome.values()) {
                int count = outcomes.count(second, outcome);
                if (count > 0) {
                    y -= count;
                    addLine(
                            "<rect x=\"%d\" y=\"%d\" width=\"0.92\" height=\"%d\" "
                                    + "fill=\"var(--%s)\"><title>%d s: %d %s"
                                    + "</title></rect>",
                            second, y, count, cssName(outcome), second, count, cssName(outcome));
                }
            }
        }
        addLine("</svg></div>");
        addTimeAxis();
        addFaults();
    }

    private static String cssName(OutcomeTimeline.Outcome outcome) {
        return outcome.name().toLowerCase(Locale.ROOT);
    }

    private void addTimeAxis() {
        addLine("<div class=\"axis\">");
        for (int i = 0; i <= 4; i++) {
            addLine("<span>%.0f s</span>", day.script().seconds() * i / 4);
        }
        addLine("</div>");
    }

    private void addFaults() {
        if (day.script().faults().isEmpty()) {
            return;
        }
        addLine("<div class=\"faults\">");
        for (Fault fault : day.script().faults()) {
            double left = 100 * fault.startS() / day.script().seconds();
            double width = 100 * fault.durationS() / day.script().seconds();
            String text = String.format(
                    Locale.ROOT,
                    "%.1f s%s: %s",
                    fault.startS(),
                    fault.durationS() > 0
                            ? String.format(Locale.ROOT, " to %.1f s", fault.startS() + fault.durationS())
                            : "",
                    fault);
            addLine(
                    "<div class=\"fault\" title=\"%s\"><span>%s</span><b "
                            + "style=\"left:%.2f%%;width:%.2f%%\"></b></div>",
                    escape(text), escape(text), left, width);
        }
        addLine("</div>");
    }

    /** Adds a strip per node with its utilization in each second; grey where it is down. */
    private void addNodes() {
        addLine("<h2>The nodes</h2>");
        addLine("<p class=\"soft\">Each node's utilization by second, and at the end of its row its share of all "
                + "responses. Hatched: not listed as in service.</p>");
        addLine("<ul class=\"legend\"><li><i style=\"background:var(--low)\"></i>under 30 %%</li>"
                + "<li><i style=\"background:var(--mid)\"></i>30 to 70 %%</li>"
                + "<li><i style=\"background:var(--high)\"></i>70 to 95 %%</li>"
                + "<li><i style=\"background:var(--full)\"></i>over 95 %%</li>"
                + "<li><i style=\"background:var(--down)\"></i>down</li></ul>");
        Map<String, List<EventLog.Sample>> byNode = new LinkedHashMap<>();
        eventLog.samples().stream().filter(s -> s.at() >= eventLog.start()).forEach(s -> byNode.computeIfAbsent(
                        s.node(), n -> new ArrayList<>())
                .add(s));
        addLine("<svg width=\"0\" height=\"0\" style=\"position:absolute\"><defs><pattern id=\"hatch\" "
                + "width=\"0.3\""
                + " height=\"0.3\" patternUnits=\"userSpaceOnUse\"><rect width=\"0.15\" height=\"0.3\""
                + " fill=\"var(--page)\"/></pattern></defs></svg>");
        addLine("<div class=\"nodes\">");
        byNode.forEach(this::addNode);
        addLine("</div>");
    }

    private void addNode(String name, List<EventLog.Sample> samples) {
        addLine("<span>%s</span>", escape(name));
        addLine(
                "<svg viewBox=\"0 0 %.2f 1\" preserveAspectRatio=\"none\" role=\"img\" aria-label=\"%s\">",
                day.script().seconds(), escape(name));
        double share = 0;
        for (int i = 0; i < samples.size(); i += 4) {
            List<EventLog.Sample> second = samples.subList(i, Math.min(samples.size(), i + 4));
            double startS = (second.get(0).at() - eventLog.start()) / 1e9;
            double util =
                    second.stream().mapToDouble(EventLog.Sample::util).average().orElse(Double.NaN);
            double inFlight = second.stream()
                    .mapToInt(EventLog.Sample::inFlight)
                    .average()
                    .orElse(0);
            share += second.stream().mapToDouble(EventLog.Sample::share).sum();
            boolean listed = second.stream().allMatch(EventLog.Sample::listed);
            if (startS < day.script().seconds() && !Double.isNaN(util)) {
                addLine(
                        "<rect x=\"%.2f\" y=\"0\" width=\"1.02\" height=\"1\" fill=\"var(--%s)\"><title>%s at "
                                + "%.0f s: %.0f %%"
                                + " busy, %.0f requests in flight</title></rect>",
                        startS, colorName(util), escape(name), startS, 100 * util, inFlight);
                if (!listed) {
                    addLine("<rect x=\"%.2f\" y=\"0\" width=\"1.02\" height=\"1\" fill=\"url(#hatch)\"/>", startS);
                }
            }
        }
        addLine("</svg><span class=\"num\">%.1f %%</span>", 100 * share / Math.max(1, samples.size()));
    }

    private static String colorName(double util) {
        return util < 0.3 ? "low" : util < 0.7 ? "mid" : util < 0.95 ? "high" : "full";
    }

    /** Adds a strip per proxy process with its view of the others; grey where it did not respond. */
    private void addFleet() {
        FleetChart chart = new FleetChart(eventLog, day.script().seconds());
        addLine("<h2>The view of the fleet</h2>");
        addLine("<p class=\"soft\">The accuracy of each proxy's view of the others, the worst of each second, and at "
                + "the end of its row the bytes that it sent per second.</p>");
        addLine("<ul class=\"legend\"><li><i style=\"background:var(--low)\"></i>correct</li>"
                + "<li><i style=\"background:var(--mid)\"></i>a proxy is suspected, or has ended and "
                + "is still present</li>"
                + "<li><i style=\"background:var(--late)\"></i>a running proxy is missing</li>"
                + "<li><i style=\"background:var(--refused)\"></i>reports that it is cut off</li>"
                + "<li><i style=\"background:var(--down)\"></i>no response</li></ul>");
        addLine("<div class=\"nodes\">");
        for (String process : chart.processes()) {
            addLine("<span>%s</span>", escape(process));
            addLine(
                    "<svg viewBox=\"0 0 %.2f 1\" preserveAspectRatio=\"none\" role=\"img\" " + "aria-label=\"%s\">",
                    day.script().seconds(), escape(process));
            chart.samplesBySecond(process)
                    .forEach((second, sample) -> addLine(
                            "<rect x=\"%d\" y=\"0\" width=\"1.02\" height=\"1\" "
                                    + "fill=\"var(--%s)\"><title>%s at %d s: %d present, %d running</title></rect>",
                            second,
                            colorName(sample.status()),
                            escape(process),
                            second,
                            sample.presentCount(),
                            sample.aliveCount()));
            addLine("</svg><span class=\"num\">%.0f</span>", chart.bytesPerSecond(process));
        }
        addLine("</div>");
    }

    private static String colorName(FleetChart.ViewStatus status) {
        return switch (status) {
            case RIGHT -> "low";
            case BEHIND -> "mid";
            case LACKS -> "late";
            default -> "refused";
        };
    }

    private void addWorstWindow() {
        Verdict verdict = day.verdict();
        long from = eventLog.start() + verdict.worstFromNs();
        List<Order> notInTime = eventLog.orders().stream()
                .filter(order -> order.at >= from && order.at < from + WORST_WINDOW_NS && !order.isInTime())
                .toList();
        addLine("<h2>The worst ten seconds, from %.0f s</h2>", verdict.worstFromNs() / 1e9);
        if (notInTime.isEmpty()) {
            addLine("<p>Every order was served in time.</p>");
            return;
        }
        Map<String, Integer> countsByEnding = new LinkedHashMap<>();
        for (Order order : notInTime) {
            String last = Judge.endingName(order.requests.get(order.requests.size() - 1));
            countsByEnding.merge(
                    order.requestClass.name() + ", " + last + ", by "
                            + order.requests.get(order.requests.size() - 1).proxy,
                    1,
                    Integer::sum);
        }
        addLine(
                "<p>%.2f %% of the requested worth was served in time; %d orders were not.</p>",
                100 * verdict.worst10s(), notInTime.size());
        addLine("<div class=\"scroll\"><table><tr><th>class, ending of the last request, its proxy</th>"
                + "<th>orders</th></tr>");
        countsByEnding.entrySet().stream()
                .sorted((a, b) -> b.getValue() - a.getValue())
                .limit(12)
                .forEach(e -> addLine("<tr><td>%s</td><td>%d</td></tr>", escape(e.getKey()), e.getValue()));
        addLine("</table></div>");
        addLine("<details><summary>Events around this time</summary><pre>");
        eventLog.events().stream()
                .filter(event -> event.at() >= from - WORST_WINDOW_NS / 5 && event.at() < from + WORST_WINDOW_NS)
                .forEach(event ->
                        addLine("%8.3f s  %s", (event.at() - eventLog.start()) / 1e9, escape(event.description())));
        addLine("</pre></details>");
        addLine("<details><summary>The first order that was not served in time</summary><pre>");
        Order first = notInTime.get(0);
        RequestTrace.of(first.requests.get(first.requests.size() - 1), eventLog)
                .forEach(line -> addLine("%s", escape(line)));
        addLine("</pre></details>");
    }

    private void addViolations() {
        List<RuleViolation> violations = day.verdict().violations();
        if (violations.isEmpty()) {
            return;
        }
        addLine("<h2>Broken rules</h2>");
        if (violations.size() > MAX_DETAILED_VIOLATIONS) {
            addLine("<p>The first %d of %d.</p>", MAX_DETAILED_VIOLATIONS, violations.size());
        }
        for (RuleViolation violation : violations.subList(0, Math.min(MAX_DETAILED_VIOLATIONS, violations.size()))) {
            addLine(
                    "<p><strong>%s.</strong> At %.6f s: %s</p>",
                    escape(violation.rule().description()),
                    (violation.atNs() - eventLog.start()) / 1e9,
                    escape(violation.description()));
            ClientRequest request = violation.request();
            if (request != null) {
                addLine("<pre>%s</pre>", escape(String.join("\n", RequestTrace.of(request, eventLog))));
            }
        }
    }

    private void addTable() {
        addLine("<h2>Second by second</h2>");
        addLine("<details><summary>The values of the chart</summary><div "
                + "class=\"scroll\"><table><tr><th>second</th>"
                + "<th>orders</th><th>served</th><th>late</th><th>refused</th><th>failed</th></tr>");
        for (int second = 0; second < outcomes.length(); second++) {
            addLine(
                    "<tr><td>%d</td><td>%d</td><td>%d</td><td>%d</td><td>%d</td><td>%d</td></tr>",
                    second,
                    outcomes.total(second),
                    outcomes.count(second, OutcomeTimeline.Outcome.SERVED),
                    outcomes.count(second, OutcomeTimeline.Outcome.LATE),
                    outcomes.count(second, OutcomeTimeline.Outcome.REFUSED),
                    outcomes.count(second, OutcomeTimeline.Outcome.FAILED));
        }
        addLine("</table></div></details>");
    }
}
