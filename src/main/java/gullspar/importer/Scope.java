package gullspar.importer;

import gullspar.nginx.Directive;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The directives that apply to a block: a block inherits the directives of a name from the enclosing block unless
 * it has directives of that name itself.
 */
final class Scope {
    private final Scope outer;
    private final Map<String, List<Directive>> own = new LinkedHashMap<>();

    Scope(Scope outer, List<Directive> block) {
        this.outer = outer;
        block.forEach(d ->
                own.computeIfAbsent(d.name().text(), n -> new ArrayList<>()).add(d));
    }

    /** Returns the directives of that name in this block, in order. */
    List<Directive> own(String name) {
        return own.getOrDefault(name, List.of());
    }

    /** Returns the directives of that name that apply: all those of the nearest block with any. */
    List<Directive> find(String name) {
        List<Directive> here = own(name);
        return !here.isEmpty() || outer == null ? here : outer.find(name);
    }

    /** Returns the last directive that applies; null if there is none. */
    Directive last(String name) {
        List<Directive> all = find(name);
        return all.isEmpty() ? null : all.get(all.size() - 1);
    }

    /** Returns the first argument of the last directive that applies; else the default. */
    String value(String name, String defaultValue) {
        Directive d = last(name);
        return d == null ? defaultValue : d.argument(0).orElse(defaultValue);
    }
}
