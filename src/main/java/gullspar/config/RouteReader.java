package gullspar.config;

import gullspar.route.Condition;
import gullspar.route.HeaderChanges;
import gullspar.route.Rewrite;
import gullspar.route.Route;
import gullspar.route.Template;
import gullspar.toml.Fields;
import gullspar.toml.Range;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Reads one route: what fits it, and what becomes of what does. */
final class RouteReader {
    private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    /** Framing and the next hop are the proxy's own affair. */
    private static final Set<String> NOT_TO_SET =
            Set.of("connection", "content-length", "transfer-encoding", "keep-alive", "te", "trailer", "upgrade");

    private final Set<String> pools;

    /** The names of the pools that there are. */
    RouteReader(Set<String> pools) {
        this.pools = pools;
    }

    /** prefix: the path, where it is one that a request's path begins with; else null. */
    Route read(Fields r, String path, String prefix) {
        String name = r.text("name", path);
        Set<String> methods = new HashSet<>(r.texts("methods", List.of()));
        List<Condition> conditions = new ArrayList<>();
        for (Fields c : r.tables("header")) {
            conditions.add(condition(c));
        }
        for (Fields w : r.tables("when")) {
            conditions.add(when(w));
        }
        boolean toPool = r.has("pool");
        boolean answered = r.has("answer");
        if (toPool == answered) {
            r.wrong(
                    toPool
                            ? "a route goes to a pool or is answered, not both"
                            : "a route needs a pool to go to, or an answer");
        }
        Route.ToPool pool = toPool ? toPool(r, prefix) : null;
        Route.Answer answer = answered ? answer(r) : null;
        if (pool == null && answer == null) {
            answer = new Route.Answer(500, Template.plain(""), null, null, HeaderChanges.NONE);
        }
        return new Route(name, methods, conditions, answer == null ? pool : null, answer);
    }

    private static Condition condition(Fields c) {
        String header = c.text("name");
        Condition made;
        if (c.has("pattern")) {
            Pattern p = Values.pattern(c, "pattern", c.text("pattern"), 0);
            made = new Condition.Header(header, null, p == null ? Pattern.compile("") : p);
        } else {
            made = new Condition.Header(header, c.has("value") ? c.text("value") : null, null);
        }
        c.noOthers();
        return made;
    }

    /** A condition on a text made of the request. */
    private static Condition when(Fields w) {
        Template of = Values.template(w, "of", w.text("of"));
        Condition made = new Condition.Is(of, "");
        if (Stream.of("is", "matches", "share").filter(w::has).count() != 1) {
            w.wrong("a condition has one of is, matches and share");
        } else if (w.has("is")) {
            made = new Condition.Is(of, w.text("is"));
        } else if (w.has("matches")) {
            Pattern p = Values.pattern(w, "matches", w.text("matches"), 0);
            made = p == null ? made : new Condition.Matches(of, p);
        } else {
            Range share = w.range("share", 0, 100);
            made = new Condition.Share(of, (int) Math.round(share.from() * 100), (int) Math.round(share.to() * 100));
        }
        w.noOthers();
        return made;
    }

    private Route.ToPool toPool(Fields r, String prefix) {
        String pool = r.text("pool");
        if (!pool.isEmpty() && !pools.contains(pool)) {
            r.wrong("pool", "is '" + pool + "', and there is no such pool");
        }
        return new Route.ToPool(
                pool,
                r.choice("class", Route.Kind.class, Route.Kind.BY_METHOD),
                limits(r),
                rewrite(r, prefix),
                changes(r, "request_headers"),
                changes(r, "answer_headers"));
    }

    private static Route.Limits limits(Fields r) {
        Set<Integer> retryOn = new HashSet<>();
        for (String s : r.texts("retry_on", List.of("502", "503", "504"))) {
            if (s.matches("[45][0-9][0-9]")) {
                retryOn.add(Integer.parseInt(s));
            } else {
                r.wrong("retry_on", "holds '" + s + "', not a status from \"400\" to \"599\"");
            }
        }
        return new Route.Limits(
                Values.millis(r, "deadline_ms", 60_000, 1),
                r.whole("attempts", 3, 1, 100),
                Values.millis(r, "attempt_ms", 0, 0),
                (long) (r.number("body_kb", 1024, 0, 1e9) * 1024),
                retryOn,
                Values.seconds(r, "remembered_s", 60, 0));
    }

    private static Rewrite rewrite(Fields r, String prefix) {
        if (!r.has("rewrite")) {
            return Rewrite.NONE;
        }
        Fields w = r.table("rewrite");
        Rewrite rewrite = Rewrite.NONE;
        if (w.has("pattern")) {
            Pattern p = Values.pattern(w, "pattern", w.text("pattern"), 0);
            rewrite = p == null ? rewrite : Rewrite.pattern(p, w.text("to"));
        } else if (prefix != null) {
            rewrite = Rewrite.prefix(prefix, w.text("to"));
        } else {
            w.wrong("a route with a regular expression is rewritten by a pattern");
        }
        w.noOthers();
        return rewrite;
    }

    private static HeaderChanges changes(Fields r, String key) {
        if (!r.has(key)) {
            return HeaderChanges.NONE;
        }
        Fields f = r.table(key);
        HeaderChanges changes = new HeaderChanges(
                values(f, "set"), values(f, "add"), values(f, "add_ok"), f.texts("remove", List.of()));
        changes.remove().forEach(name -> header(f, "remove", name));
        f.noOthers();
        return changes;
    }

    private static Map<String, Template> values(Fields f, String key) {
        Map<String, Template> values = new LinkedHashMap<>();
        f.strings(key).forEach((name, value) -> {
            header(f, key, name);
            if (value.chars().anyMatch(c -> c < ' ' && c != '\t' || c == 127)) {
                f.wrong(key, "gives " + name + " a value with control characters");
            }
            values.put(name, Values.template(f, key, value));
        });
        return values;
    }

    private static void header(Fields f, String key, String name) {
        if (!TOKEN.matcher(name).matches()) {
            f.wrong(key, "holds '" + name + "', which no header is called");
        } else if (NOT_TO_SET.contains(name.toLowerCase())) {
            f.wrong(key, "holds " + name + ", which belongs to each connection");
        }
    }

    private static Route.Answer answer(Fields r) {
        Fields a = r.table("answer");
        Template location = a.has("location") ? Values.template(a, "location", a.text("location")) : null;
        Route.Answer answer = new Route.Answer(
                a.whole("status", 200, 599),
                Values.template(a, "body", a.text("body", "")),
                a.text("type", "text/plain; charset=utf-8"),
                location,
                changes(a, "headers"));
        a.noOthers();
        return answer;
    }
}
