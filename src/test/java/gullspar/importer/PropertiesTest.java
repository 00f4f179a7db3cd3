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

/** Places and texts that nobody thought of. Seeds are fixed: the verdict is the same every time. */
class PropertiesTest {
    /** A location: what stands before its block, and those in it. */
    record Place(String head, List<Place> nested) {}

    private static final List<String> PATHS = List.of("/", "/a", "/a/", "/a/b", "/ab", "/b/", "/a/b/", "/b");
    private static final List<String> REGEXES = List.of("^/a", "b$", "/b/", "^/(a|b)/b", "a", "^/$", "\\.x$");

    private static Arbitrary<String> heads(boolean regexes) {
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

    private static Arbitrary<List<Place>> places(int depth) {
        Arbitrary<List<Place>> below = depth == 0 ? Arbitraries.just(List.of()) : places(depth - 1);
        return Combinators.combine(heads(true), below).as(Place::new).list().ofMaxSize(5);
    }

    @Provide
    Arbitrary<List<Place>> sets() {
        return places(2);
    }

    @Provide
    Arbitrary<String> asked() {
        return Combinators.combine(
                        Arbitraries.strings().withChars("/ab").ofMaxLength(7), Arbitraries.of("", "", ".x", "/"))
                .as((path, end) -> "/" + path + end);
    }

    /**
     * Writes those that nginx would take: nested ones begin as the one round them, exact ones hold none, none
     * comes twice.
     */
    private static void write(List<Place> places, String within, StringBuilder conf, int[] count) {
        Set<String> seen = new HashSet<>();
        for (Place p : places) {
            String[] h = p.head().split(" ");
            String path = h[h.length - 1];
            boolean regex = p.head().startsWith("~");
            if (!regex && !path.startsWith(within) || !seen.add(p.head().startsWith("^~ ") ? path : p.head())) {
                continue;
            }
            conf.append("location ")
                    .append(p.head())
                    .append(" {\nproxy_pass http://10.0.")
                    .append(count[0] / 250)
                    .append('.')
                    .append(count[0]++ % 250 + 1)
                    .append(":80;\n");
            if (!p.head().startsWith("=")) {
                // A regular expression holds anything, a prefix what begins with it.
                write(p.nested(), regex ? within : path, conf, count);
            }
            conf.append("}\n");
        }
    }

    @Property(tries = 1500, seed = "4711")
    void placesAreThoseOfTheModel(@ForAll("sets") List<Place> places, @ForAll("asked") String path) throws Exception {
        StringBuilder conf = new StringBuilder("server {\nlisten 80;\n");
        write(places, "/", conf, new int[] {0});
        conf.append("location = /there { return 204; }\n}\n");
        List<Problem> problems = new ArrayList<>();
        List<Directive> read = Parser.parse(conf.toString(), Path.of("x"), problems);
        assertEquals(List.of(), problems);
        Site site = SiteReader.parse(Importer.translate(read, Map.of()).toml(), "made");
        Path file = Files.createTempFile("model", ".conf");
        try {
            Files.writeString(file, conf);
            NginxModel.Done want = new NginxModel(file).done(new NginxModel.Asked("GET", "h", 80, path, Map.of()));
            String clean = path.replaceAll("/+", "/");
            Router.Result got = site.router(80).find(new Request("GET", "h", clean, null, n -> List.of()));
            String pool = got.route() == null || got.route().pool() == null
                    ? null
                    : got.route().pool().pool();
            assertEquals(want.upstream(), pool, path + " in\n" + conf);
            assertEquals(
                    want.status(),
                    pool != null
                            ? 200
                            : got.route() == null
                                    ? got.status()
                                    : got.route().fixedResponse().status(),
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

    /** A directive as it is written; block null for one that has none. */
    record Tree(String name, List<String> arguments, List<Tree> block) {}

    private static Arbitrary<List<Tree>> trees(int depth) {
        Arbitrary<List<Tree>> below = depth == 0
                ? Arbitraries.just((List<Tree>) null)
                : trees(depth - 1).injectNull(0.5);
        return Combinators.combine(
                        Arbitraries.strings().alpha().ofMinLength(1).ofMaxLength(5),
                        words().list().ofMaxSize(3),
                        below)
                .as(Tree::new)
                .list()
                .ofMaxSize(4);
    }

    @Provide
    Arbitrary<List<Tree>> files() {
        return trees(3);
    }

    private static void print(List<Tree> trees, StringBuilder s) {
        for (Tree t : trees) {
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

    private static List<Tree> trees(List<Directive> read) {
        return read.stream()
                .map(d -> new Tree(
                        d.name().text(),
                        d.arguments().stream().map(w -> w.text()).toList(),
                        d.block() == null ? null : trees(d.block())))
                .toList();
    }

    @Property(tries = 1000, seed = "4712")
    void whatIsPrintedIsWhatIsRead(@ForAll("files") List<Tree> written) {
        StringBuilder s = new StringBuilder();
        print(written, s);
        List<Problem> problems = new ArrayList<>();
        List<Directive> read = Parser.parse(s.toString(), Path.of("x"), problems);
        assertEquals(List.of(), problems, s.toString());
        assertEquals(written, trees(read), s.toString());
    }

    /** Whatever is read, every directive ends in the report exactly once. */
    @Property(tries = 1000, seed = "4713")
    void whateverIsReadIsReported(@ForAll("odd") String text) throws IOException {
        List<Problem> problems = new ArrayList<>();
        List<Directive> read = Parser.parse(text, Path.of("x"), problems);
        Importer.Imported made = Importer.translate(read, Map.of());
        List<Report.Entry> entries = made.report().entries(read);
        assertEquals(read.stream().mapToInt(Directive::count).sum(), entries.size());
        entries.forEach(e -> assertNotNull(e, text));
    }

    @Provide
    Arbitrary<String> odd() {
        Arbitrary<String> known = Arbitraries.of(
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
        return Arbitraries.oneOf(known.list().ofMaxSize(60).map(l -> String.join(" ", l)), bytes);
    }
}
