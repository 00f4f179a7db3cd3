package gullspar.nginx;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that configuration files are split and nested by nginx's rules, and where problems are reported. */
class ParserTest {
    private static final Path FILE = Path.of("nginx.conf");

    private final List<Problem> problems = new ArrayList<>();

    private List<Directive> parse(String text) {
        return Parser.parse(text, FILE, problems);
    }

    /** Formats directives as name(arguments){block}, with quoted arguments in quotes. */
    private static String format(List<Directive> directives) {
        return directives.stream()
                .map(d -> d.name().text()
                        + d.arguments().stream()
                                .map(w -> w.quoted() ? "\"" + w.text() + "\"" : w.text())
                                .collect(Collectors.joining(",", "(", ")"))
                        + (d.raw() != null ? "<" + d.raw() + ">" : "")
                        + (d.block() == null ? "" : "{" + format(d.block()) + "}"))
                .collect(Collectors.joining(" "));
    }

    private void assertParses(String text, String expected) {
        assertEquals(expected, format(parse(text)));
        assertEquals(List.of(), problems);
    }

    @Test
    void directivesBlocksAndComments() {
        assertParses(
                """
                user  www; # a comment; with } in it
                # another
                events {}
                http {
                    upstream shop { server 127.0.0.1:8001 weight=5; server 127.0.0.1:8002 backup; }
                    server{listen 80;location / {proxy_pass http://shop;}}
                }
                """,
                "user(www) events(){} http(){upstream(shop){server(127.0.0.1:8001,weight=5)"
                        + " server(127.0.0.1:8002,backup)} server(){listen(80) "
                        + "location(/){proxy_pass(http://shop)}}}");
    }

    @Test
    void quotesAndEscapes() {
        assertParses("a \"two words; {}\" 'it\\'s' \"a\\tb\\\\c\\d\";", "a(\"two words; {}\",\"it's\",\"a\tb\\c\\d\")");
        assertParses("a x\"y'z;", "a(x\"y'z)");
        assertParses("a \"\";", "a(\"\")");
        assertParses("a b\\;c \\# d#e;", "a(b\\;c,\\#,d#e)");
        assertParses("location ~ \\.(gif|png)$ {}", "location(~,\\.(gif|png)$){}");
        assertParses("location ~ \"^/a{2,3}$\" {}", "location(~,\"^/a{2,3}$\"){}");
    }

    @Test
    void variablesInBraces() {
        assertParses("return 301 https://${host}/x$uri;", "return(301,https://${host}/x$uri)");
        assertParses("if ($a = \"b\") { set $x ${y}z; }", "if(($a,=,\"b\",)){set($x,${y}z)}");
    }

    @Test
    void scriptBlocksAreKeptAsText() {
        assertParses(
                """
                content_by_lua_block {
                  local s = "}" -- } in a comment
                  local t = [[ } ]] .. [==[ ]] } ]==]
                  if a[1] then return {1} end
                }
                after;
                """,
                "content_by_lua_block()<\n  local s = \"}\" -- } in a comment\n  local t = [[ } ]]"
                        + " .. [==[ ]] }"
                        + " ]==]\n  if a[1] then return {1} end\n> after()");
    }

    @Test
    void wordsHavePositions() {
        Directive server =
                parse("\ufeffhttp {\r\n\tserver  name;\r\n}").get(0).block().get(0);
        assertEquals("nginx.conf:2:2", server.position().toString());
        assertEquals("nginx.conf:2:10", server.arguments().get(0).position().toString());
        assertEquals("name", server.argument(0).orElseThrow());
        assertTrue(server.is("server") && server.argument(1).isEmpty());
        assertNull(server.raw());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '~',
            textBlock =
                    """
        a b                  ~ 1:1: directive "a" is not terminated by ";"
        a { b; c }           ~ 1:8: directive "c" is not terminated by ";"
        a { b;               ~ 1:3: unclosed block
        a; }                 ~ 1:4: unexpected }
        a; ; b;              ~ 1:4: unexpected ;
        { a; }               ~ 1:1: unexpected {
        a "b                 ~ 1:3: unclosed quote
        a "b"c;              ~ 1:6: unexpected 'c' after a closing quote
        """)
    void problemsHavePositions(String text, String expected) {
        parse(text);
        assertFalse(problems.isEmpty());
        String first = problems.get(0).toString();
        assertTrue(first.startsWith("nginx.conf:" + expected + "\n" + text + "\n"), first);
        int column = Integer.parseInt(expected.split(":")[1]);
        assertEquals(column - 1, first.substring(first.lastIndexOf('\n') + 1).indexOf('^'));
    }

    @Test
    void reportsAllProblemsAndKeepsValidDirectives() {
        List<Directive> directives = parse("a\nb { c }\nd;; }\ne f;\n");
        // without a semicolon after a, the block belongs to a
        assertEquals(3, problems.size(), problems.toString());
        assertTrue(format(directives).endsWith("e(f)"), format(directives));
    }

    /** Random text and very deep nesting: the parser ends, and every problem has a position within the text. */
    @Test
    void randomTextTerminatesWithValidPositions() {
        SplittableRandom random = new SplittableRandom(1);
        String letters = "a;{}\"'\\$#\n\t -[]=_by_lua_block";
        for (int i = 0; i < 20_000; i++) {
            StringBuilder text = new StringBuilder();
            for (int n = random.nextInt(40); n > 0; n--) {
                int at = random.nextInt(letters.length());
                text.append(at > 18 && random.nextInt(8) == 0 ? " x_by_lua_block {" : letters.substring(at, at + 1));
            }
            List<Problem> randomProblems = new ArrayList<>();
            assertNotNull(Parser.parse(text.toString(), FILE, randomProblems));
            long lines = text.chars().filter(c -> c == '\n').count() + 1;
            for (Problem p : randomProblems) {
                assertTrue(
                        p.position().line() >= 1
                                && p.position().line() <= lines
                                && p.position().column() >= 1,
                        text.toString());
            }
        }
        parse("a {".repeat(100_000));
        assertFalse(problems.isEmpty());
    }
}
