package gullspar.rehearse.judge;

import java.util.List;
import java.util.Map;

/**
 * What came of a day. Shares are of the worth that was asked for, 0 to 1; the first broken rule stands first.
 * Counts are of tries by how they ended; twice is the number of keyed orders that took effect more than once,
 * by their clients' own retries.
 */
public record Verdict(
        List<RuleViolation> violations,
        double service,
        double worst10s,
        long worstFromNs,
        double worstClass,
        String worstClassName,
        Map<String, Integer> counts,
        int orders,
        int duplicateEffects) {
    public boolean hasNoViolations() {
        return violations.isEmpty();
    }
}
