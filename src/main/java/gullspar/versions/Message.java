package gullspar.versions;

import java.util.List;

/** Messages between followers, control processes and operators' commands. */
public sealed interface Message {
    /** Limit for the name of a follower or control process. */
    int MAX_NAME_CHARS = 64;
    /** Limit for a reason. */
    int MAX_REASON_CHARS = 300;

    /** The role of a follower. The primary follows the others after a start to collect the versions they have. */
    enum Role {
        PROXY,
        CONTROL,
        PRIMARY
    }

    /** Sent first by a follower: its identity and the version it has, or null. */
    record Hello(String name, Role role, Version held) implements Message {}

    /**
     * The newest version of a control process, or null. Sent every second, so it is also the heartbeat. inStep:
     * it was recently confirmed that there is nothing newer.
     */
    record Head(String control, Version head, boolean inStep) implements Message {}

    /**
     * A newer version, as deltas or, if these are empty, as its whole text. ancestor: the version of the control
     * process with the epoch and number of the follower's, null if unknown.
     */
    record Update(Version to, Version ancestor, List<Delta> deltas, String text) implements Message {}

    /** Sent by a follower that could not apply an update. */
    record SnapshotRequest() implements Message {}

    /** The version in force at a follower, or null; trouble: why a newer one is not, empty if none. */
    record Ack(Version inForce, String trouble) implements Message {}

    /** Sent by a control process to the primary: its followers whose state has changed. */
    record Report(List<FollowerState> states) implements Message {}

    /** An operator's change. baseNumber: the version number it is based on; 0 for the first. */
    record Publish(long baseNumber, String file, String text) implements Message {}

    /** The outcome of a change; head: the newest version, or null. */
    record Published(Publisher.Outcome outcome, Version head, List<String> lines) implements Message {}

    /** An operator's request for the states of the followers; full: includes those that are up to date. */
    record StatusRequest(boolean full) implements Message {}

    /** control: name of the responding process; primary: whether it is the primary. */
    record StatusResponse(
            String control,
            boolean primary,
            boolean inStep,
            Version head,
            int followers,
            int inForce,
            List<FollowerState> states)
            implements Message {}

    /**
     * The state of a follower or control process.
     *
     * @param epoch of the version in force, like number; both are 0 for none
     * @param awayMs time since it was last connected; 0 if it is connected
     * @param via the control process it is or was last connected to
     */
    record FollowerState(
            String name, boolean control, long epoch, long number, String trouble, long awayMs, String via) {}
}
