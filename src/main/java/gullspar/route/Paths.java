package gullspar.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Which of a virtual host's places a path belongs to. Looked for at one level: the exact path, which ends the
 * search; else the longest prefix, and below it what is nested there; then, unless that prefix ends the
 * search, the first regular expression that is found in the path, and what is nested below that. Regular
 * expressions nested in a place come before those beside it. Cost: the length of the path, and one try for
 * each regular expression.
 */
public final class Paths<T> {
    /** How a place is written down. */
    public enum Kind {
        EXACT,
        PREFIX,
        PREFIX_ENDS,
        REGEX
    }

    /**
     * What was found, by which text, and what a regular expression caught: group 0 first, none for the
     * others.
     */
    public record Found<T>(T target, Kind kind, String text, List<String> groups) {}

    private static final class Place<T> {
        private final Kind kind;
        private final String text;
        private final Pattern pattern;
        private final T target;
        private final Paths<T> nested;

        Place(Kind kind, String text, Pattern pattern, T target, Paths<T> nested) {
            this.kind = kind;
            this.text = text;
            this.pattern = pattern;
            this.target = target;
            this.nested = nested;
        }
    }

    private final Map<String, Place<T>> exact = new HashMap<>();
    private final PrefixTree<Place<T>> prefixes = new PrefixTree<>();
    private final List<Place<T>> regexes = new ArrayList<>();

    /** Adds a place with what is nested in it, or null; false if the same is there already. */
    public boolean add(Kind kind, String text, T target, Paths<T> nested) {
        Place<T> place = new Place<>(kind, text, null, target, nested);
        return kind == Kind.EXACT ? exact.putIfAbsent(text, place) == null : prefixes.add(text, place);
    }

    /** Adds a regular expression, behind those that are there. */
    public void add(Pattern pattern, T target, Paths<T> nested) {
        regexes.add(new Place<>(Kind.REGEX, pattern.pattern(), pattern, target, nested));
    }

    /** Null if no place fits the path. */
    public Found<T> find(String path) {
        return find(path, null);
    }

    /** As find, below a place that has been found so far. */
    private Found<T> find(String path, Found<T> soFar) {
        Place<T> place = exact.get(path);
        if (place != null) {
            return found(place, List.of());
        }
        Found<T> best = soFar;
        place = prefixes.longest(path);
        if (place != null) {
            best = found(place, List.of());
            Found<T> below = place.nested == null ? best : place.nested.find(path, best);
            // What an exact path or a regular expression found down there ends the search up here.
            if (below.kind == Kind.EXACT || below.kind == Kind.REGEX || place.kind == Kind.PREFIX_ENDS) {
                return below;
            }
            best = below;
        }
        for (Place<T> r : regexes) {
            Matcher m = r.pattern.matcher(path);
            if (m.find()) {
                Found<T> here = found(r, groups(m));
                Found<T> below = r.nested == null ? here : r.nested.find(path, here);
                // Within a regular expression the search is over, whatever kind is nested.
                return below.kind == Kind.PREFIX || below.kind == Kind.PREFIX_ENDS
                        ? new Found<>(below.target, Kind.REGEX, below.text, here.groups)
                        : below;
            }
        }
        return best;
    }

    private static <T> Found<T> found(Place<T> p, List<String> groups) {
        return new Found<>(p.target, p.kind, p.text, groups);
    }

    private static List<String> groups(Matcher m) {
        List<String> groups = new ArrayList<>(m.groupCount() + 1);
        for (int i = 0; i <= m.groupCount(); i++) {
            groups.add(m.group(i) == null ? "" : m.group(i));
        }
        return groups;
    }
}
