package gullspar.peers;

import java.util.List;

/**
 * A snapshot of the fleet as one process sees it.
 *
 * @param self the process itself
 * @param cutOff fewer than half of the recently present members are alive in this view
 * @param known the number of recently present members, itself included
 * @param seen how many of these are alive, itself included
 * @param settled nothing has changed for a while and no member is suspected
 * @param health the health score of this process: 0 is healthy, a higher one lengthens its intervals and time-outs
 * @param members all others, by name, then the most recently started first
 */
public record View(
        Member self, boolean cutOff, int known, int seen, boolean settled, int health, List<Member> members) {
    /** Status of a member in this view. */
    public enum Status {
        ALIVE,
        SUSPECTED,
        GONE,
        /** It does not answer, but this process may itself be cut off from the fleet. */
        UNKNOWN,
        LEFT
    }

    /**
     * One life of a member. Ages in ms.
     *
     * @param statusAgeMs the time since its last change of status
     * @param reason the accuser, or another reason of its status; may be empty
     * @param statementAgeMs the age of its statement
     * @param upMs the uptime of its process
     * @param incarnation its incarnation, raised by each refutation
     * @param twin another process runs under its name
     * @param indirectOnly it last answered only indirect probes, not this process
     * @param lastAckAgeMs the time since it last answered this process directly; -1 if never
     * @param agrees false if, by its last statement, its view has other members alive than this one
     */
    public record Member(
            Identity id,
            Statement statement,
            Status status,
            long statusAgeMs,
            String reason,
            long statementAgeMs,
            long upMs,
            int incarnation,
            boolean twin,
            boolean indirectOnly,
            long lastAckAgeMs,
            boolean agrees) {}

    /** Returns the most recently started life of that name; null if there is none. */
    public Member findByName(String name) {
        if (self.id().name().equals(name)) {
            return self;
        }
        return members.stream()
                .filter(m -> m.id().name().equals(name))
                .findFirst()
                .orElse(null);
    }
}
