package gullspar.peers;

import java.util.List;

/**
 * The fleet as one process sees it at one moment.
 *
 * @param self the process itself
 * @param cutOff it sees fewer than half of those that it saw lately
 * @param known how many it saw lately, itself included
 * @param seen how many of these it sees now, itself included
 * @param settled nothing has changed for a while and nobody is suspected
 * @param health 0 is well; above, this process hears badly and waits longer
 * @param members all others, by name and then the latest first
 */
public record View(
        Member self, boolean cutOff, int known, int seen, boolean settled, int health, List<Member> members) {
    /** What a member is held for. */
    public enum Status {
        ALIVE,
        SUSPECTED,
        GONE,
        /** It is not heard, and neither are most: it may be this process that is cut off. */
        UNKNOWN,
        LEFT
    }

    /**
     * One life of a member. Ages in ms.
     *
     * @param sinceMs how long it has that status
     * @param why who accuses it, or why it went; may be empty
     * @param statedMs how old its statement is
     * @param upMs how long its process has lived
     * @param incarnation how often it has objected to an accusation
     * @param twin another process lives under its name
     * @param onlyByOthers it answers others, and did not answer this process the last time
     * @param answeredMs when it last answered this process itself; -1 if never
     * @param agrees false if it sees others than this process does, as far as its last statement tells
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

    /** The latest life under that name; null if there is none. */
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
