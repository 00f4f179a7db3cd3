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
 * A day as a page that people look at: one HTML file that needs no network, light and dark, narrow and wide.
 */
public final class HtmlReport {
    private static final int MOST_STORIES = 5;
    private static final long WORST_NS = 10_000_000_000L;

    private final DayResult day;
    private final EventLog eventLog;
    private final Seconds seconds;
    private final StringBuilder html = new StringBuilder(1 << 16);

    private HtmlReport(DayResult day) {
        this.day = day;
        this.eventLog = day.eventLog();
        this.seconds = new Seconds(day);
    }

    /** The whole page. */
    public static String of(DayResult day) {
        return new HtmlReport(day).page();
    }

    private String page() {
        String title = escaped(day.script().title());
        html.append("<!doctype html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n"
                + "<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n<title>" + title
                + "</title>\n<style>\n" + css() + "</style>\n</head>\n<body>\n<main>\n");
        head(title);
        timeline();
        nodes();
        if (!eventLog.fleetSnapshots().isEmpty()) {
            fleet();
        }
        worst();
        broken();
        table();
        html.append("</main>\n</body>\n</html>\n");
        return html.toString();
    }

    private static String css() {
        try (InputStream in = HtmlReport.class.getResourceAsStream("/gullspar/rehearse/report.css")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    private void add(String format, Object... values) {
        html.append(String.format(Locale.ROOT, format, values)).append('\n');
    }

    // ---- parts ----

    private void head(String title) {
        Verdict v = day.verdict();
        add("<h1>%s</h1>", title);
        add(
                "<p><span class=\"verdict %s\">%s</span> <span class=\"soft\">seed %d, %.0f s, %s%s</span></p>",
                v.hasNoViolations() ? "kept" : "broken",
                v.hasNoViolations()
                        ? "all rules kept"
                        : "broken: " + v.violations().size(),
                day.script().seed(),
                day.script().seconds(),
                day.decisionHash().isEmpty() ? "played live" : "in virtual time",
                day.decisionHash().isEmpty()
                        ? ""
                        : ", decisions " + day.decisionHash().substring(0, 12));
        day.notes().forEach(n -> add("<p><strong>Note:</strong> %s</p>", escaped(n)));
        add("<dl class=\"figures\">");
        figure("service, of the worth asked for", "%.2f %%", 100 * v.service());
        figure("worst 10 s, from " + Math.round(v.worstFromNs() / 1e9) + " s", "%.2f %%", 100 * v.worst10s());
        figure("worst class, " + v.worstClassName(), "%.2f %%", 100 * v.worstClass());
        figure("orders", "%d", v.orders());
        for (Map.Entry<String, Integer> e : v.counts().entrySet()) {
            if (e.getValue() > 0) {
                figure("tries " + e.getKey(), "%d", e.getValue());
            }
        }
        add("</dl>");
    }

    private void figure(String name, String format, Object value) {
        add("<div><dt>%s</dt><dd>" + format + "</dd></div>", escaped(name), value);
    }

    private void timeline() {
        add("<h2>How the orders of each second ended</h2>");
        add("<ul class=\"legend\"><li><i style=\"background:var(--served)\"></i>served in time</li>"
                + "<li><i style=\"background:var(--late)\"></i>served late</li>"
                + "<li><i style=\"background:var(--refused)\"></i>refused</li>"
                + "<li><i style=\"background:var(--failed)\"></i>failed or unanswered</li></ul>");
        int most = seconds.most();
        add("<div class=\"plot\"><span class=\"top\">%d/s</span><span class=\"bottom\">0</span>", most);
        add(
                "<svg viewBox=\"0 0 %d %d\" preserveAspectRatio=\"none\" role=\"img\" aria-label=\"orders by "
                        + "second\">",
                seconds.length(), most);
        for (int s = 0; s < seconds.length(); s++) {
            int y = most;
            for (Seconds.Kind k : Seconds.Kind.values()) {
                int n = seconds.count(s, k);
                if (n > 0) {
                    y -= n;
                    add(
                            "<rect x=\"%d\" y=\"%d\" width=\"0.92\" height=\"%d\" "
                                    + "fill=\"var(--%s)\"><title>%d s: %d %s"
                                    + "</title></rect>",
                            s, y, n, name(k), s, n, name(k));
                }
            }
        }
        add("</svg></div>");
        axis();
        faults();
    }

    private static String name(Seconds.Kind k) {
        return k.name().toLowerCase(Locale.ROOT);
    }

    private void axis() {
        add("<div class=\"axis\">");
        for (int i = 0; i <= 4; i++) {
            add("<span>%.0f s</span>", day.script().seconds() * i / 4);
        }
        add("</div>");
    }

    private void faults() {
        if (day.script().faults().isEmpty()) {
            return;
        }
        add("<div class=\"faults\">");
        for (Fault f : day.script().faults()) {
            double left = 100 * f.startS() / day.script().seconds();
            double width = 100 * f.durationS() / day.script().seconds();
            String text = String.format(
                    Locale.ROOT,
                    "%.1f s%s: %s",
                    f.startS(),
                    f.durationS() > 0 ? String.format(Locale.ROOT, " to %.1f s", f.startS() + f.durationS()) : "",
                    f);
            add(
                    "<div class=\"fault\" title=\"%s\"><span>%s</span><b "
                            + "style=\"left:%.2f%%;width:%.2f%%\"></b></div>",
                    escaped(text), escaped(text), left, width);
        }
        add("</div>");
    }

    /** A strip for each node: how busy it is, second by second; grey where it is down. */
    private void nodes() {
        add("<h2>The nodes</h2>");
        add("<p class=\"soft\">How busy each is, and at the end of its line the share of all answers that "
                + "it gave."
                + " A hatched second: it was not in service by the list.</p>");
        add("<ul class=\"legend\"><li><i style=\"background:var(--low)\"></i>under 30 %%</li>"
                + "<li><i style=\"background:var(--mid)\"></i>30 to 70 %%</li>"
                + "<li><i style=\"background:var(--high)\"></i>70 to 95 %%</li>"
                + "<li><i style=\"background:var(--full)\"></i>over 95 %%</li>"
                + "<li><i style=\"background:var(--down)\"></i>down</li></ul>");
        Map<String, List<EventLog.Sample>> byNode = new LinkedHashMap<>();
        eventLog.samples().stream().filter(s -> s.at() >= eventLog.start()).forEach(s -> byNode.computeIfAbsent(
                        s.node(), n -> new ArrayList<>())
                .add(s));
        add("<svg width=\"0\" height=\"0\" style=\"position:absolute\"><defs><pattern id=\"hatch\" "
                + "width=\"0.3\""
                + " height=\"0.3\" patternUnits=\"userSpaceOnUse\"><rect width=\"0.15\" height=\"0.3\""
                + " fill=\"var(--page)\"/></pattern></defs></svg>");
        add("<div class=\"nodes\">");
        byNode.forEach(this::node);
        add("</div>");
    }

    private void node(String name, List<EventLog.Sample> samples) {
        add("<span>%s</span>", escaped(name));
        add(
                "<svg viewBox=\"0 0 %.2f 1\" preserveAspectRatio=\"none\" role=\"img\" aria-label=\"%s\">",
                day.script().seconds(), escaped(name));
        double share = 0;
        for (int i = 0; i < samples.size(); i += 4) {
            List<EventLog.Sample> four = samples.subList(i, Math.min(samples.size(), i + 4));
            double at = (four.get(0).at() - eventLog.start()) / 1e9;
            double util =
                    four.stream().mapToDouble(EventLog.Sample::util).average().orElse(Double.NaN);
            double held =
                    four.stream().mapToInt(EventLog.Sample::inFlight).average().orElse(0);
            share += four.stream().mapToDouble(EventLog.Sample::share).sum();
            boolean listed = four.stream().allMatch(EventLog.Sample::listed);
            if (at < day.script().seconds() && !Double.isNaN(util)) {
                add(
                        "<rect x=\"%.2f\" y=\"0\" width=\"1.02\" height=\"1\" fill=\"var(--%s)\"><title>%s at "
                                + "%.0f s: %.0f %%"
                                + " busy, holds %.0f</title></rect>",
                        at, shade(util), escaped(name), at, 100 * util, held);
                if (!listed) {
                    add("<rect x=\"%.2f\" y=\"0\" width=\"1.02\" height=\"1\" fill=\"url(#hatch)\"/>", at);
                }
            }
        }
        add("</svg><span class=\"num\">%.1f %%</span>", 100 * share / Math.max(1, samples.size()));
    }

    private static String shade(double util) {
        return util < 0.3 ? "low" : util < 0.7 ? "mid" : util < 0.95 ? "high" : "full";
    }

    /** A strip for each process of a proxy: how it saw the others; grey where it did not answer. */
    private void fleet() {
        FleetChart chart = new FleetChart(eventLog, day.script().seconds());
        add("<h2>The view of the fleet</h2>");
        add("<p class=\"soft\">How each proxy saw the others, the worst answer of each second, and at the "
                + "end of its line the bytes a second that it sent.</p>");
        add("<ul class=\"legend\"><li><i style=\"background:var(--low)\"></i>as it was</li>"
                + "<li><i style=\"background:var(--mid)\"></i>somebody suspected, or dead and still there</li>"
                + "<li><i style=\"background:var(--late)\"></i>somebody who lives is missing</li>"
                + "<li><i style=\"background:var(--refused)\"></i>says that it is cut off</li>"
                + "<li><i style=\"background:var(--down)\"></i>no answer</li></ul>");
        add("<div class=\"nodes\">");
        for (String p : chart.processes()) {
            add("<span>%s</span>", escaped(p));
            add(
                    "<svg viewBox=\"0 0 %.2f 1\" preserveAspectRatio=\"none\" role=\"img\" " + "aria-label=\"%s\">",
                    day.script().seconds(), escaped(p));
            chart.of(p)
                    .forEach((second, c) -> add(
                            "<rect x=\"%d\" y=\"0\" width=\"1.02\" height=\"1\" "
                                    + "fill=\"var(--%s)\"><title>%s at %d s: has %d, of %d that live</title></rect>",
                            second, shade(c.sight()), escaped(p), second, c.present(), c.living()));
            add("</svg><span class=\"num\">%.0f</span>", chart.bytesPerSecond(p));
        }
        add("</div>");
    }

    private static String shade(FleetChart.Sight s) {
        return switch (s) {
            case RIGHT -> "low";
            case BEHIND -> "mid";
            case LACKS -> "late";
            default -> "refused";
        };
    }

    private void worst() {
        Verdict v = day.verdict();
        long from = eventLog.start() + v.worstFromNs();
        List<Order> lost = eventLog.orders().stream()
                .filter(o -> o.at >= from && o.at < from + WORST_NS && !o.isInTime())
                .toList();
        add("<h2>The worst ten seconds, from %.0f s</h2>", v.worstFromNs() / 1e9);
        if (lost.isEmpty()) {
            add("<p>Every order was served in time.</p>");
            return;
        }
        Map<String, Integer> how = new LinkedHashMap<>();
        for (Order o : lost) {
            String last = Judge.endingName(o.requests.get(o.requests.size() - 1));
            how.merge(
                    o.requestClass.name() + ", " + last + ", by " + o.requests.get(o.requests.size() - 1).proxy,
                    1,
                    Integer::sum);
        }
        add(
                "<p>%.2f %% of the worth asked for was served in time; %d orders were not.</p>",
                100 * v.worst10s(), lost.size());
        add("<div class=\"scroll\"><table><tr><th>class, how it ended, proxy</th><th>orders</th></tr>");
        how.entrySet().stream()
                .sorted((a, b) -> b.getValue() - a.getValue())
                .limit(12)
                .forEach(e -> add("<tr><td>%s</td><td>%d</td></tr>", escaped(e.getKey()), e.getValue()));
        add("</table></div>");
        add("<details><summary>What happened around then</summary><pre>");
        eventLog.events().stream()
                .filter(h -> h.at() >= from - WORST_NS / 5 && h.at() < from + WORST_NS)
                .forEach(h -> add("%8.3f s  %s", (h.at() - eventLog.start()) / 1e9, escaped(h.description())));
        add("</pre></details>");
        add("<details><summary>The first order that was not served in time</summary><pre>");
        Order first = lost.get(0);
        RequestTrace.of(first.requests.get(first.requests.size() - 1), eventLog).forEach(l -> add("%s", escaped(l)));
        add("</pre></details>");
    }

    private void broken() {
        List<RuleViolation> all = day.verdict().violations();
        if (all.isEmpty()) {
            return;
        }
        add("<h2>Broken rules</h2>");
        if (all.size() > MOST_STORIES) {
            add("<p>The first %d of %d.</p>", MOST_STORIES, all.size());
        }
        for (RuleViolation b : all.subList(0, Math.min(MOST_STORIES, all.size()))) {
            add(
                    "<p><strong>%s.</strong> At %.6f s: %s</p>",
                    escaped(b.rule().description()), (b.atNs() - eventLog.start()) / 1e9, escaped(b.description()));
            ClientRequest t = b.request();
            if (t != null) {
                add("<pre>%s</pre>", escaped(String.join("\n", RequestTrace.of(t, eventLog))));
            }
        }
    }

    private void table() {
        add("<h2>Second by second</h2>");
        add("<details><summary>The figures of the plot</summary><div "
                + "class=\"scroll\"><table><tr><th>second</th>"
                + "<th>orders</th><th>served</th><th>late</th><th>refused</th><th>failed</th></tr>");
        for (int s = 0; s < seconds.length(); s++) {
            add(
                    "<tr><td>%d</td><td>%d</td><td>%d</td><td>%d</td><td>%d</td><td>%d</td></tr>",
                    s,
                    seconds.total(s),
                    seconds.count(s, Seconds.Kind.SERVED),
                    seconds.count(s, Seconds.Kind.LATE),
                    seconds.count(s, Seconds.Kind.REFUSED),
                    seconds.count(s, Seconds.Kind.FAILED));
        }
        add("</table></div></details>");
    }
}
