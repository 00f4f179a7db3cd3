package gullspar.importer;

import gullspar.importer.Draft.Route;
import gullspar.importer.Draft.When;
import gullspar.nginx.Directive;
import gullspar.nginx.Word;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The routes of a server: its places, and for each what becomes of its requests. */
final class Locations {
    private static final Pattern PASS = Pattern.compile("(\\w+)://([^/?$]+)(.*)");
    private static final int MOST_BRANCHES = 64;
    private static final String BY_RETURN = "the return of this block answers first";
    /** Headers that belong to one connection, or to the framing on it. */
    private static final Set<String> OF_CONNECTIONS =
            Set.of("Connection", "Upgrade", "Content-Length", "Transfer-Encoding", "TE", "Keep-Alive", "Trailer");

    private final Draft draft;
    private final Report report;
    private final Upstreams upstreams;
    private final Map<String, Chosen> chosen;

    Locations(Draft draft, Report report, Upstreams upstreams, Map<String, Chosen> chosen) {
        this.draft = draft;
        this.report = report;
        this.upstreams = upstreams;
        this.chosen = chosen;
    }

    /** The places of a block, in their order; a place may have several routes. */
    List<Route> places(List<Directive> block, Scope scope, Known known) {
        List<Route> all = new ArrayList<>();
        Set<String> plain = new HashSet<>();
        Set<String> seen = new HashSet<>();
        for (Directive d : block) {
            if (d.is("location") && d.block() != null && !d.arguments().isEmpty()) {
                String first = d.arguments().get(0).text();
                plain.add(
                        d.arguments().size() == 1 ? first : d.arguments().get(1).text());
            }
        }
        for (Directive d : block) {
            if (d.is("location") && d.block() != null) {
                place(d, scope, known, all, plain, seen);
            }
        }
        return all;
    }

    private void place(Directive d, Scope outer, Known known, List<Route> all, Set<String> plain, Set<String> seen) {
        try {
            Route place = new Route();
            kind(d, place);
            if (!seen.add((place.match.equals("prefix-ends") ? "prefix" : place.match) + " " + place.path)) {
                throw new Untranslatable("a second location of this kind and path");
            }
            Scope scope = new Scope(outer, d.block());
            Known here = new Known(known);
            if (place.match.startsWith("regex")) {
                here.groups(place.path);
            }
            List<Route> routes = routes(d, scope, here, place);
            routes.get(0).nested.addAll(places(d.block(), scope, known));
            all.addAll(routes);
            report.translated(d);
            if (!place.match.startsWith("regex")
                    && place.path.endsWith("/")
                    && place.path.length() > 1
                    && routes.get(0).pool != null) {
                slash(d, place.path, all, plain);
            }
        } catch (Untranslatable e) {
            report.not(d, e.getMessage());
            report.all(d, Report.Verdict.NOT_TRANSLATABLE, "its location could not be translated");
        }
    }

    /** A location whose prefix ends with a slash and is passed on sends there what comes without it. */
    private static void slash(Directive d, String path, List<Route> all, Set<String> plain) {
        String without = path.substring(0, path.length() - 1);
        if (plain.add(without)) {
            Route r = new Route();
            r.comment = d.position() + " (as for every prefix with a slash at its end)";
            r.match = "exact";
            r.path = without;
            r.name = "to " + path;
            r.status = 301;
            r.location = "${scheme}://${host_header}" + path + "${args}";
            all.add(r);
        }
    }

    private static void kind(Directive d, Route place) throws Untranslatable {
        List<Word> a = d.arguments();
        String first = a.isEmpty() ? "" : a.get(0).text();
        String path = first;
        place.match = "prefix";
        place.comment = d.position().toString();
        if (a.size() == 2) {
            path = a.get(1).text();
            place.match = switch (first) {
                case "=" -> "exact";
                case "^~" -> "prefix-ends";
                case "~" -> "regex";
                case "~*" -> "regex-any-case";
                default -> throw new Untranslatable("'" + first + "' is no kind of location");
            };
        } else if (first.startsWith("@")) {
            throw new Untranslatable("a named location: only try_files and error_page lead there");
        } else if (first.matches("(=|\\^~|~\\*?).+") && !first.startsWith("/")) {
            Matcher m = Pattern.compile("(=|\\^~|~\\*|~)(.+)").matcher(first);
            m.matches();
            path = m.group(2);
            place.match = Map.of("=", "exact", "^~", "prefix-ends", "~", "regex", "~*", "regex-any-case")
                    .get(m.group(1));
        }
        place.path = place.match.startsWith("regex") ? Known.regex(path) : path;
        place.name = String.join(" ", a.stream().map(Word::text).toList());
        if (!place.match.startsWith("regex") && !path.startsWith("/")) {
            throw new Untranslatable("a path that does not begin with /: no request fits it");
        }
    }

    // ---- what becomes of a request of a place ----

    /** The routes of one place: one for each text that its variables can have. */
    private List<Route> routes(Directive at, Scope scope, Known known, Route place) throws Untranslatable {
        known = sets(scope, known);
        List<Route> routes = new ArrayList<>();
        String regex = !place.match.startsWith("regex")
                ? null
                : place.match.equals("regex") ? place.path : "(?i)" + place.path;
        Directive answer = null;
        Directive pass = scope.own("proxy_pass").isEmpty()
                ? null
                : scope.own("proxy_pass").get(0);
        for (Directive d : at.block()) {
            if (answer != null && (d.is("rewrite") || d.is("return") || d.is("proxy_pass"))) {
                report.put(d, Report.Verdict.NO_EFFECT, BY_RETURN);
            } else if (d.is("rewrite")) {
                rewrite(d, scope, known, place, pass, routes);
            } else if (d.is("return")) {
                answer = d;
            }
        }
        if (answer != null) {
            for (Branch b : branches(texts(answer), known)) {
                Route r = copy(place, b);
                answer(answer, scope, b.known, r);
                routes.add(r);
            }
            report.translated(answer);
            for (Directive p : scope.own("proxy_pass")) {
                report.put(p, Report.Verdict.NO_EFFECT, BY_RETURN);
            }
        } else if (pass != null) {
            pass(pass, scope, known, place, null, regex, routes);
        } else if (routes.isEmpty() || !always(scope)) {
            throw new Untranslatable(handler(scope));
        }
        return routes;
    }

    /** Does a rewrite that sends clients elsewhere fit every path? */
    private static boolean always(Scope scope) {
        return scope.own("rewrite").stream()
                .anyMatch(d -> redirects(d)
                        && Set.of("^", "^/", "^(.*)$", "^(.*)", "^/(.*)$", "^/(.*)", ".*", "^.*$", "^/.*$", "(.*)")
                                .contains(d.argument(0).orElse("")));
    }

    private static String handler(Scope scope) {
        for (String other : List.of(
                "fastcgi_pass",
                "uwsgi_pass",
                "scgi_pass",
                "grpc_pass",
                "memcached_pass",
                "try_files",
                "stub_status",
                "empty_gif")) {
            if (!scope.own(other).isEmpty()) {
                return other + " is not spoken here; put an HTTP server before it and pass to that";
            }
        }
        return "it serves files from disk, which is not done here; put a file server behind it and pass to " + "that";
    }

    /** One combination of the texts that chosen variables have, and when it is. */
    private record Branch(List<When> when, Known known) {}

    private List<Branch> branches(List<String> texts, Known known) throws Untranslatable {
        List<Branch> all = new ArrayList<>(List.of(new Branch(List.of(), known)));
        for (String name : deep(texts)) {
            Chosen c = chosen.get(name);
            c.use();
            List<Branch> next = new ArrayList<>();
            for (Branch b : all) {
                for (Chosen.Choice choice : c.choices) {
                    List<When> when = new ArrayList<>(b.when);
                    if (choice.when() != null) {
                        when.add(choice.when());
                    }
                    next.add(new Branch(when, new Known(b.known).with(name, b.known.template(choice.text()))));
                }
            }
            if (next.size() > MOST_BRANCHES) {
                throw new Untranslatable("its variables have more than " + MOST_BRANCHES + " combinations");
            }
            all = next;
        }
        return all;
    }

    /** The chosen variables that texts use, those first that others' texts use. */
    private Set<String> deep(List<String> texts) {
        Set<String> names = new TreeSet<>(Known.used(texts));
        names.retainAll(chosen.keySet());
        Set<String> ordered = new LinkedHashSet<>();
        for (String n : names) {
            Chosen c = chosen.get(n);
            if (c.choices.stream().noneMatch(x -> Known.used(List.of(x.text())).contains(n))) {
                ordered.addAll(deep(c.choices.stream().map(Chosen.Choice::text).toList()));
            }
            ordered.add(n);
        }
        return ordered;
    }

    private static List<String> texts(Directive d) {
        return d.arguments().stream().map(Word::text).toList();
    }

    private Known sets(Scope scope, Known outer) {
        Known known = new Known(outer);
        for (Directive d : scope.own("set")) {
            try {
                known.with(
                        d.argument(0).orElse("").replaceFirst("^\\$", ""),
                        known.template(d.argument(1).orElse("")));
                report.translated(d);
            } catch (Untranslatable e) {
                report.not(d, e.getMessage());
            }
        }
        return known;
    }

    /** The variables that a server sets for all its places. */
    Known server(Scope scope, Known outer) {
        return sets(scope, outer);
    }

    private static Route copy(Route place, Branch b) {
        Route r = new Route();
        r.comment = place.comment;
        r.name = place.name;
        r.match = place.match;
        r.path = place.path;
        r.when.addAll(b.when);
        return r;
    }

    // ---- return and rewrite ----

    /** What a return says. */
    void answer(Directive d, Scope scope, Known known, Route r) throws Untranslatable {
        String first = d.argument(0).orElse("");
        String text = d.argument(1).orElse("");
        boolean status = first.matches("\\d{3}");
        r.status = status ? Integer.parseInt(first) : 302;
        if (r.status == 444) {
            throw new Untranslatable("444 ends the connection without an answer; give it a status");
        }
        if (r.status < 200 || r.status > 599) {
            throw new Untranslatable(r.status + " is no status of a final answer");
        }
        if (!status || List.of(301, 302, 303, 307, 308).contains(r.status)) {
            r.location = place(known.template(status ? text : first));
        } else if (!text.isEmpty()) {
            r.body = known.template(text);
            Directive type = scope.last("default_type");
            r.type = type == null ? "text/plain" : type.argument(0).orElse("text/plain");
            if (type != null) {
                report.translated(type);
            }
        }
        added(scope, known, r);
    }

    /** A place to go to; one on this host is said in full. */
    private static String place(String location) {
        return location.startsWith("/") ? "${scheme}://${host_header}" + location : location;
    }

    private void rewrite(Directive d, Scope scope, Known known, Route place, Directive pass, List<Route> routes)
            throws Untranslatable {
        try {
            String flag = d.argument(2).orElse("");
            if (redirects(d)) {
                routes.add(redirect(d, scope, known, copy(place, new Branch(List.of(), known))));
            } else if (flag.equals("break") && pass != null) {
                int before = routes.size();
                pass(pass, scope, known, place, d, null, routes);
                When fits = When.matches("${path}", Known.regex(d.argument(0).orElse("")));
                routes.subList(before, routes.size()).forEach(r -> r.when.add(0, fits));
                report.translated(d);
            } else {
                throw new Untranslatable(
                        flag.equals("break")
                                ? "a rewrite that nothing is passed on after"
                                : "it looks for a location anew with the new path; name that location's pool here "
                                        + "and end it with break");
            }
        } catch (Untranslatable e) {
            report.not(d, e.getMessage());
        }
    }

    /** Does a rewrite send the client elsewhere? */
    static boolean redirects(Directive d) {
        String flag = d.argument(2).orElse("");
        return flag.equals("permanent")
                || flag.equals("redirect")
                || d.argument(1).orElse("").matches("(https?://|\\$scheme).*");
    }

    /** A rewrite that sends the client elsewhere, where its expression is found in the path. */
    Route redirect(Directive d, Scope scope, Known known, Route r) throws Untranslatable {
        String regex = Known.regex(d.argument(0).orElse(""));
        String to = d.argument(1).orElse("");
        r.when.add(0, When.matches("${path}", regex));
        r.status = d.argument(2).orElse("").equals("permanent") ? 301 : 302;
        // The arguments go on, unless the replacement ends with a question mark; behind its own with &.
        boolean drop = to.endsWith("?");
        String plain = drop ? to.substring(0, to.length() - 1) : to;
        if (!drop && plain.contains("?")) {
            throw new Untranslatable(
                    "arguments of its own and the request's behind them; end it with ? if " + "those need not go on");
        }
        boolean has = plain.contains("$request_uri") || plain.contains("$args") || plain.contains("$is_args");
        r.location = place(new Known(known).groups(regex).template(plain)) + (drop || has ? "" : "${args}");
        added(scope, known, r);
        report.translated(d);
        return r;
    }

    // ---- proxy_pass ----

    private void pass(
            Directive pass, Scope scope, Known known, Route place, Directive rewrite, String regex, List<Route> routes)
            throws Untranslatable {
        List<String> texts = new ArrayList<>(texts(pass));
        scope.find("proxy_set_header").forEach(h -> texts.addAll(texts(h)));
        scope.find("add_header").forEach(h -> texts.addAll(texts(h)));
        try {
            for (Branch b : branches(texts, known)) {
                Route r = copy(place, b);
                to(pass, scope, b.known, r, rewrite, regex);
                routes.add(r);
            }
        } catch (Untranslatable e) {
            report.not(pass, e.getMessage());
            throw new Untranslatable("its proxy_pass could not be translated");
        }
        for (String files : List.of("root", "index")) {
            scope.own(files).forEach(d -> report.put(d, Report.Verdict.NO_EFFECT, "what comes here is passed on"));
        }
        report.translated(pass);
    }

    private void to(Directive pass, Scope scope, Known known, Route r, Directive rewrite, String regex)
            throws Untranslatable {
        String written = pass.argument(0).orElse("");
        String url = written;
        for (String v : Known.used(List.of(written))) {
            String t = known.text(v);
            if (t != null) {
                url = url.replaceAll("\\$(" + v + "\\b|\\{" + v + "\\})", Matcher.quoteReplacement(t));
            }
        }
        Matcher m = PASS.matcher(url);
        if (!m.matches()) {
            throw new Untranslatable(
                    url.contains("$") ? "where " + url + " leads is not known here" : "'" + url + "' is no URL");
        }
        if (!m.group(1).equals("http")) {
            throw new Untranslatable(m.group(1) + " to servers: only plain HTTP is spoken to them");
        }
        r.pool = upstreams.pool(m.group(2), pass);
        path(m.group(3), written.contains("$"), r, rewrite, regex, known);
        String proxyHost =
                m.group(2).endsWith(":80") ? m.group(2).substring(0, m.group(2).length() - 3) : m.group(2);
        requestHeaders(scope, new Known(known).with("proxy_host", proxyHost), r);
        answerHeaders(scope, known, r);
        limits(scope, r);
    }

    /** How the path changes on the way. */
    private static void path(String uri, boolean variables, Route r, Directive rewrite, String regex, Known known)
            throws Untranslatable {
        if (rewrite != null) {
            String from = Known.regex(rewrite.argument(0).orElse(""));
            String to = rewrite.argument(1).orElse("");
            if (to.contains("?")) {
                throw new Untranslatable("a rewrite to a path with arguments");
            }
            r.rewritePattern = Known.whole(from);
            r.rewriteTo = groups(new Known(known).groups(from).template(to));
        } else if (uri.isEmpty() || uri.equals("$request_uri")) {
            return;
        } else if (!variables) {
            if (regex != null) {
                throw new Untranslatable("a path behind the address, in a location by regular expression");
            }
            r.rewriteTo = uri;
            if (uri.contains("?")) {
                throw new Untranslatable("arguments behind the path");
            }
        } else if (uri.endsWith("$is_args$args") || uri.endsWith("$is_args$query_string")) {
            String to = groups(known.template(uri.substring(0, uri.indexOf("$is_args"))));
            r.rewritePattern = to.startsWith("${path}") ? "^(.*)$" : Known.whole(regex == null ? "^" : regex);
            r.rewriteTo = to.replace("${path}", "$1");
        } else {
            throw new Untranslatable(
                    "with variables in its path the arguments do not go on; end it with " + "$is_args$args");
        }
        if (r.rewriteTo.contains("${")) {
            throw new Untranslatable("the path is made of " + r.rewriteTo);
        }
    }

    private static String groups(String template) {
        return template.replaceAll("\\$\\{([1-9])\\}", "\\$$1");
    }

    private void requestHeaders(Scope scope, Known known, Route r) throws Untranslatable {
        boolean host = false;
        for (Directive d : scope.find("proxy_set_header")) {
            String name = d.argument(0).orElse("");
            String value = d.argument(1).orElse("");
            if (OF_CONNECTIONS.stream().anyMatch(name::equalsIgnoreCase)) {
                connection(d, name, value);
                continue;
            }
            try {
                host |= name.equalsIgnoreCase("Host");
                r.request.set.put(name, known.template(value));
                report.translated(d);
            } catch (Untranslatable e) {
                report.not(d, e.getMessage());
            }
        }
        if (!host) {
            r.request.set.put("Host", known.template("$proxy_host"));
        }
        for (String flag : List.of("proxy_pass_request_headers", "proxy_pass_request_body")) {
            Directive d = scope.last(flag);
            if (d != null && !d.argument(0).orElse("").equals("on")) {
                report.not(d, "what a request has always goes on");
            }
        }
    }

    private void connection(Directive d, String name, String value) {
        boolean upgrades = name.equalsIgnoreCase("Upgrade") && !value.isEmpty()
                || name.equalsIgnoreCase("Connection") && value.toLowerCase().matches(".*upgrade.*");
        if (upgrades) {
            report.not(d, "connections are not upgraded (WebSocket)");
        } else {
            report.put(d, Report.Verdict.NO_EFFECT, "each connection has its own " + name);
        }
    }

    private void answerHeaders(Scope scope, Known known, Route r) {
        for (Directive d : scope.find("proxy_hide_header")) {
            r.answerHeaders.remove.add(d.argument(0).orElse(""));
            report.translated(d);
        }
        added(scope, known, r);
    }

    private void added(Scope scope, Known known, Route r) {
        for (Directive d : scope.find("add_header")) {
            try {
                boolean always = d.argument(2).orElse("").equals("always");
                (always ? r.answerHeaders.add : r.answerHeaders.addOk)
                        .put(
                                d.argument(0).orElse(""),
                                known.template(d.argument(1).orElse("")));
                report.translated(d);
            } catch (Untranslatable e) {
                report.not(d, e.getMessage());
            }
        }
    }

    // ---- limits and further attempts ----

    private void limits(Scope scope, Route r) throws Untranslatable {
        long connect = time(scope, "proxy_connect_timeout", "60s");
        long read = time(scope, "proxy_read_timeout", "60s");
        long send = time(scope, "proxy_send_timeout", "60s");
        Draft.Pool pool = upstreams.get(r.pool);
        pool.connectMs = Math.max(pool.connectMs, connect);
        r.attemptMs = connect + Math.max(read, send);
        r.bodyKb = size(scope);
        int tries = number(scope, "proxy_next_upstream_tries");
        long next = time(scope, "proxy_next_upstream_timeout", "0");
        int servers = Math.max(1, pool.servers.size());
        r.attempts = tries == 0 ? servers : tries;
        retries(scope, r);
        r.deadlineMs = Math.min(86_400_000L, next > 0 ? next + r.attemptMs : r.attempts * r.attemptMs);
    }

    private void retries(Scope scope, Route r) {
        Directive d = scope.last("proxy_next_upstream");
        if (d == null) {
            return;
        }
        List<String> statuses = new ArrayList<>();
        String remark = "";
        for (Word w : d.arguments()) {
            switch (w.text()) {
                case "error", "timeout", "invalid_header" -> {}
                case "http_500", "http_502", "http_503", "http_504", "http_429" -> statuses.add(
                        w.text().substring(5));
                case "off" -> r.attempts = 1;
                case "non_idempotent" -> {
                    r.safe = true;
                    remark = "every request becomes safe (class = \"safe\"): also one that changes something "
                            + "may run twice";
                }
                default -> {
                    report.not(d, w.text() + ": here that answer tells nothing of the server and is passed on");
                    return;
                }
            }
        }
        r.retryOn = statuses;
        report.translated(d, remark);
    }

    private long time(Scope scope, String name, String usual) {
        Directive d = scope.last(name);
        try {
            long ms = Units.millis(scope.value(name, usual));
            if (d != null) {
                report.translated(d);
            }
            return ms;
        } catch (Untranslatable e) {
            report.not(d, e.getMessage());
            return 60_000;
        }
    }

    private int number(Scope scope, String name) {
        Directive d = scope.last(name);
        try {
            int n = Units.whole(scope.value(name, "0"));
            if (d != null) {
                report.translated(d);
            }
            return n;
        } catch (Untranslatable e) {
            report.not(d, e.getMessage());
            return 0;
        }
    }

    private double size(Scope scope) {
        Directive d = scope.last("client_max_body_size");
        try {
            double kb = Units.kilobytes(scope.value("client_max_body_size", "1m"));
            if (d != null) {
                report.translated(
                        d,
                        kb == 0
                                ? "0 is no limit there; here it is 1 GB, and all bodies in hand "
                                        + "share limits.bodies_mb"
                                : "");
            }
            if (kb > 16 * 1024) {
                draft.bodiesMb = Math.max(draft.bodiesMb, Math.ceil(kb / 512));
            }
            return kb == 0 ? 1 << 20 : kb;
        } catch (Untranslatable e) {
            report.not(d, e.getMessage());
            return 1024;
        }
    }
}
