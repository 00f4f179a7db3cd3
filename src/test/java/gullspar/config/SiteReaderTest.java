package gullspar.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.route.Request;
import gullspar.route.Route;
import gullspar.route.Router;
import gullspar.toml.ProblemsException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reading the operators' file, and the routes of requests by it. */
class SiteReaderTest {
    private static final String SMALL = "[[listener]]\naddress = \"127.0.0.1:80\"\n[[pool]]\nname = \"a\"\n"
            + "[[pool.server]]\naddress = \"127.0.0.1:81\"\n[[host]]\ndefault = true\n";
    private static Site example;

    @BeforeAll
    static void read() throws Exception {
        example = SiteReader.read(Path.of("deploy/routes.example.toml"));
    }

    private static Request request(String method, String host, String path, String header) {
        return new Request(method, host, path, null, name -> name.equalsIgnoreCase(header) ? List.of("1") : List.of());
    }

    @ParameterizedTest
    @CsvSource({
        "GET, shop.example.org, /api/stock, '', api",
        "GET, shop.example.org, /api/stock, X-Beta, beta",
        "POST, shop.example.org, /api/orders, X-Beta, orders",
        "GET, www.shop.example.org, /a.PNG, '', pictures",
        "GET, shop.example.org, /static/a.png, '', static",
        "GET, other.org, /a.png, '', elsewhere"
    })
    void routesRequestsByTheExampleFile(String method, String host, String path, String header, String route) {
        Request r = request(method, host, path, header);
        Router.Result found = example.router(0).find(r);
        assertEquals(route, found.route().name(), example.router(0).explain(r).toString());
        assertEquals(
                "route " + route,
                example.router(0).explain(r).get(example.router(0).explain(r).size() - 1));
    }

    @Test
    void reports404Or405WhenNoRouteMatches() {
        Router.Result method = example.router(0).find(request("GET", "shop.example.org", "/api/orders", ""));
        assertNull(method.route());
        assertEquals(405, method.status());
        assertEquals(
                404,
                example.router(0)
                        .find(request("GET", "shop.example.org", "/nothing", ""))
                        .status());
        List<String> why = example.router(0).explain(request("GET", "shop.example.org", "/api/orders", ""));
        assertEquals("not route orders: its method is not POST", why.get(why.size() - 1));
    }

    @Test
    void readsPoolsLimitsRewriteAndRequestClass() {
        assertEquals(3, example.pools().get("api").servers().size());
        assertEquals(5, example.pools().get("api").servers().get(0).weight());
        assertTrue(example.pools().get("api").servers().get(2).backup());
        Route api = example.router(0)
                .find(request("GET", "shop.example.org", "/api/stock", ""))
                .route();
        assertEquals("/v1/stock", api.pool().rewrite().apply("/api/stock"));
        assertEquals(600_000_000L, api.pool().limits().deadlineNs());
        assertEquals(Route.RequestClass.SAFE, Route.resolveClass(api.pool().requestClass(), "HEAD"));
        assertEquals(Route.RequestClass.UNSAFE, Route.resolveClass(api.pool().requestClass(), "PUT"));
        assertEquals(Route.RequestClass.KEYED, Route.resolveClass(Route.RequestClass.KEYED, "GET"));
    }

    @Test
    void rewritesThePathByARegularExpression() throws Exception {
        Site s = SiteReader.parse(
                SMALL + "[[host.route]]\npath = \"/\"\npool = \"a\"\n"
                        + "rewrite = { pattern = \"^/u/([^/]+)/(.*)$\", to = \"/users/$2$9?u=$1\" }\n",
                "f.toml");
        Route r = s.router(0).find(request("GET", "x", "/u/anna/x", "")).route();
        assertEquals("/users/x?u=anna", r.pool().rewrite().apply("/u/anna/x"));
        assertEquals("/else", r.pool().rewrite().apply("/else"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '~',
            quoteCharacter = '`',
            textBlock =
                    """
        path = "/"                                       ~ 9:1: a route needs either pool or answer
        path = "/"|pool = "b"                            ~ 11:1: pool is 'b', but no [[pool]] has that name
        path = "x"|pool = "a"                            ~ 10:1: path does not begin with /
        path = "("|match = "regex"|pool = "a"            ~ 10:1: path holds an invalid regular expression: Unclosed
        path = "/"|pool = "a"|answer = {status = 200}    ~ 9:1: a route has either pool or answer, not both
        path = "/"|answer = { status = 99 }              ~ 11:12: status is 99, not 200 to 599
        path = "/"|pool = "a"|deadline = 3               ~ 12:1: route: unknown key 'deadline'
        path = "/"|pool = "a"|class = "idempotent"       ~ 12:1: class is 'idempotent', not one of by-method
        """)
    void reportsARouteProblemWithItsPosition(String lines, String expected) {
        String message = assertThrows(
                        ProblemsException.class,
                        () -> SiteReader.parse(SMALL + "[[host.route]]\n" + lines.replace('|', '\n') + "\n", "f.toml"))
                .getMessage();
        assertTrue(message.contains("f.toml:" + expected), message);
    }

    @Test
    void reportsAllProblemsInOneReading() {
        String message = assertThrows(
                        ProblemsException.class,
                        () -> SiteReader.parse(
                                """
                [[listener]]
                address = "localhost:80"
                [[pool]]
                name = "a"
                [[pool]]
                name = "a"
                [[pool.server]]
                address = "127.0.0.1:1"
                [[pool.server]]
                address = "127.0.0.1:1"
                [[host]]
                names = ["x", "a.*.b", "~("]
                [[host]]
                names = ["X"]
                [[host]]
                """,
                                "f.toml"))
                .getMessage();
        for (String part : List.of(
                ":2:1: address is 'localhost:80', not an IP",
                ":3:1: a pool with no [[pool.server]]",
                ":6:1: name is already used by another pool: 'a'",
                ":9:1: a second server '127.0.0.1:1' in this pool",
                ":12:1: names holds an invalid name: 'a.*.b'",
                ":12:1: names holds an invalid regular expression",
                ":14:1: names holds 'X', which another host already has",
                ":15:1: a host with no names must have default = true")) {
            assertTrue(message.contains("f.toml" + part), part + " in\n" + message);
        }
        assertEquals(8, message.lines().count(), message);
    }
}
