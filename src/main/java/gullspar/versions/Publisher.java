package gullspar.versions;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides at the primary whether a change becomes the next version. After each start it first needs the versions
 * of all other control processes, because its own disk may have been restored from an older state.
 */
public final class Publisher {
    /** The outcome of a change. */
    public enum Outcome {
        /** The change is the next version. */
        ACCEPTED,
        /** The newest version already has this text. */
        SAME,
        /** The change is based on an older version than the newest. */
        OLDER,
        /** The text is invalid or too long. */
        WRONG,
        /** The primary accepts no changes at present, see {@link #obstacle}. */
        NOT_READY,
        /** The change was sent to a control process that is not the primary. */
        NOT_PRIMARY,
        /** The change could not be persisted. */
        FAILED
    }

    /** Validates a text; returns one line for each problem, as file:line:column: description. */
    public interface Check {
        List<String> problems(String file, String text);
    }

    /** document: the next version if accepted, otherwise null. */
    public record Decision(Outcome outcome, List<String> lines, Document document) {
        static Decision reject(Outcome o, String line) {
            return new Decision(o, List.of(line), null);
        }
    }

    private final long epoch;
    private final Set<String> awaited;
    private final Map<String, Version> otherVersions = new HashMap<>();

    /** others: the names of the other control processes. */
    public Publisher(long epoch, Set<String> others) {
        this.epoch = epoch;
        this.awaited = new TreeSet<>(others);
    }

    /**
     * Records the version of another control process or follower, or null. Fetching a newer version from a control
     * process is not done here.
     */
    public void recordVersion(String name, Version version) {
        awaited.remove(name);
        if (version != null) {
            otherVersions.put(name, version);
        }
    }

    /** Whether the versions of all other control processes are known. */
    public boolean hasAllVersions() {
        return awaited.isEmpty();
    }

    /** Why changes are not accepted now; null if they are. */
    public String obstacle(History history) {
        if (!awaited.isEmpty()) {
            return "waiting for the versions of these control processes: " + String.join(", ", awaited);
        }
        Version head = history.version();
        if (head != null && head.epoch() > epoch) {
            return "this primary is of epoch " + epoch + ", but version " + head + " has a later epoch";
        }
        for (Map.Entry<String, Version> o : otherVersions.entrySet()) {
            Version v = o.getValue();
            if (v.epoch() >= epoch && (head == null || v.comparePosition(head) > 0)) {
                return o.getKey() + " has version " + v + ", this primary has "
                        + (head == null ? "none" : "only " + head);
            }
            Version own = history.versionAt(v);
            if (v.epoch() >= epoch && own != null && !own.equals(v)) {
                return o.getKey() + " has another version with the same number: " + v + ", this primary has " + own;
            }
        }
        return null;
    }

    /** Whether no other process is known or suspected to have a newer version. */
    public boolean isReady(History history) {
        return obstacle(history) == null;
    }

    /**
     * Decides on a change based on the version with that number, 0 for the first. An accepted change must still
     * be validated and persisted; until then no other change may be decided.
     */
    public Decision decide(long baseNumber, String file, String text, History history) {
        String obstacle = obstacle(history);
        if (obstacle != null) {
            return Decision.reject(Outcome.NOT_READY, obstacle);
        }
        Document head = history.head();
        long number = head == null ? 0 : head.version().number();
        if (baseNumber != number) {
            return Decision.reject(
                    Outcome.OLDER,
                    "written against version " + baseNumber + ", but "
                            + (head == null ? "there is none yet" : head.version() + " is newer"));
        }
        if (text.length() > Document.MAX_CHARS) {
            return Decision.reject(Outcome.WRONG, file + ":1:1: is longer than " + Document.MAX_CHARS + " characters");
        }
        if (head != null && head.text().equals(text)) {
            return Decision.reject(Outcome.SAME, "version " + head.version() + " already has this text");
        }
        long highest = number;
        for (Version v : otherVersions.values()) {
            highest = Math.max(highest, v.number()); // of a former epoch: numbers are never reused
        }
        return new Decision(
                Outcome.ACCEPTED,
                List.of(),
                new Document(
                        new Version(
                                epoch,
                                highest + 1,
                                Checksum.of(text),
                                head == null ? Checksum.NONE : head.version().id()),
                        text));
    }
}
