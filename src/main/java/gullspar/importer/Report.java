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
    public record Entry(Directive directive, Verdict verdict, String why) {}

    private final Map<Directive, Entry> entries = new IdentityHashMap<>();

    /**
     * Says what became of a directive. One that is used in several places may be translated in one and not in
     * another: the worse counts.
     */
    void put(Directive d, Verdict verdict, String why) {
        Entry known = entries.get(d);
        if (known == null
                || known.verdict().ordinal() < verdict.ordinal()
                || known.verdict() == verdict && known.why().isEmpty()) {
            entries.put(d, new Entry(d, verdict, why));
        }
    }

    void translated(Directive d) {
        put(d, Verdict.TRANSLATED, "");
    }

    void translated(Directive d, String remark) {
        put(d, Verdict.TRANSLATED, remark);
    }

    void not(Directive d, String why) {
        put(d, Verdict.NOT_TRANSLATABLE, why);
    }

    boolean has(Directive d) {
        return entries.containsKey(d);
    }

    /** The same for a directive and all in its block. */
    void all(Directive d, Verdict verdict, String why) {
        put(d, verdict, why);
        if (d.block() != null) {
            d.block().forEach(inner -> all(inner, verdict, why));
        }
    }

    /** All entries, in the order of the files. */
    public List<Entry> entries(List<Directive> tree) {
        return tree.stream()
                .flatMap(d -> {
                    List<Entry> below = d.block() == null ? List.of() : entries(d.block());
                    return Stream.concat(Stream.of(entries.get(d)), below.stream());
                })
                .toList();
    }

    /** Is there anything that could not be translated? */
    public boolean complete() {
        return entries.values().stream().noneMatch(e -> e.verdict() == Verdict.NOT_TRANSLATABLE);
    }
}
