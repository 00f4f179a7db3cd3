package gullspar.versions;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What the primary decides: whether a change becomes the next version. It asks the other control processes
 * first, after each start, what they have: its own disk may be one that was put back.
 */
public final class Publisher {
    /** What became of a change. */
    public enum Outcome {
        ACCEPTED,
        SAME,
        OLDER,
        WRONG,
        NOT_READY,
        NOT_PRIMARY,
        FAILED
    }

    /** Finds all that is wrong with a text: a line each, file:line:column: what. */
    public interface Check {
        List<String> problems(String file, String text);
    }

    /** document: the next version if it was accepted, else null. */
    public record Decision(Outcome outcome, List<String> lines, Document document) {
        static Decision reject(Outcome o, String line) {
            return new Decision(o, List.of(line), null);
        }
    }

    private final long epoch;
    private final Set<String> awaited;
    private final Map<String, Version> others = new HashMap<>();

    /** others: the names of the other control processes. */
    public Publisher(long epoch, Set<String> others) {
        this.epoch = epoch;
        this.awaited = new TreeSet<>(others);
    }

    /**
     * Another control process, or a follower, has that version; null for none. A control process that could
     * give it away is asked for it elsewhere.
     */
    public void recordVersion(String name, Version version) {
        awaited.remove(name);
        if (version != null) {
            others.put(name, version);
        }
    }

    /** Has every other control process been heard? */
    public boolean hasAllVersions() {
        return awaited.isEmpty();
    }

    /** Why no change is taken now; null if one is. */
    public String obstacle(History history) {
        if (!awaited.isEmpty()) {
            return "not yet heard which version these control processes have: " + String.join(", ", awaited);
        }
        Version head = history.version();
        if (head != null && head.epoch() > epoch) {
            return "this primary is of epoch " + epoch + ", and version " + head + " of a later one";
        }
        for (Map.Entry<String, Version> o : others.entrySet()) {
            Version v = o.getValue();
            if (v.epoch() >= epoch && (head == null || v.comparePosition(head) > 0)) {
                return o.getKey() + " has version " + v + ", this primary only " + (head == null ? "nothing" : head);
            }
            Version mine = history.versionAt(v);
            if (v.epoch() >= epoch && mine != null && !mine.equals(v)) {
                return o.getKey() + " has another version of the same place: " + v + ", this primary " + mine;
            }
        }
        return null;
    }

    /** Is this primary sure that nobody has a newer one? */
    public boolean isReady(History history) {
        return obstacle(history) == null;
    }

    /**
     * Decides about a change that was written against the version of that number, 0 for the first. An
     * accepted one is yet to be checked and kept; meanwhile no other may be decided about.
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
                            + (head == null ? "there is none yet" : head.version() + " came first"));
        }
        if (text.length() > Document.MAX_CHARS) {
            return Decision.reject(Outcome.WRONG, file + ":1:1: is longer than " + Document.MAX_CHARS + " characters");
        }
        if (head != null && head.text().equals(text)) {
            return Decision.reject(Outcome.SAME, "that is version " + head.version() + " already");
        }
        long highest = number;
        for (Version v : others.values()) {
            highest = Math.max(highest, v.number()); // of a former epoch: numbers are not given twice
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
