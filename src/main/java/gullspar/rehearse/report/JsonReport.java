package gullspar.rehearse.report;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gullspar.rehearse.judge.RequestTrace;
import gullspar.rehearse.judge.RuleViolation;
import gullspar.rehearse.judge.Verdict;
import gullspar.rehearse.play.DayResult;
import java.util.List;
import java.util.Locale;

/** Formats the result of a day as one JSON object. Times are in s from the start of the day. */
public final class JsonReport {
    /** The number of violations that are listed with their request trace; the rest are only counted. */
    private static final int MAX_DETAILED_VIOLATIONS = 20;

    private JsonReport() {}

    /** Returns the report as one line of JSON. */
    public static String render(DayResult day) {
        ObjectMapper mapper = new ObjectMapper();
        Verdict verdict = day.verdict();
        ObjectNode root = mapper.createObjectNode();
        root.put("title", day.script().title())
                .put("seed", day.script().seed())
                .put("seconds", day.script().seconds())
                .put("sha256", day.decisionHash())
                .put("decisions", day.decisionCount())
                .put("played_s", day.wallTimeNs() / 1e9)
                .put("orders", verdict.orders())
                .put("service", verdict.service())
                .put("worst_10s", verdict.worst10s())
                .put("worst_10s_from", verdict.worstFromNs() / 1e9)
                .put("worst_class", verdict.worstClass())
                .put("worst_class_name", verdict.worstClassName())
                .put("ran_twice", verdict.duplicateEffects())
                .put("kept", verdict.hasNoViolations());
        ObjectNode tries = root.putObject("tries");
        verdict.counts().forEach((name, n) -> tries.put(name.replace(' ', '_'), n));
        root.put("broken_rules", verdict.violations().size());
        ArrayNode violations = root.putArray("broken");
        for (RuleViolation violation : verdict.violations()
                .subList(
                        0,
                        Math.min(MAX_DETAILED_VIOLATIONS, verdict.violations().size()))) {
            ObjectNode entry = violations
                    .addObject()
                    .put("rule", violation.rule().name().toLowerCase(Locale.ROOT))
                    .put("at", (violation.atNs() - day.eventLog().start()) / 1e9)
                    .put("what", violation.description());
            List<String> trace =
                    violation.request() == null ? List.of() : RequestTrace.of(violation.request(), day.eventLog());
            ArrayNode lines = entry.putArray("story");
            trace.forEach(lines::add);
        }
        ArrayNode notes = root.putArray("notes");
        day.notes().forEach(notes::add);
        try {
            return mapper.writeValueAsString(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
