package gullspar.rehearse.search;

import gullspar.rehearse.judge.Rule;
import gullspar.rehearse.judge.RuleViolation;
import gullspar.rehearse.judge.Verdict;
import gullspar.rehearse.script.Script;
import java.util.Locale;

/**
 * A day on which something is wrong. The rule is null where the service was too low.
 */
public record Finding(Script script, Rule rule, String what) {
    /**
     * What is wrong with a day, if anything: the first broken rule, or service under the bound; else null.
     */
    static Finding in(Script script, Verdict v) {
        for (RuleViolation b : v.violations()) {
            if (b.rule() != Rule.EXPECTED) {
                return new Finding(script, b.rule(), b.description());
            }
        }
        return v.service() < script.search().minService()
                ? new Finding(
                        script,
                        null,
                        "service " + v.service() + ", under " + script.search().minService())
                : null;
    }

    /** A short name of what is wrong. */
    public String name() {
        return rule == null ? "service" : rule.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
