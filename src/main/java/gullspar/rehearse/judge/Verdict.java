package gullspar.rehearse.judge;

import java.util.List;
import java.util.Map;

/**
 * The result of a day. Shares are of the requested worth, 0 to 1; violations are sorted by time.
 * Counts are of tries by how they ended; duplicateEffects is the number of keyed orders that took effect more
 * than once, by their clients' own retries.
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
