package gullspar.importer;

import gullspar.importer.TranslatedSite.Condition;
import gullspar.importer.TranslatedSite.Route;
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

/** Translates the location blocks of a server to routes. */
final class LocationTranslator {
    private static final Pattern PROXY_PASS_URL = Pattern.compile("(\\w+)://([^/?$]+)(.*)");
    private static final int MAX_COMBINATIONS = 64;
    private static final String AFTER_RETURN = "the return of this block answers first";
    /** Headers that apply to one connection or to the framing of its messages. */
    private static final Set<String> CONNECTION_HEADERS =
            Set.of("Connection", "Upgrade", "Content-Length", "Transfer-Encoding", "TE", "Keep-Alive", "Trailer");

    private final TranslatedSite site;
    private final Report report;
    private final UpstreamTranslator upstreamTranslator;
    private final Map<String, ConditionalVariable> conditionalVariables;

    LocationTranslator(
            TranslatedSite site,
            Report report,
            UpstreamTranslator upstreamTranslator,
            Map<String, ConditionalVariable> conditionalVariables) {
        this.site = site;
        this.report = report;
        this.upstreamTranslator = upstreamTranslator;
        this.conditionalVariables = conditionalVariables;
    }

    /** Returns the routes of the locations in a block, in order; a location may have several. */
    List<Route> translateLocations(List<Directive> block, Scope scope, VariableTemplates variables) {
        List<Route> routes = new ArrayList<>();
        Set<String> locationTexts = new HashSet<>();
        Set<String> seenLocations = new HashSet<>();
        for (Directive d : block) {
            if (d.is("location") && d.block() != null && !d.arguments().isEmpty()) {
                String first = d.arguments().get(0).text();
                locationTexts.add(
                        d.arguments().size() == 1 ? first : d.arguments().get(1).text());
            }
        }
        for (Directive d : block) {
            if (d.is("location") && d.block() != null) {
                translateLocation(d, scope, variables, routes, locationTexts, seenLocations);
            }
        }
        return routes;
    }

    private void translateLocation(
            Directive d,
            Scope outer,
            VariableTemplates variables,
            List<Route> allRoutes,
            Set<String> locationTexts,
            Set<String> seenLocations) {
        try {
            Route locationRoute = new Route();
            parseMatch(d, locationRoute);
            if (!seenLocations.add((locationRoute.match.equals("prefix-ends") ? "prefix" : locationRoute.match) + " "
                    + locationRoute.path)) {
                throw new UntranslatableException("a second location of this kind and path");
            }
            Scope scope = new Scope(outer, d.block());
            VariableTemplates locationVariables = new VariableTemplates(variables);
            if (locationRoute.match.startsWith("regex")) {
                locationVariables.defineNamedGroups(locationRoute.path);
            }
            List<Route> routes = translateBlock(d, scope, locationVariables, locationRoute);
            routes.get(0).nested.addAll(translateLocations(d.block(), scope, variables));
            allRoutes.addAll(routes);
            report.translated(d);
            if (!locationRoute.match.startsWith("regex")
                    && locationRoute.path.endsWith("/")
                    && locationRoute.path.length() > 1
                    && routes.get(0).pool != null) {
                addSlashRedirect(d, locationRoute.path, allRoutes, locationTexts);
            }
        } catch (UntranslatableException e) {
            report.notTranslatable(d, e.getMessage());
            report.putAll(d, Report.Verdict.NOT_TRANSLATABLE, "its location could not be translated");
        }
    }

    /** Adds the redirect that nginx sends for the path without the final slash of a location with a proxy_pass. */
    private static void addSlashRedirect(Directive d, String path, List<Route> routes, Set<String> locationTexts) {
        String pathWithoutSlash = path.substring(0, path.length() - 1);
        if (locationTexts.add(pathWithoutSlash)) {
            Route r = new Route();
            r.comment = d.position() + " (as for every prefix with a slash at its end)";
            r.match = "exact";
            r.path = pathWithoutSlash;
            r.name = "to " + path;
            r.status = 301;
            r.location = "${scheme}://${host_header}" + path + "${args}";
            routes.add(r);
        }
    }

    private static void parseMatch(Directive d, Route locationRoute) throws UntranslatableException {
        List<Word> arguments = d.arguments();
        String modifier = arguments.isEmpty() ? "" : arguments.get(0).text();
        String path = modifier;
        locationRoute.match = "prefix";
        locationRoute.comment = d.position().toString();
        if (arguments.size() == 2) {
            path = arguments.get(1).text();
            locationRoute.match = switch (modifier) {
                case "=" -> "exact";
                case "^~" -> "prefix-ends";
                case "~" -> "regex";
                case "~*" -> "regex-any-case";
                default -> throw new UntranslatableException("'" + modifier + "' is no kind of location");
            };
        } else if (modifier.startsWith("@")) {
            throw new UntranslatableException("a named location: only try_files and error_page lead there");
        } else if (modifier.matches("(=|\\^~|~\\*?).+") && !modifier.startsWith("/")) {
            Matcher m = Pattern.compile("(=|\\^~|~\\*|~)(.+)").matcher(modifier);
            m.matches();
            path = m.group(2);
            locationRoute.match = Map.of("=", "exact", "^~", "prefix-ends", "~", "regex", "~*", "regex-any-case")
                    .get(m.group(1));
        }
        locationRoute.path = locationRoute.match.startsWith("regex") ? VariableTemplates.toJavaRegex(path) : path;
        locationRoute.name = String.join(" ", arguments.stream().map(Word::text).toList());
        if (!locationRoute.match.startsWith("regex") && !path.startsWith("/")) {
            throw new UntranslatableException("a path that does not begin with /: no request matches it");
        }
    }

    // ---- the content of a location ----

    /** Returns the routes of one location: one for each combination of values of its variables. */
    private List<Route> translateBlock(
            Directive directive, Scope scope, VariableTemplates variables, Route locationRoute)
            throws UntranslatableException {
        variables = applySet(scope, variables);
        List<Route> routes = new ArrayList<>();
        String regex = !locationRoute.match.startsWith("regex")
                ? null
                : locationRoute.match.equals("regex") ? locationRoute.path : "(?i)" + locationRoute.path;
        Directive returnDirective = null;
        Directive proxyPass = scope.own("proxy_pass").isEmpty()
                ? null
                : scope.own("proxy_pass").get(0);
        for (Directive d : directive.block()) {
            if (returnDirective != null && (d.is("rewrite") || d.is("return") || d.is("proxy_pass"))) {
                report.put(d, Report.Verdict.NO_EFFECT, AFTER_RETURN);
            } else if (d.is("rewrite")) {
                translateRewrite(d, scope, variables, locationRoute, proxyPass, routes);
            } else if (d.is("return")) {
                returnDirective = d;
            }
        }
        if (returnDirective != null) {
            for (Combination combination : combinations(argumentTexts(returnDirective), variables)) {
                Route r = newRoute(locationRoute, combination);
                translateReturn(returnDirective, scope, combination.variables, r);
                routes.add(r);
            }
            report.translated(returnDirective);
            for (Directive p : scope.own("proxy_pass")) {
                report.put(p, Report.Verdict.NO_EFFECT, AFTER_RETURN);
            }
        } else if (proxyPass != null) {
            translateProxyPass(proxyPass, scope, variables, locationRoute, null, regex, routes);
        } else if (routes.isEmpty() || !redirectsEveryPath(scope)) {
            throw new UntranslatableException(noRouteReason(scope));
        }
        return routes;
    }

    /** Returns whether a redirecting rewrite matches every path. */
    private static boolean redirectsEveryPath(Scope scope) {
        return scope.own("rewrite").stream()
                .anyMatch(d -> isRedirect(d)
                        && Set.of("^", "^/", "^(.*)$", "^(.*)", "^/(.*)$", "^/(.*)", ".*", "^.*$", "^/.*$", "(.*)")
                                .contains(d.argument(0).orElse("")));
    }

    private static String noRouteReason(Scope scope) {
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
                return other + " is not supported; use an HTTP server for it and forward requests to that";
            }
        }
        return "it serves files from disk, which is not supported; forward its requests to a file server";
    }

    /** One combination of the values of conditional variables, and its conditions. */
    private record Combination(List<Condition> conditions, VariableTemplates variables) {}

    private List<Combination> combinations(List<String> texts, VariableTemplates variables)
            throws UntranslatableException {
        List<Combination> all = new ArrayList<>(List.of(new Combination(List.of(), variables)));
        for (String name : referencedVariables(texts)) {
            ConditionalVariable variable = conditionalVariables.get(name);
            variable.markUsed();
            List<Combination> next = new ArrayList<>();
            for (Combination combination : all) {
                for (ConditionalVariable.Case entry : variable.cases) {
                    List<Condition> conditions = new ArrayList<>(combination.conditions);
                    if (entry.condition() != null) {
                        conditions.add(entry.condition());
                    }
                    next.add(new Combination(
                            conditions,
                            new VariableTemplates(combination.variables)
                                    .define(name, combination.variables.translate(entry.value()))));
                }
            }
            if (next.size() > MAX_COMBINATIONS) {
                throw new UntranslatableException("its variables have more than " + MAX_COMBINATIONS + " combinations");
            }
            all = next;
        }
        return all;
    }

    /** Returns the conditional variables in texts, each after those that its own values use. */
    private Set<String> referencedVariables(List<String> texts) {
        Set<String> names = new TreeSet<>(VariableTemplates.referenced(texts));
        names.retainAll(conditionalVariables.keySet());
        Set<String> ordered = new LinkedHashSet<>();
        for (String n : names) {
            ConditionalVariable variable = conditionalVariables.get(n);
            if (variable.cases.stream().noneMatch(x -> VariableTemplates.referenced(List.of(x.value()))
                    .contains(n))) {
                ordered.addAll(referencedVariables(variable.cases.stream()
                        .map(ConditionalVariable.Case::value)
                        .toList()));
            }
            ordered.add(n);
        }
        return ordered;
    }

    private static List<String> argumentTexts(Directive d) {
        return d.arguments().stream().map(Word::text).toList();
    }

    private VariableTemplates applySet(Scope scope, VariableTemplates outer) {
        VariableTemplates variables = new VariableTemplates(outer);
        for (Directive d : scope.own("set")) {
            try {
                variables.define(
                        d.argument(0).orElse("").replaceFirst("^\\$", ""),
                        variables.translate(d.argument(1).orElse("")));
                report.translated(d);
            } catch (UntranslatableException e) {
                report.notTranslatable(d, e.getMessage());
            }
        }
        return variables;
    }

    /** Returns the variables that a server sets for all its locations. */
    VariableTemplates serverVariables(Scope scope, VariableTemplates outer) {
        return applySet(scope, outer);
    }

    private static Route newRoute(Route locationRoute, Combination combination) {
        Route r = new Route();
        r.comment = locationRoute.comment;
        r.name = locationRoute.name;
        r.match = locationRoute.match;
        r.path = locationRoute.path;
        r.conditions.addAll(combination.conditions);
        return r;
    }

    // ---- return and rewrite ----

    void translateReturn(Directive d, Scope scope, VariableTemplates variables, Route r)
            throws UntranslatableException {
        String first = d.argument(0).orElse("");
        String text = d.argument(1).orElse("");
        boolean hasStatus = first.matches("\\d{3}");
        r.status = hasStatus ? Integer.parseInt(first) : 302;
        if (r.status == 444) {
            throw new UntranslatableException("444 ends the connection without an answer; give it a status");
        }
        if (r.status < 200 || r.status > 599) {
            throw new UntranslatableException(r.status + " is no status of a final answer");
        }
        if (!hasStatus || List.of(301, 302, 303, 307, 308).contains(r.status)) {
            r.location = absoluteUrl(variables.translate(hasStatus ? text : first));
        } else if (!text.isEmpty()) {
            r.body = variables.translate(text);
            Directive type = scope.last("default_type");
            r.contentType = type == null ? "text/plain" : type.argument(0).orElse("text/plain");
            if (type != null) {
                report.translated(type);
            }
        }
        applyAddHeader(scope, variables, r);
    }

    /** Adds scheme and host to a Location that is only a path. */
    private static String absoluteUrl(String location) {
        return location.startsWith("/") ? "${scheme}://${host_header}" + location : location;
    }

    private void translateRewrite(
            Directive d,
            Scope scope,
            VariableTemplates variables,
            Route locationRoute,
            Directive proxyPass,
            List<Route> routes)
            throws UntranslatableException {
        try {
            String flag = d.argument(2).orElse("");
            if (isRedirect(d)) {
                routes.add(translateRedirect(
                        d, scope, variables, newRoute(locationRoute, new Combination(List.of(), variables))));
            } else if (flag.equals("break") && proxyPass != null) {
                int firstNewRoute = routes.size();
                translateProxyPass(proxyPass, scope, variables, locationRoute, d, null, routes);
                Condition pathMatches = Condition.regex(
                        "${path}", VariableTemplates.toJavaRegex(d.argument(0).orElse("")));
                routes.subList(firstNewRoute, routes.size()).forEach(r -> r.conditions.add(0, pathMatches));
                report.translated(d);
            } else {
                throw new UntranslatableException(
                        flag.equals("break")
                                ? "a rewrite with break in a location without proxy_pass"
                                : "it searches for a location again with the new path; use that location's "
                                        + "proxy_pass here and end the rewrite with break");
            }
        } catch (UntranslatableException e) {
            report.notTranslatable(d, e.getMessage());
        }
    }

    /** Returns whether a rewrite answers with a redirect. */
    static boolean isRedirect(Directive d) {
        String flag = d.argument(2).orElse("");
        return flag.equals("permanent")
                || flag.equals("redirect")
                || d.argument(1).orElse("").matches("(https?://|\\$scheme).*");
    }

    /** Fills in a route that redirects if the expression of the rewrite is found in the path. */
    Route translateRedirect(Directive d, Scope scope, VariableTemplates variables, Route r)
            throws UntranslatableException {
        String regex = VariableTemplates.toJavaRegex(d.argument(0).orElse(""));
        String replacement = d.argument(1).orElse("");
        r.conditions.add(0, Condition.regex("${path}", regex));
        r.status = d.argument(2).orElse("").equals("permanent") ? 301 : 302;
        // nginx appends the arguments of the request unless the replacement ends with a question mark; after
        // arguments of the replacement it does so with &, for which templates have no counterpart.
        boolean dropQuery = replacement.endsWith("?");
        String target = dropQuery ? replacement.substring(0, replacement.length() - 1) : replacement;
        if (!dropQuery && target.contains("?")) {
            throw new UntranslatableException(
                    "its arguments are followed by those of the request; end it with ? to " + "drop the latter");
        }
        boolean includesQuery =
                target.contains("$request_uri") || target.contains("$args") || target.contains("$is_args");
        r.location = absoluteUrl(new VariableTemplates(variables)
                        .defineNamedGroups(regex)
                        .translate(target))
                + (dropQuery || includesQuery ? "" : "${args}");
        applyAddHeader(scope, variables, r);
        report.translated(d);
        return r;
    }

    // ---- proxy_pass ----

    private void translateProxyPass(
            Directive proxyPass,
            Scope scope,
            VariableTemplates variables,
            Route locationRoute,
            Directive rewrite,
            String regex,
            List<Route> routes)
            throws UntranslatableException {
        List<String> texts = new ArrayList<>(argumentTexts(proxyPass));
        scope.find("proxy_set_header").forEach(h -> texts.addAll(argumentTexts(h)));
        scope.find("add_header").forEach(h -> texts.addAll(argumentTexts(h)));
        try {
            for (Combination combination : combinations(texts, variables)) {
                Route r = newRoute(locationRoute, combination);
                applyProxyPass(proxyPass, scope, combination.variables, r, rewrite, regex);
                routes.add(r);
            }
        } catch (UntranslatableException e) {
            report.notTranslatable(proxyPass, e.getMessage());
            throw new UntranslatableException("its proxy_pass could not be translated");
        }
        for (String files : List.of("root", "index")) {
            scope.own(files)
                    .forEach(
                            d -> report.put(d, Report.Verdict.NO_EFFECT, "all requests of its location are forwarded"));
        }
        report.translated(proxyPass);
    }

    private void applyProxyPass(
            Directive proxyPass, Scope scope, VariableTemplates variables, Route r, Directive rewrite, String regex)
            throws UntranslatableException {
        String argument = proxyPass.argument(0).orElse("");
        String url = argument;
        for (String name : VariableTemplates.referenced(List.of(argument))) {
            String value = variables.constantValue(name);
            if (value != null) {
                url = url.replaceAll("\\$(" + name + "\\b|\\{" + name + "\\})", Matcher.quoteReplacement(value));
            }
        }
        Matcher m = PROXY_PASS_URL.matcher(url);
        if (!m.matches()) {
            throw new UntranslatableException(
                    url.contains("$")
                            ? "the target of " + url + " is not known to this importer"
                            : "'" + url + "' is no URL");
        }
        if (!m.group(1).equals("http")) {
            throw new UntranslatableException(m.group(1) + " to servers: only plain HTTP is spoken to them");
        }
        r.pool = upstreamTranslator.poolName(m.group(2), proxyPass);
        translatePath(m.group(3), argument.contains("$"), r, rewrite, regex, variables);
        String proxyHost =
                m.group(2).endsWith(":80") ? m.group(2).substring(0, m.group(2).length() - 3) : m.group(2);
        translateRequestHeaders(scope, new VariableTemplates(variables).define("proxy_host", proxyHost), r);
        translateResponseHeaders(scope, variables, r);
        translateLimits(scope, r);
    }

    /** Sets the rewrite of the path, by the URI of proxy_pass or by a rewrite. */
    private static void translatePath(
            String uri, boolean hasVariables, Route r, Directive rewrite, String regex, VariableTemplates variables)
            throws UntranslatableException {
        if (rewrite != null) {
            String pattern = VariableTemplates.toJavaRegex(rewrite.argument(0).orElse(""));
            String replacement = rewrite.argument(1).orElse("");
            if (replacement.contains("?")) {
                throw new UntranslatableException("a rewrite to a path with arguments");
            }
            r.rewritePattern = VariableTemplates.matchWholeText(pattern);
            r.rewriteReplacement = toJavaReplacement(
                    new VariableTemplates(variables).defineNamedGroups(pattern).translate(replacement));
        } else if (uri.isEmpty() || uri.equals("$request_uri")) {
            return;
        } else if (!hasVariables) {
            if (regex != null) {
                throw new UntranslatableException("a URI in proxy_pass, in a location by regular expression");
            }
            r.rewriteReplacement = uri;
            if (uri.contains("?")) {
                throw new UntranslatableException("arguments in the URI of proxy_pass");
            }
        } else if (uri.endsWith("$is_args$args") || uri.endsWith("$is_args$query_string")) {
            String replacement = toJavaReplacement(variables.translate(uri.substring(0, uri.indexOf("$is_args"))));
            r.rewritePattern = replacement.startsWith("${path}")
                    ? "^(.*)$"
                    : VariableTemplates.matchWholeText(regex == null ? "^" : regex);
            r.rewriteReplacement = replacement.replace("${path}", "$1");
        } else {
            throw new UntranslatableException(
                    "with variables in its URI the arguments of the request are dropped; end it with "
                            + "$is_args$args");
        }
        if (r.rewriteReplacement.contains("${")) {
            throw new UntranslatableException("the path depends on variables: " + r.rewriteReplacement);
        }
    }

    private static String toJavaReplacement(String template) {
        return template.replaceAll("\\$\\{([1-9])\\}", "\\$$1");
    }

    private void translateRequestHeaders(Scope scope, VariableTemplates variables, Route r)
            throws UntranslatableException {
        boolean hasHost = false;
        for (Directive d : scope.find("proxy_set_header")) {
            String name = d.argument(0).orElse("");
            String value = d.argument(1).orElse("");
            if (CONNECTION_HEADERS.stream().anyMatch(name::equalsIgnoreCase)) {
                reportConnectionHeader(d, name, value);
                continue;
            }
            try {
                hasHost |= name.equalsIgnoreCase("Host");
                r.requestHeaders.set.put(name, variables.translate(value));
                report.translated(d);
            } catch (UntranslatableException e) {
                report.notTranslatable(d, e.getMessage());
            }
        }
        if (!hasHost) {
            r.requestHeaders.set.put("Host", variables.translate("$proxy_host"));
        }
        for (String flag : List.of("proxy_pass_request_headers", "proxy_pass_request_body")) {
            Directive d = scope.last(flag);
            if (d != null && !d.argument(0).orElse("").equals("on")) {
                report.notTranslatable(d, "headers and body of a request are always forwarded");
            }
        }
    }

    private void reportConnectionHeader(Directive d, String name, String value) {
        boolean upgrades = name.equalsIgnoreCase("Upgrade") && !value.isEmpty()
                || name.equalsIgnoreCase("Connection") && value.toLowerCase().matches(".*upgrade.*");
        if (upgrades) {
            report.notTranslatable(d, "connections are not upgraded (WebSocket)");
        } else {
            report.put(d, Report.Verdict.NO_EFFECT, "each connection has its own " + name);
        }
    }

    private void translateResponseHeaders(Scope scope, VariableTemplates variables, Route r) {
        for (Directive d : scope.find("proxy_hide_header")) {
            r.responseHeaders.remove.add(d.argument(0).orElse(""));
            report.translated(d);
        }
        applyAddHeader(scope, variables, r);
    }

    private void applyAddHeader(Scope scope, VariableTemplates variables, Route r) {
        for (Directive d : scope.find("add_header")) {
            try {
                boolean always = d.argument(2).orElse("").equals("always");
                (always ? r.responseHeaders.add : r.responseHeaders.addOk)
                        .put(
                                d.argument(0).orElse(""),
                                variables.translate(d.argument(1).orElse("")));
                report.translated(d);
            } catch (UntranslatableException e) {
                report.notTranslatable(d, e.getMessage());
            }
        }
    }

    // ---- limits and retries ----

    private void translateLimits(Scope scope, Route r) throws UntranslatableException {
        long connectMs = timeMs(scope, "proxy_connect_timeout", "60s");
        long readMs = timeMs(scope, "proxy_read_timeout", "60s");
        long sendMs = timeMs(scope, "proxy_send_timeout", "60s");
        TranslatedSite.Pool pool = upstreamTranslator.pool(r.pool);
        pool.connectTimeoutMs = Math.max(pool.connectTimeoutMs, connectMs);
        r.attemptTimeoutMs = connectMs + Math.max(readMs, sendMs);
        r.maxBodyKb = maxBodyKb(scope);
        int tries = integerValue(scope, "proxy_next_upstream_tries");
        long nextUpstreamMs = timeMs(scope, "proxy_next_upstream_timeout", "0");
        int serverCount = Math.max(1, pool.servers.size());
        r.maxAttempts = tries == 0 ? serverCount : tries;
        translateNextUpstream(scope, r);
        r.deadlineMs = Math.min(
                86_400_000L,
                nextUpstreamMs > 0 ? nextUpstreamMs + r.attemptTimeoutMs : r.maxAttempts * r.attemptTimeoutMs);
    }

    private void translateNextUpstream(Scope scope, Route r) {
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
                case "off" -> r.maxAttempts = 1;
                case "non_idempotent" -> {
                    r.safe = true;
                    remark = "every request becomes safe (class = \"safe\"): also one that changes something "
                            + "may run twice";
                }
                default -> {
                    report.notTranslatable(d, w.text() + ": such a response is forwarded, not retried");
                    return;
                }
            }
        }
        r.retryStatuses = statuses;
        report.translated(d, remark);
    }

    private long timeMs(Scope scope, String name, String defaultValue) {
        Directive d = scope.last(name);
        try {
            long ms = NginxValues.parseMillis(scope.value(name, defaultValue));
            if (d != null) {
                report.translated(d);
            }
            return ms;
        } catch (UntranslatableException e) {
            report.notTranslatable(d, e.getMessage());
            return 60_000;
        }
    }

    private int integerValue(Scope scope, String name) {
        Directive d = scope.last(name);
        try {
            int n = NginxValues.parseInteger(scope.value(name, "0"));
            if (d != null) {
                report.translated(d);
            }
            return n;
        } catch (UntranslatableException e) {
            report.notTranslatable(d, e.getMessage());
            return 0;
        }
    }

    private double maxBodyKb(Scope scope) {
        Directive d = scope.last("client_max_body_size");
        try {
            double kb = NginxValues.parseKilobytes(scope.value("client_max_body_size", "1m"));
            if (d != null) {
                report.translated(
                        d,
                        kb == 0
                                ? "0 means no limit in nginx; here the limit is 1 GB, and all bodies "
                                        + "held at a time share limits.bodies_mb"
                                : "");
            }
            if (kb > 16 * 1024) {
                site.maxBodiesMb = Math.max(site.maxBodiesMb, Math.ceil(kb / 512));
            }
            return kb == 0 ? 1 << 20 : kb;
        } catch (UntranslatableException e) {
            report.notTranslatable(d, e.getMessage());
            return 1024;
        }
    }
}
