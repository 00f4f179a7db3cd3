package gullspar.importer;

import gullspar.nginx.Directive;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** The verdict on each directive, and its reason. */
public final class Report {
    /** The verdict on a directive, from best to worst. */
    public enum Verdict {
        NO_EFFECT,
        TRANSLATED,
        NOT_TRANSLATABLE
    }

    /** The verdict on a directive; the reason is empty for a translation without a remark. */
    public record Entry(Directive directive, Verdict verdict, String reason) {}

    private final Map<Directive, Entry> entries = new IdentityHashMap<>();

    /**
     * Sets the verdict on a directive. A directive that applies to several blocks may get several verdicts, of
     * which the worst is kept.
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

    /** Sets the verdict on a directive and on all directives in its block. */
    void putAll(Directive d, Verdict verdict, String reason) {
        put(d, verdict, reason);
        if (d.block() != null) {
            d.block().forEach(inner -> putAll(inner, verdict, reason));
        }
    }

    /** Returns the entries of directives and of those in their blocks, in order. */
    public List<Entry> entries(List<Directive> directives) {
        return directives.stream()
                .flatMap(d -> {
                    List<Entry> nested = d.block() == null ? List.of() : entries(d.block());
                    return Stream.concat(Stream.of(entries.get(d)), nested.stream());
                })
                .toList();
    }

    /** Returns whether no directive is NOT_TRANSLATABLE. */
    public boolean isComplete() {
        return entries.values().stream().noneMatch(e -> e.verdict() == Verdict.NOT_TRANSLATABLE);
    }
}
