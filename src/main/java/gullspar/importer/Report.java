package gullspar.importer;

import gullspar.nginx.Directive;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** What became of each directive: exactly one of three, and why. */
public final class Report {
    /** What can become of a directive. */
    public enum Verdict {
        NO_EFFECT,
        TRANSLATED,
        NOT_TRANSLATABLE
    }

    /** What became of one; why is empty where a translation needs no remark. */
    public record Entry(Directive directive, Verdict verdict, String reason) {}

    private final Map<Directive, Entry> entries = new IdentityHashMap<>();

    /**
     * Says what became of a directive. One that is used in several places may be translated in one and not in
     * another: the worse counts.
     */
    void put(Directive d, Verdict verdict, String reason) {
        Entry previous = entries.get(d);
        if (previous == null
                || previous.verdict().ordinal() < verdict.ordinal()
                || previous.verdict() == verdict && previous.reason().isEmpty()) {
            entries.put(d, new Entry(d, verdict, reason));
        }
    }

    void translated(Directive d) {
        put(d, Verdict.TRANSLATED, "");
    }

    void translated(Directive d, String remark) {
        put(d, Verdict.TRANSLATED, remark);
    }

    void notTranslatable(Directive d, String reason) {
        put(d, Verdict.NOT_TRANSLATABLE, reason);
    }

    boolean contains(Directive d) {
        return entries.containsKey(d);
    }

    /** The same for a directive and all in its block. */
    void putAll(Directive d, Verdict verdict, String reason) {
        put(d, verdict, reason);
        if (d.block() != null) {
            d.block().forEach(inner -> putAll(inner, verdict, reason));
        }
    }

    /** All entries, in the order of the files. */
    public List<Entry> entries(List<Directive> directives) {
        return directives.stream()
                .flatMap(d -> {
                    List<Entry> nested = d.block() == null ? List.of() : entries(d.block());
                    return Stream.concat(Stream.of(entries.get(d)), nested.stream());
                })
                .toList();
    }

    /** Is there anything that could not be translated? */
    public boolean isComplete() {
        return entries.values().stream().noneMatch(e -> e.verdict() == Verdict.NOT_TRANSLATABLE);
    }
}
