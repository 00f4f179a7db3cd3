package gullspar.importer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.importer.Report.Verdict;
import gullspar.nginx.Directive;
import gullspar.nginx.Parser;
import gullspar.nginx.Problem;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Verdicts and reasons of directives, and the resulting TOML. */
class ImporterTest {
    private static Importer.Result translate(String text) {
        List<Problem> problems = new ArrayList<>();
        List<Directive> directives = Parser.parse(text, Path.of("x.conf"), problems);
        assertEquals(List.of(), problems);
        return Importer.translate(directives, Map.of("app", "10.9.9.9"));
    }

    private static Report.Entry entry(Importer.Result result, String directive) {
        return result.report().entries(result.directives()).stream()
                .filter(e -> e.directive().is(directive))
                .findFirst()
                .orElseThrow();
    }

    static Stream<Path> cases() throws IOException {
        return ReplayTest.cases();
    }

    @ParameterizedTest
    @MethodSource("cases")
    void everyDirectiveReadIsReported(Path folder) {
        List<Problem> problems = new ArrayList<>();
        Importer.Result result = Importer.read(List.of(folder.resolve("nginx.conf")), Map.of(), problems);
        assertEquals(
                result.directives().stream().mapToInt(Directive::count).sum(),
                result.report().entries(result.directives()).size());
    }

    private static String serverWithLocation(String directives) {
        return "server { location / { proxy_pass http://10.0.0.1; " + directives + " } }";
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "ip_hash|upstream u { ip_hash; server 10.0.0.1; }",
                "hash|upstream u { hash $request_uri consistent; server 10.0.0.1; }",
                "server|upstream u { server backend.example.org; }",
                "server|upstream u { server unix:/run/x; }",
                "server|upstream u { server 10.0.0.1 resolve; }",
                "listen|server { listen 443 ssl; }",
                "listen|server { listen unix:/x; }",
                "listen|server { listen 80 proxy_protocol; }",
                "stream|stream { server { listen 1; } }",
                "location|server { location / { root /var/www; } }",
                "location|server { location / { try_files $uri /index.html; } }",
                "location|server { location / { fastcgi_pass 127.0.0.1:9000; } }",
                "location|server { location @x { proxy_pass http://10.0.0.1; } }",
                "proxy_pass|server { location / { proxy_pass https://10.0.0.1; } }",
                "proxy_pass|server { location / { proxy_pass http://$unknown; } }",
                "return|server { return 444; }",
                "server_name|server { server_name $hostname; }",
                "server_name|server { server_name ~^(?<who>.*)$; }"
            })
    void reportsUntranslatableDirective(String directive, String text) {
        Importer.Result result = translate(text);
        assertEquals(Verdict.NOT_TRANSLATABLE, entry(result, directive).verdict());
        assertFalse(entry(result, directive).reason().isEmpty());
        assertFalse(result.report().isComplete());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "auth_request|auth_request /auth;",
                "if|if ($x) { return 403; }",
                "rewrite|rewrite ^/a /b last;",
                "rewrite|rewrite ^/a /b;",
                "limit_req|limit_req zone=a;",
                "proxy_set_header|proxy_set_header Upgrade $http_upgrade;",
                "proxy_cache|proxy_cache zone;",
                "proxy_set_header|proxy_set_header X-Time $msec;",
                "error_page|error_page 500 /50x.html;",
                "proxy_next_upstream|proxy_next_upstream error http_404;",
                "no_such_thing|no_such_thing on;",
                "proxy_redirect|proxy_redirect http://a/ /b/;",
                "proxy_ssl_verify|proxy_ssl_verify on;",
                "content_by_lua_block|content_by_lua_block { ngx.say('}') }",
                "deny|deny all;",
                "client_max_body_size|client_max_body_size big;",
                "proxy_read_timeout|proxy_read_timeout soon;"
            })
    void reportsUntranslatableDirectiveInLocation(String directive, String directives) {
        assertEquals(
                Verdict.NOT_TRANSLATABLE,
                entry(translate(serverWithLocation(directives)), directive).verdict());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "proxy_buffering|proxy_buffering off;",
                "gzip|gzip on;",
                "access_log|access_log off;",
                "proxy_http_version|proxy_http_version 1.1;",
                "proxy_set_header|proxy_set_header Connection '';",
                "proxy_redirect|proxy_redirect off;",
                "proxy_cache|proxy_cache off;",
                "auth_basic|auth_basic off;"
            })
    void reportsReasonOfDirectiveWithoutEffect(String directive, String directives) {
        Importer.Result result = translate(serverWithLocation(directives));
        assertEquals(Verdict.NO_EFFECT, entry(result, directive).verdict());
        assertFalse(entry(result, directive).reason().isEmpty());
        assertTrue(result.report().isComplete());
    }

    @Test
    void locationAfterServerReturnHasNoEffect() {
        Importer.Result result = translate("server { return 301 https://a$request_uri; location / { root /x; } }");
        assertEquals(Verdict.NO_EFFECT, entry(result, "root").verdict());
        assertTrue(result.report().isComplete());
    }

    @Test
    void usesGivenAddressOfHostName() {
        Importer.Result result = translate("server { location / { proxy_pass http://app:8080; } }");
        assertTrue(result.report().isComplete());
        assertTrue(result.toml().contains("10.9.9.9:8080"), result.toml());
        assertTrue(result.toml().contains("Host\" = \"app:8080"), result.toml());
    }

    @Test
    void reportsSafeClassAndLearntBalance() {
        Importer.Result result = translate("upstream u { least_conn; server 10.0.0.1; } server { location / "
                + "{ proxy_pass http://u; proxy_next_upstream error non_idempotent; } }");
        assertTrue(entry(result, "proxy_next_upstream").reason().contains("may run twice"));
        assertTrue(entry(result, "least_conn").reason().contains("decision module selects servers"));
        assertTrue(result.toml().contains("class = \"safe\"") && result.toml().contains("balance = \"learnt\""));
    }

    @Test
    void commentsNameSourceLocation() throws IOException {
        String toml = Importer.read(
                        List.of(Path.of("src/test/resources/nginx/07-multi-file/nginx.conf")),
                        Map.of(),
                        new ArrayList<>())
                .toml();
        assertTrue(
                toml.contains("# src/test/resources/nginx/07-multi-file/conf.d/upstreams.conf:1:1\n" + "[[pool]]"),
                toml);
    }
}
