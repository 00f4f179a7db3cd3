package gullspar.config;

import gullspar.route.Condition;
import gullspar.route.HeaderChanges;
import gullspar.route.Rewrite;
import gullspar.route.Route;
import gullspar.route.Template;
import gullspar.toml.Range;
import gullspar.toml.TableReader;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Reads one route: its conditions, and the pool or the fixed response for matching requests. */
final class RouteReader {
    private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    /** Fields of message framing and of one hop, which the proxy sets itself. */
    private static final Set<String> CONNECTION_HEADERS =
            Set.of("connection", "content-length", "transfer-encoding", "keep-alive", "te", "trailer", "upgrade");

    private final Set<String> pools;

    /** Takes the names of the defined pools. */
    RouteReader(Set<String> pools) {
        this.pools = pools;
    }

    /** prefix is the path if it is matched literally; null for a regular expression. */
    Route read(TableReader r, String path, String prefix) {
        String name = r.string("name", path);
        Set<String> methods = new HashSet<>(r.stringList("methods", List.of()));
        List<Condition> conditions = new ArrayList<>();
        for (TableReader c : r.tables("header")) {
            conditions.add(headerCondition(c));
        }
        for (TableReader w : r.tables("when")) {
            conditions.add(textCondition(w));
        }
        boolean hasPool = r.has("pool");
        boolean hasAnswer = r.has("answer");
        if (hasPool == hasAnswer) {
            r.addProblem(
                    hasPool ? "a route has either pool or answer, not both" : "a route needs either pool or answer");
        }
        Route.PoolTarget poolTarget = hasPool ? poolTarget(r, prefix) : null;
        Route.FixedResponse fixedResponse = hasAnswer ? fixedResponse(r) : null;
        if (poolTarget == null && fixedResponse == null) {
            fixedResponse = new Route.FixedResponse(500, Template.literal(""), null, null, HeaderChanges.NONE);
        }
        return new Route(name, methods, conditions, fixedResponse == null ? poolTarget : null, fixedResponse);
    }

    private static Condition headerCondition(TableReader c) {
        String header = c.string("name");
        Condition condition;
        if (c.has("pattern")) {
            Pattern p = FieldParsers.pattern(c, "pattern", c.string("pattern"), 0);
            condition = new Condition.Header(header, null, p == null ? Pattern.compile("") : p);
        } else {
            condition = new Condition.Header(header, c.has("value") ? c.string("value") : null, null);
        }
        c.rejectUnknownKeys();
        return condition;
    }

    /** Reads a condition on an expanded template. */
    private static Condition textCondition(TableReader w) {
        Template template = FieldParsers.template(w, "of", w.string("of"));
        Condition condition = new Condition.TextEquals(template, "");
        if (Stream.of("is", "matches", "share").filter(w::has).count() != 1) {
            w.addProblem("a condition needs exactly one of is, matches and share");
        } else if (w.has("is")) {
            condition = new Condition.TextEquals(template, w.string("is"));
        } else if (w.has("matches")) {
            Pattern p = FieldParsers.pattern(w, "matches", w.string("matches"), 0);
            condition = p == null ? condition : new Condition.TextMatches(template, p);
        } else {
            Range share = w.range("share", 0, 100);
            condition = new Condition.HashShare(
                    template, (int) Math.round(share.from() * 100), (int) Math.round(share.to() * 100));
        }
        w.rejectUnknownKeys();
        return condition;
    }

    private Route.PoolTarget poolTarget(TableReader r, String prefix) {
        String pool = r.string("pool");
        if (!pool.isEmpty() && !pools.contains(pool)) {
            r.addProblem("pool", "is '" + pool + "', but no [[pool]] has that name");
        }
        return new Route.PoolTarget(
                pool,
                r.choice("class", Route.RequestClass.class, Route.RequestClass.BY_METHOD),
                limits(r),
                rewrite(r, prefix),
                headerChanges(r, "request_headers"),
                headerChanges(r, "answer_headers"));
    }

    private static Route.Limits limits(TableReader r) {
        Set<Integer> retryOn = new HashSet<>();
        for (String s : r.stringList("retry_on", List.of("502", "503", "504"))) {
            if (s.matches("[45][0-9][0-9]")) {
                retryOn.add(Integer.parseInt(s));
            } else {
                r.addProblem("retry_on", "holds '" + s + "', not a status from \"400\" to \"599\"");
            }
        }
        return new Route.Limits(
                FieldParsers.millisAsNs(r, "deadline_ms", 60_000, 1),
                r.integer("attempts", 3, 1, 100),
                FieldParsers.millisAsNs(r, "attempt_ms", 0, 0),
                (long) (r.number("body_kb", 1024, 0, 1e9) * 1024),
                retryOn,
                FieldParsers.secondsAsNs(r, "remembered_s", 60, 0));
    }

    private static Rewrite rewrite(TableReader r, String prefix) {
        if (!r.has("rewrite")) {
            return Rewrite.NONE;
        }
        TableReader w = r.table("rewrite");
        Rewrite rewrite = Rewrite.NONE;
        if (w.has("pattern")) {
            Pattern p = FieldParsers.pattern(w, "pattern", w.string("pattern"), 0);
            rewrite = p == null ? rewrite : Rewrite.pattern(p, w.string("to"));
        } else if (prefix != null) {
            rewrite = Rewrite.prefix(prefix, w.string("to"));
        } else {
            w.addProblem("rewrite needs pattern, as the path of the route is a regular expression");
        }
        w.rejectUnknownKeys();
        return rewrite;
    }

    private static HeaderChanges headerChanges(TableReader r, String key) {
        if (!r.has(key)) {
            return HeaderChanges.NONE;
        }
        TableReader f = r.table(key);
        HeaderChanges changes = new HeaderChanges(
                headerTemplates(f, "set"),
                headerTemplates(f, "add"),
                headerTemplates(f, "add_ok"),
                f.stringList("remove", List.of()));
        changes.remove().forEach(name -> checkHeaderName(f, "remove", name));
        f.rejectUnknownKeys();
        return changes;
    }

    private static Map<String, Template> headerTemplates(TableReader f, String key) {
        Map<String, Template> values = new LinkedHashMap<>();
        f.stringTable(key).forEach((name, value) -> {
            checkHeaderName(f, key, name);
            if (value.chars().anyMatch(c -> c < ' ' && c != '\t' || c == 127)) {
                f.addProblem(key, "gives " + name + " a value with control characters");
            }
            values.put(name, FieldParsers.template(f, key, value));
        });
        return values;
    }

    private static void checkHeaderName(TableReader f, String key, String name) {
        if (!TOKEN.matcher(name).matches()) {
            f.addProblem(key, "holds '" + name + "', which is not a valid header name");
        } else if (CONNECTION_HEADERS.contains(name.toLowerCase())) {
            f.addProblem(key, "holds " + name + ", which the proxy sets itself for each connection");
        }
    }

    private static Route.FixedResponse fixedResponse(TableReader r) {
        TableReader a = r.table("answer");
        Template location = a.has("location") ? FieldParsers.template(a, "location", a.string("location")) : null;
        Route.FixedResponse answer = new Route.FixedResponse(
                a.integer("status", 200, 599),
                FieldParsers.template(a, "body", a.string("body", "")),
                a.string("type", "text/plain; charset=utf-8"),
                location,
                headerChanges(a, "headers"));
        a.rejectUnknownKeys();
        return answer;
    }
}
