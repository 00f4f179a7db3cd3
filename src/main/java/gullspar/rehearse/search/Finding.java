package gullspar.rehearse.search;

import gullspar.rehearse.judge.Rule;
import gullspar.rehearse.judge.RuleViolation;
import gullspar.rehearse.judge.Verdict;
import gullspar.rehearse.script.Script;
import java.util.Locale;

/** A day that breaks a rule or falls below the service bound; in the latter case the rule is null. */
public record Finding(Script script, Rule rule, String description) {
    /**
     * Returns the first broken rule of a day, other than the script's own expectations, or else service below
     * the bound; null if there is neither.
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

    /** The rule's name in file names and the state file; "service" if the service was too low. */
    public String ruleName() {
        return rule == null ? "service" : rule.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
