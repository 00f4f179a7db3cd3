package gullspar.importer;

import gullspar.nginx.Directive;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A block with those round it: a directive holds in the blocks below unless one there has its own. */
final class Scope {
    private final Scope outer;
    private final Map<String, List<Directive>> own = new LinkedHashMap<>();

    Scope(Scope outer, List<Directive> block) {
        this.outer = outer;
        block.forEach(d ->
                own.computeIfAbsent(d.name().text(), n -> new ArrayList<>()).add(d));
    }

    /** Those of this block alone, in their order. */
    List<Directive> own(String name) {
        return own.getOrDefault(name, List.of());
    }

    /** Those of the nearest block that has any; with several of a name all of that block, none of others. */
    List<Directive> find(String name) {
        List<Directive> here = own(name);
        return !here.isEmpty() || outer == null ? here : outer.find(name);
    }

    /** The last of the nearest block; null if there is none. */
    Directive last(String name) {
        List<Directive> all = find(name);
        return all.isEmpty() ? null : all.get(all.size() - 1);
    }

    /** The first argument of the last one; otherwise what is usual. */
    String value(String name, String defaultValue) {
        Directive d = last(name);
        return d == null ? defaultValue : d.argument(0).orElse(defaultValue);
    }
}
