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
public final class PathTable<T> {
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
    public record Match<T>(T target, Kind kind, String text, List<String> groups) {}

    private static final class Location<T> {
        private final Kind kind;
        private final String text;
        private final Pattern pattern;
        private final T target;
        private final PathTable<T> nested;

        Location(Kind kind, String text, Pattern pattern, T target, PathTable<T> nested) {
            this.kind = kind;
            this.text = text;
            this.pattern = pattern;
            this.target = target;
            this.nested = nested;
        }
    }

    private final Map<String, Location<T>> exact = new HashMap<>();
    private final PrefixTree<Location<T>> prefixes = new PrefixTree<>();
    private final List<Location<T>> regexes = new ArrayList<>();

    /** Adds a place with what is nested in it, or null; false if the same is there already. */
    public boolean add(Kind kind, String text, T target, PathTable<T> nested) {
        Location<T> location = new Location<>(kind, text, null, target, nested);
        return kind == Kind.EXACT ? exact.putIfAbsent(text, location) == null : prefixes.add(text, location);
    }

    /** Adds a regular expression, behind those that are there. */
    public void add(Pattern pattern, T target, PathTable<T> nested) {
        regexes.add(new Location<>(Kind.REGEX, pattern.pattern(), pattern, target, nested));
    }

    /** Null if no place fits the path. */
    public Match<T> find(String path) {
        return find(path, null);
    }

    /** As find, below a place that has been found so far. */
    private Match<T> find(String path, Match<T> parentMatch) {
        Location<T> location = exact.get(path);
        if (location != null) {
            return toMatch(location, List.of());
        }
        Match<T> best = parentMatch;
        location = prefixes.findLongest(path);
        if (location != null) {
            best = toMatch(location, List.of());
            Match<T> nestedMatch = location.nested == null ? best : location.nested.find(path, best);
            // What an exact path or a regular expression found down there ends the search up here.
            if (nestedMatch.kind == Kind.EXACT || nestedMatch.kind == Kind.REGEX || location.kind == Kind.PREFIX_ENDS) {
                return nestedMatch;
            }
            best = nestedMatch;
        }
        for (Location<T> r : regexes) {
            Matcher m = r.pattern.matcher(path);
            if (m.find()) {
                Match<T> regexMatch = toMatch(r, groups(m));
                Match<T> nestedMatch = r.nested == null ? regexMatch : r.nested.find(path, regexMatch);
                // Within a regular expression the search is over, whatever kind is nested.
                return nestedMatch.kind == Kind.PREFIX || nestedMatch.kind == Kind.PREFIX_ENDS
                        ? new Match<>(nestedMatch.target, Kind.REGEX, nestedMatch.text, regexMatch.groups)
                        : nestedMatch;
            }
        }
        return best;
    }

    private static <T> Match<T> toMatch(Location<T> p, List<String> groups) {
        return new Match<>(p.target, p.kind, p.text, groups);
    }

    private static List<String> groups(Matcher m) {
        List<String> groups = new ArrayList<>(m.groupCount() + 1);
        for (int i = 0; i <= m.groupCount(); i++) {
            groups.add(m.group(i) == null ? "" : m.group(i));
        }
        return groups;
    }
}
