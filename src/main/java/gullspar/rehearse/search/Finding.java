package gullspar.rehearse.search;

import gullspar.rehearse.judge.Rule;
import gullspar.rehearse.judge.RuleViolation;
import gullspar.rehearse.judge.Verdict;
import gullspar.rehearse.script.Script;
import java.util.Locale;

/**
 * A day on which something is wrong. The rule is null where the service was too low.
 */
public record Finding(Script script, Rule rule, String description) {
    /**
     * What is wrong with a day, if anything: the first broken rule, or service under the bound; else null.
     */
    static Finding fromVerdict(Script script, Verdict verdict) {
        for (RuleViolation violation : verdict.violations()) {
            if (violation.rule() != Rule.EXPECTED) {
                return new Finding(script, violation.rule(), violation.description());
            }
        }
        return verdict.service() < script.search().minService()
                ? new Finding(
                        script,
                        null,
                        "service " + verdict.service() + ", under "
                                + script.search().minService())
                : null;
    }

    /** A short name of what is wrong. */
    public String ruleName() {
        return rule == null ? "service" : rule.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
