package gullspar.importer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import gullspar.config.Site;
import gullspar.config.SiteReader;
import gullspar.nginx.Directive;
import gullspar.nginx.Parser;
import gullspar.nginx.Problem;
import gullspar.route.Request;
import gullspar.route.Router;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Properties of the parser and the importer with generated configurations. Seeds are fixed for repeatable runs. */
class ImporterPropertiesTest {
    /** A location: its arguments and the locations in its block. */
    record Location(String arguments, List<Location> nested) {}

    private static final List<String> PATHS = List.of("/", "/a", "/a/", "/a/b", "/ab", "/b/", "/a/b/", "/b");
    private static final List<String> REGEXES = List.of("^/a", "b$", "/b/", "^/(a|b)/b", "a", "^/$", "\\.x$");

    private static Arbitrary<String> locationArguments(boolean regexes) {
        Arbitrary<String> paths = Arbitraries.of(PATHS);
        Arbitrary<String> plain =
                Combinators.combine(Arbitraries.of("", "= ", "^~ ", ""), paths).as((kind, path) -> kind + path);
        return regexes
                ? Arbitraries.oneOf(
                        plain,
                        Combinators.combine(Arbitraries.of("~ ", "~* "), Arbitraries.of(REGEXES))
                                .as((kind, regex) -> kind + regex))
                : plain;
    }

    private static Arbitrary<List<Location>> locations(int depth) {
        Arbitrary<List<Location>> nested = depth == 0 ? Arbitraries.just(List.of()) : locations(depth - 1);
        return Combinators.combine(locationArguments(true), nested)
                .as(Location::new)
                .list()
                .ofMaxSize(5);
    }

    @Provide
    Arbitrary<List<Location>> locationLists() {
        return locations(2);
    }

    @Provide
    Arbitrary<String> requestPaths() {
        return Combinators.combine(
                        Arbitraries.strings().withChars("/ab").ofMaxLength(7), Arbitraries.of("", "", ".x", "/"))
                .as((path, end) -> "/" + path + end);
    }

    /**
     * Writes the locations that nginx accepts: a nested location begins with the prefix of the enclosing one, an
     * exact location has no nested ones, and there are no duplicates.
     */
    private static void writeLocations(
            List<Location> locations, String requiredPrefix, StringBuilder conf, int[] serverCount) {
        Set<String> seen = new HashSet<>();
        for (Location location : locations) {
            String[] arguments = location.arguments().split(" ");
            String path = arguments[arguments.length - 1];
            boolean isRegex = location.arguments().startsWith("~");
            if (!isRegex && !path.startsWith(requiredPrefix)
                    || !seen.add(location.arguments().startsWith("^~ ") ? path : location.arguments())) {
                continue;
            }
            conf.append("location ")
                    .append(location.arguments())
                    .append(" {\nproxy_pass http://10.0.")
                    .append(serverCount[0] / 250)
                    .append('.')
                    .append(serverCount[0]++ % 250 + 1)
                    .append(":80;\n");
            if (!location.arguments().startsWith("=")) {
                // Any location may be nested in a regular expression.
                writeLocations(location.nested(), isRegex ? requiredPrefix : path, conf, serverCount);
            }
            conf.append("}\n");
        }
    }

    @Property(tries = 1500, seed = "4711")
    void routerFindsLocationOfModel(
            @ForAll("locationLists") List<Location> locations, @ForAll("requestPaths") String path) throws Exception {
        StringBuilder conf = new StringBuilder("server {\nlisten 80;\n");
        writeLocations(locations, "/", conf, new int[] {0});
        conf.append("location = /there { return 204; }\n}\n");
        List<Problem> problems = new ArrayList<>();
        List<Directive> directives = Parser.parse(conf.toString(), Path.of("x"), problems);
        assertEquals(List.of(), problems);
        Site site = SiteReader.parse(Importer.translate(directives, Map.of()).toml(), "made");
        Path file = Files.createTempFile("model", ".conf");
        try {
            Files.writeString(file, conf);
            NginxModel.Outcome expected =
                    new NginxModel(file).evaluate(new NginxModel.Request("GET", "h", 80, path, Map.of()));
            String normalizedPath = path.replaceAll("/+", "/");
            Router.Result actual = site.router(80).find(new Request("GET", "h", normalizedPath, null, n -> List.of()));
            String pool = actual.route() == null || actual.route().pool() == null
                    ? null
                    : actual.route().pool().pool();
            assertEquals(expected.upstream(), pool, path + " in\n" + conf);
            assertEquals(
                    expected.status(),
                    pool != null
                            ? 200
                            : actual.route() == null
                                    ? actual.status()
                                    : actual.route().fixedResponse().status(),
                    path + " in\n" + conf);
        } finally {
            Files.delete(file);
        }
    }

    // ---- syntax ----

    private static Arbitrary<String> words() {
        return Arbitraries.strings()
                .withChars("ab \t;{}#'\"\\$/.~*=n\u00e9")
                .ofMinLength(1)
                .ofMaxLength(8);
    }

    /** A generated directive; block is null if it has none. */
    record DirectiveTree(String name, List<String> arguments, List<DirectiveTree> block) {}

    private static Arbitrary<List<DirectiveTree>> trees(int depth) {
        Arbitrary<List<DirectiveTree>> nested = depth == 0
                ? Arbitraries.just((List<DirectiveTree>) null)
                : trees(depth - 1).injectNull(0.5);
        return Combinators.combine(
                        Arbitraries.strings().alpha().ofMinLength(1).ofMaxLength(5),
                        words().list().ofMaxSize(3),
                        nested)
                .as(DirectiveTree::new)
                .list()
                .ofMaxSize(4);
    }

    @Provide
    Arbitrary<List<DirectiveTree>> files() {
        return trees(3);
    }

    private static void print(List<DirectiveTree> trees, StringBuilder s) {
        for (DirectiveTree t : trees) {
            s.append(t.name());
            for (String a : t.arguments()) {
                s.append(" \"")
                        .append(a.replace("\\", "\\\\").replace("\"", "\\\""))
                        .append('"');
            }
            if (t.block() == null) {
                s.append("; # ;}\n");
            } else {
                s.append(" {\n");
                print(t.block(), s);
                s.append("}");
            }
        }
    }

    private static List<DirectiveTree> trees(List<Directive> directives) {
        return directives.stream()
                .map(d -> new DirectiveTree(
                        d.name().text(),
                        d.arguments().stream().map(w -> w.text()).toList(),
                        d.block() == null ? null : trees(d.block())))
                .toList();
    }

    @Property(tries = 1000, seed = "4712")
    void parserReadsPrintedDirectives(@ForAll("files") List<DirectiveTree> trees) {
        StringBuilder s = new StringBuilder();
        print(trees, s);
        List<Problem> problems = new ArrayList<>();
        List<Directive> directives = Parser.parse(s.toString(), Path.of("x"), problems);
        assertEquals(List.of(), problems, s.toString());
        assertEquals(trees, trees(directives), s.toString());
    }

    /** Every directive that is parsed has exactly one entry in the report, whatever the input. */
    @Property(tries = 1000, seed = "4713")
    void everyDirectiveIsReportedOnce(@ForAll("arbitraryTexts") String text) throws IOException {
        List<Problem> problems = new ArrayList<>();
        List<Directive> directives = Parser.parse(text, Path.of("x"), problems);
        Importer.Result result = Importer.translate(directives, Map.of());
        List<Report.Entry> entries = result.report().entries(directives);
        assertEquals(directives.stream().mapToInt(Directive::count).sum(), entries.size());
        entries.forEach(e -> assertNotNull(e, text));
    }

    @Provide
    Arbitrary<String> arbitraryTexts() {
        Arbitrary<String> tokens = Arbitraries.of(
                "server",
                "location",
                "http",
                "upstream",
                "listen",
                "80",
                "proxy_pass",
                "http://a",
                "map",
                "$x",
                "$y",
                "if",
                "return",
                "301",
                "rewrite",
                "^/(.*)",
                "/$1",
                "break",
                "set",
                "{",
                "}",
                ";",
                "\"",
                "'",
                "\\",
                "#",
                "\n",
                "~",
                "=",
                "split_clients",
                "10%",
                "*",
                "content_by_lua_block",
                "weight=0",
                "default_server",
                "server_name",
                "proxy_set_header",
                "client_max_body_size",
                "\u0000",
                "[::]:80",
                "types",
                "(",
                "add_header",
                "a",
                "10.0.0.1");
        Arbitrary<String> bytes = Arbitraries.bytes()
                .array(byte[].class)
                .ofMaxSize(200)
                .map(b -> new String(b, StandardCharsets.ISO_8859_1));
        return Arbitraries.oneOf(tokens.list().ofMaxSize(60).map(l -> String.join(" ", l)), bytes);
    }
}
