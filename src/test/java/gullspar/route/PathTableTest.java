package gullspar.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.route.PathTable.Kind;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Finding the location of a path. */
class PathTableTest {
    private final PathTable<String> paths = new PathTable<>();

    private String find(String path) {
        PathTable.Match<String> match = paths.find(path);
        return match == null ? null : match.target();
    }

    private void addPrefix(String text) {
        assertTrue(paths.add(Kind.PREFIX, text, text, null));
    }

    @Test
    void matchesExactBeforePrefixAndRegexBeforePlainPrefix() {
        paths.add(Kind.EXACT, "/", "the root", null);
        addPrefix("/");
        addPrefix("/documents/");
        paths.add(Kind.PREFIX_ENDS, "/images/", "/images/", null);
        paths.add(Pattern.compile("\\.(gif|jpe?g)$", Pattern.CASE_INSENSITIVE), "pictures", null);
        assertEquals("the root", find("/"));
        assertEquals("/", find("/index.html"));
        assertEquals("/documents/", find("/documents/document.html"));
        assertEquals("/images/", find("/images/1.gif"));
        assertEquals("pictures", find("/documents/1.JPG"));
        assertEquals(List.of(".JPG", "JPG"), paths.find("/documents/1.JPG").groups());
        assertNull(find("no slash"));
    }

    @Test
    void matchesPrefixesThatDoNotEndAtASlash() {
        addPrefix("/a");
        addPrefix("/ab");
        addPrefix("/abc/d");
        assertEquals("/ab", find("/abc"));
        assertEquals("/abc/d", find("/abc/de"));
        assertEquals("/a", find("/a"));
        assertNull(find("/"));
        assertFalse(paths.add(Kind.PREFIX, "/ab", "again", null));
        assertFalse(paths.add(Kind.EXACT, "/x", "x", null) && paths.add(Kind.EXACT, "/x", "again", null));
    }

    @Test
    void usesTheFirstMatchingRegularExpression() {
        paths.add(Pattern.compile("^/b"), "first", null);
        paths.add(Pattern.compile("^/bc"), "second", null);
        assertEquals("first", find("/bcd"));
    }

    @Test
    void searchesLocationsNestedInAPrefix() {
        PathTable<String> nested = new PathTable<>();
        nested.add(Kind.PREFIX_ENDS, "/app/static/", "static", null);
        nested.add(Kind.EXACT, "/app/login", "login", null);
        nested.add(Pattern.compile("\\.do$"), "action", null);
        paths.add(Kind.PREFIX, "/app/", "app", nested);
        paths.add(Pattern.compile("\\.css$"), "css", null);
        assertEquals("app", find("/app/"));
        assertEquals("login", find("/app/login"));
        assertEquals("action", find("/app/x.do"));
        assertEquals("static", find("/app/static/x.js"));
        assertEquals("static", find("/app/static/x.do"), "the nested location ends the search at its level");
        assertEquals("css", find("/app/static/x.css"), "but not at the level above");
        assertEquals("css", find("/app/x.css"));
    }

    @Test
    void searchesLocationsNestedInAFinalPrefixOrARegex() {
        PathTable<String> nested = new PathTable<>();
        nested.add(Kind.PREFIX, "/keep/deep/", "deep", null);
        paths.add(Kind.PREFIX_ENDS, "/keep/", "keep", nested);
        PathTable<String> inRegex = new PathTable<>();
        inRegex.add(Pattern.compile("\\.php$"), "php", null);
        inRegex.add(Kind.PREFIX, "/u/admin", "admin", null);
        paths.add(Pattern.compile("^/u/"), "users", inRegex);
        paths.add(Pattern.compile("."), "any", null);
        assertEquals("deep", find("/keep/deep/x"));
        assertEquals("keep", find("/keep/x"));
        assertEquals("users", find("/u/x"));
        assertEquals("php", find("/u/x.php"));
        assertEquals("admin", find("/u/admin"));
        assertEquals("any", find("/else"));
    }

    /** Compares the tree with a linear search, for random prefixes and paths from an alphabet of three characters. */
    @Test
    void prefixTreeFindsTheLongestPrefix() {
        SplittableRandom random = new SplittableRandom(1);
        for (int round = 0; round < 200; round++) {
            PrefixTree<String> tree = new PrefixTree<>();
            Map<String, String> all = new HashMap<>();
            for (int i = 0; i < 40; i++) {
                String prefix = randomWord(random, 6);
                assertEquals(all.putIfAbsent(prefix, prefix) == null, tree.add(prefix, prefix));
            }
            for (int i = 0; i < 200; i++) {
                String path = randomWord(random, 9);
                String longest = all.keySet().stream()
                        .filter(path::startsWith)
                        .max((a, b) -> Integer.compare(a.length(), b.length()))
                        .orElse(null);
                assertEquals(longest, tree.findLongest(path), path);
            }
        }
    }

    private static String randomWord(SplittableRandom random, int maxLength) {
        StringBuilder s = new StringBuilder();
        for (int n = random.nextInt(maxLength); n > 0; n--) {
            s.append("ab/".charAt(random.nextInt(3)));
        }
        return s.toString();
    }
}
