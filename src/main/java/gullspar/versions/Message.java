package gullspar.versions;

import java.util.List;

/** What goes over a connection between followers, control processes and operators' commands. */
public sealed interface Message {
    /** Characters of the longest name of a follower or of a control process. */
    int MAX_NAME_CHARS = 64;
    /** Characters of the longest reason. */
    int MAX_REASON_CHARS = 300;

    /** As what somebody follows. The primary does after a start, to be told what the others have. */
    enum Role {
        PROXY,
        CONTROL,
        PRIMARY
    }

    /** A follower begins: who it is, and what it has, null for nothing. */
    record Hello(String name, Role role, Version has) implements Message {}

    /**
     * A control process says what it has, null for nothing; each second, so it is its beat as well. inStep:
     * it has heard within moments that there is nothing newer.
     */
    record Head(String control, Version head, boolean inStep) implements Message {}

    /**
     * A newer version: by the changes that lead there, or, where these are empty, by its text. ancestor: what
     * the control process had at the follower's place, null if it does not know.
     */
    record Update(Version to, Version ancestor, List<Delta> deltas, String text) implements Message {}

    /** The follower could not use an update, and asks for a snapshot. */
    record SnapshotRequest() implements Message {}

    /** What a follower runs, null for nothing; why it does not run a newer one, empty for no trouble. */
    record Ack(Version inForce, String trouble) implements Message {}

    /** What a control process knows of its followers, to the primary: those that have changed. */
    record Report(List<FollowerState> states) implements Message {}

    /** An operator's change. after: the number that it was written against; 0 for the first. */
    record Publish(long baseNumber, String file, String text) implements Message {}

    /** What became of it; head: the newest version, null for none. */
    record Published(Publisher.Outcome outcome, Version head, List<String> lines) implements Message {}

    /** An operator asks who runs what; with whole also those in order. */
    record StatusRequest(boolean full) implements Message {}

    /** control: who answers; primary: is it the primary; all: who runs what. */
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
     * What somebody runs.
     *
     * @param epoch and number: of the version; both 0 for none
     * @param awayMs for so long it has not been connected; 0 if it is
     * @param via the control process that it is, or was last, connected to
     */
    record FollowerState(
            String name, boolean control, long epoch, long number, String trouble, long awayMs, String via) {}
}
