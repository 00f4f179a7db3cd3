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

/** The result of a day for machines: one JSON object. Times in s from the start of the day. */
public final class JsonReport {
    /** Broken rules that are told in full; the rest are counted. */
    private static final int MOST_STORIES = 20;

    private JsonReport() {}

    /** One line of JSON. */
    public static String of(DayResult p) {
        ObjectMapper mapper = new ObjectMapper();
        Verdict v = p.verdict();
        ObjectNode root = mapper.createObjectNode();
        root.put("title", p.script().title())
                .put("seed", p.script().seed())
                .put("seconds", p.script().seconds())
                .put("sha256", p.decisionHash())
                .put("decisions", p.decisionCount())
                .put("played_s", p.wallTimeNs() / 1e9)
                .put("orders", v.orders())
                .put("service", v.service())
                .put("worst_10s", v.worst10s())
                .put("worst_10s_from", v.worstFromNs() / 1e9)
                .put("worst_class", v.worstClass())
                .put("worst_class_name", v.worstClassName())
                .put("ran_twice", v.duplicateEffects())
                .put("kept", v.hasNoViolations());
        ObjectNode tries = root.putObject("tries");
        v.counts().forEach((name, n) -> tries.put(name.replace(' ', '_'), n));
        root.put("broken_rules", v.violations().size());
        ArrayNode broken = root.putArray("broken");
        for (RuleViolation b :
                v.violations().subList(0, Math.min(MOST_STORIES, v.violations().size()))) {
            ObjectNode o = broken.addObject()
                    .put("rule", b.rule().name().toLowerCase(Locale.ROOT))
                    .put("at", (b.atNs() - p.eventLog().start()) / 1e9)
                    .put("what", b.description());
            List<String> story = b.request() == null ? List.of() : RequestTrace.of(b.request(), p.eventLog());
            ArrayNode lines = o.putArray("story");
            story.forEach(lines::add);
        }
        ArrayNode notes = root.putArray("notes");
        p.notes().forEach(notes::add);
        try {
            return mapper.writeValueAsString(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
