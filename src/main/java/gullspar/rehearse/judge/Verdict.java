package gullspar.rehearse.judge;

import java.util.List;
import java.util.Map;

/**
 * The judgment of a day. Shares are of the requested worth that was served in time, 0 to 1.
 *
 * @param violations sorted by time
 * @param service the share over the whole day
 * @param worst10s the share in the worst window of 10 s; that of the whole day if the day is shorter
 * @param worstFromNs the start of that window, from the start of the day
 * @param worstClass the share of the class with the lowest one
 * @param counts the number of requests by the name of their ending
 * @param orders the number of orders
 * @param duplicateEffects the number of deduplicated orders that took effect more than once, by their clients' own
 *     retries
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
