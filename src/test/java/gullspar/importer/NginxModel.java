package gullspar.importer;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A reference model of nginx's routing, by its published documentation: selects the server, the location, the
 * forwarded request and the server of the upstream. It shares no code with the importer, so that an error in one
 * is not repeated in the other; it even has its own parser.
 */
final class NginxModel {
    /** A directive with its arguments and its block, which is empty if there is none. */
    static final class ConfigNode {
        final String name;
        final List<String> args;
        final List<ConfigNode> block;

        ConfigNode(String name, List<String> args, List<ConfigNode> block) {
            this.name = name;
            this.args = args;
            this.block = block;
        }

        String arg(int i) {
            return i < args.size() ? args.get(i) : "";
        }

        List<ConfigNode> children(String n) {
            return block.stream().filter(x -> x.name.equals(n)).toList();
        }
    }

    /** A request: the port of the listener, the URI as received, and headers with names such as x_real_ip. */
    record Request(String method, String host, int port, String uri, Map<String, String> headers) {}

    /** A response by nginx itself (upstream is null), or the request that is forwarded to an upstream. */
    record Outcome(int status, String location, String upstream, String uri, String host) {}

    /** A server of an upstream, with its state in the smooth weighted round robin. */
    static final class UpstreamServer {
        final String address;
        final int weight;
        final int maxFailures;
        final double failTimeoutS;
        final boolean backup;
        final boolean down;
        int currentWeight;
        int failures;
        double lastCheckedS = -1e9;

        UpstreamServer(ConfigNode node) {
            this.address = node.arg(0);
            Map<String, String> parameters = new HashMap<>();
            node.args.forEach(a -> parameters.put(a.split("=")[0], a.contains("=") ? a.split("=")[1] : ""));
            this.weight = Integer.parseInt(parameters.getOrDefault("weight", "1"));
            this.maxFailures = Integer.parseInt(parameters.getOrDefault("max_fails", "1"));
            this.failTimeoutS = Double.parseDouble(
                    parameters.getOrDefault("fail_timeout", "10s").replace("s", ""));
            this.backup = parameters.containsKey("backup");
            this.down = parameters.containsKey("down");
        }

        private boolean isUnavailable(double nowS) {
            return down || maxFailures > 0 && failures >= maxFailures && nowS - lastCheckedS <= failTimeoutS;
        }
    }

    private final Path folder;
    private final List<ConfigNode> http = new ArrayList<>();
    final Map<String, List<UpstreamServer>> upstreams = new LinkedHashMap<>();
    private String text;
    private int position;

    NginxModel(Path mainFile) throws IOException {
        this.folder = mainFile.getParent();
        for (ConfigNode n : read(mainFile)) {
            http.addAll(n.name.equals("http") ? n.block : List.of(n));
        }
        for (ConfigNode n : http) {
            if (n.name.equals("upstream")) {
                upstreams.put(
                        n.arg(0),
                        n.children("server").stream().map(UpstreamServer::new).toList());
            }
        }
    }

    // ---- parsing ----

    private List<ConfigNode> read(Path file) throws IOException {
        String outerText = text;
        int outerPosition = position;
        text = Files.readString(file);
        position = 0;
        List<ConfigNode> nodes = block();
        text = outerText;
        position = outerPosition;
        return nodes;
    }

    private List<ConfigNode> block() throws IOException {
        List<ConfigNode> nodes = new ArrayList<>();
        List<String> words = new ArrayList<>();
        while (position < text.length()) {
            char c = text.charAt(position);
            if (c == '#') {
                position = text.indexOf('\n', position);
            } else if (Character.isWhitespace(c)) {
                position++;
            } else if (c == ';' || c == '{') {
                position++;
                ConfigNode n = new ConfigNode(
                        words.get(0), List.copyOf(words.subList(1, words.size())), c == '{' ? block() : List.of());
                words.clear();
                if (n.name.equals("include")) {
                    nodes.addAll(readIncluded(n.arg(0)));
                } else {
                    nodes.add(n);
                }
            } else if (c == '}') {
                position++;
                return nodes;
            } else {
                words.add(word());
            }
        }
        return nodes;
    }

    private List<ConfigNode> readIncluded(String name) throws IOException {
        List<ConfigNode> nodes = new ArrayList<>();
        if (!name.contains("*")) {
            return read(folder.resolve(name));
        }
        Path directory = folder.resolve(name).getParent();
        try (Stream<Path> files = Files.list(directory)) {
            for (Path f : files.sorted().toList()) {
                nodes.addAll(read(f));
            }
        }
        return nodes;
    }

    private String word() {
        StringBuilder w = new StringBuilder();
        char quote = text.charAt(position) == '"' || text.charAt(position) == '\'' ? text.charAt(position++) : 0;
        while (true) {
            char c = text.charAt(position);
            boolean variable = c == '{' && position > 0 && text.charAt(position - 1) == '$';
            if (quote != 0 ? c == quote : Character.isWhitespace(c) || c == ';' || c == '{' && !variable) {
                position += quote != 0 ? 1 : 0;
                return w.toString();
            }
            position++;
            if (c == '\\' && "nrt\"'\\".indexOf(text.charAt(position)) >= 0) {
                w.append("\n\r\t\"'\\".charAt("nrt\"'\\".indexOf(text.charAt(position++))));
            } else {
                w.append(c);
            }
        }
    }

    // ---- servers ----

    /** The ports of all listeners. */
    List<Integer> ports() {
        return servers().stream()
                .flatMap(s -> ports(s).stream())
                .distinct()
                .sorted()
                .toList();
    }

    List<ConfigNode> servers() {
        return http.stream().filter(n -> n.name.equals("server")).toList();
    }

    private static List<Integer> ports(ConfigNode server) {
        List<Integer> ports = server.children("listen").stream()
                .map(l -> Integer.parseInt(l.arg(0).replaceAll("^.*[:\\]]", "")))
                .distinct()
                .toList();
        return ports.isEmpty() ? List.of(80) : ports;
    }

    static List<String> serverNames(ConfigNode server) {
        return server.children("server_name").stream()
                .flatMap(n -> n.args.stream())
                .toList();
    }

    private ConfigNode selectServer(Request request) {
        String host = request.host.replaceFirst(":\\d+$", "").toLowerCase(Locale.ROOT);
        List<ConfigNode> candidates =
                servers().stream().filter(s -> ports(s).contains(request.port)).toList();
        Map<Integer, ConfigNode> serversByRank = new TreeMap<>(); // the lowest rank takes precedence
        for (ConfigNode s : candidates) {
            for (String name : serverNames(s)) {
                int rank = rank(name, host);
                if (rank < Integer.MAX_VALUE) {
                    serversByRank.putIfAbsent(rank, s);
                }
            }
        }
        if (!serversByRank.isEmpty()) {
            return serversByRank.values().iterator().next();
        }
        return candidates.stream()
                .filter(s -> s.children("listen").stream().anyMatch(l -> l.args.contains("default_server")))
                .findFirst()
                .orElse(candidates.get(0));
    }

    /**
     * Returns the precedence of a name: exact, then the longest leading wildcard, the longest trailing wildcard,
     * the first regular expression. MAX_VALUE if the host does not match.
     */
    private static int rank(String name, String host) {
        String lowerCaseName = name.toLowerCase(Locale.ROOT);
        if (lowerCaseName.startsWith("~")) {
            return Pattern.compile(name.substring(1), Pattern.CASE_INSENSITIVE)
                            .matcher(host)
                            .find()
                    ? 3_000_000
                    : Integer.MAX_VALUE;
        }
        if (lowerCaseName.equals(host) || lowerCaseName.startsWith(".") && host.equals(lowerCaseName.substring(1))) {
            return 0;
        }
        if (lowerCaseName.startsWith("*.") && host.endsWith(lowerCaseName.substring(1))
                || lowerCaseName.startsWith(".") && host.endsWith(lowerCaseName)) {
            return 1_000_000 - lowerCaseName.replace("*", "").length();
        }
        return lowerCaseName.endsWith(".*") && host.startsWith(lowerCaseName.substring(0, lowerCaseName.length() - 1))
                ? 2_000_000 - lowerCaseName.length()
                : Integer.MAX_VALUE;
    }

    // ---- evaluation of a request ----

    /** The state while one request is evaluated: its path, variables and captured groups. */
    private final class Evaluation {
        final Request request;
        final Map<String, String> variables = new HashMap<>();
        String path;
        String args;
        Matcher groups;
        /** Whether an exact location or a regular expression was found at any depth, which ends the search. */
        boolean searchEnded;

        Evaluation(Request request) {
            this.request = request;
            int q = request.uri.indexOf('?');
            this.args = q < 0 ? "" : request.uri.substring(q + 1);
            this.path = normalizePath(q < 0 ? request.uri : request.uri.substring(0, q));
        }

        boolean find(String regex, boolean ignoreCase, String input) {
            Matcher m = Pattern.compile(regex, ignoreCase ? Pattern.CASE_INSENSITIVE : 0)
                    .matcher(input);
            boolean found = m.find();
            groups = found ? m : groups;
            return found;
        }

        String expand(String template) {
            Matcher m = Pattern.compile("\\$(?:\\{(\\w+)\\}|(\\w+))").matcher(template);
            StringBuilder s = new StringBuilder();
            while (m.find()) {
                m.appendReplacement(s, Matcher.quoteReplacement(value(m.group(1) != null ? m.group(1) : m.group(2))));
            }
            return m.appendTail(s).toString();
        }

        private String value(String name) {
            if (name.matches("\\d")) {
                String g = groups.group(Integer.parseInt(name));
                return g == null ? "" : g;
            }
            if (variables.containsKey(name)) {
                return variables.get(name);
            }
            for (ConfigNode n : http) {
                if (n.name.equals("map") && n.arg(1).equals("$" + name)) {
                    return mapValue(n);
                }
                if (n.name.equals("split_clients") && n.arg(1).equals("$" + name)) {
                    return splitClientsValue(n);
                }
            }
            if (name.startsWith("http_")) {
                return name.equals("http_host") ? request.host : request.headers.getOrDefault(name.substring(5), "");
            }
            if (name.startsWith("cookie_")) {
                return Stream.of(request.headers.getOrDefault("cookie", "").split(";"))
                        .map(String::trim)
                        .filter(c -> c.startsWith(name.substring(7) + "="))
                        .findFirst()
                        .map(c -> c.substring(c.indexOf('=') + 1))
                        .orElse("");
            }
            if (name.startsWith("arg_")) {
                return Stream.of(args.split("&"))
                        .filter(a -> a.startsWith(name.substring(4) + "="))
                        .findFirst()
                        .map(a -> a.substring(a.indexOf('=') + 1))
                        .orElse("");
            }
            switch (name) {
                case "host":
                    return request.host.replaceFirst(":\\d+$", "").toLowerCase(Locale.ROOT);
                case "uri":
                    return path;
                case "request_uri":
                    return request.uri;
                case "args":
                    return args;
                case "is_args":
                    return args.isEmpty() ? "" : "?";
                case "scheme":
                    return "http";
                case "request_method":
                    return request.method;
                case "server_port":
                    return Integer.toString(request.port);
                case "remote_addr":
                case "proxy_add_x_forwarded_for":
                    return "127.0.0.1";
                default:
                    if (groups != null) {
                        return groups.group(name);
                    }
                    throw new AssertionError("the variable $" + name + " is not in the model");
            }
        }

        private String mapValue(ConfigNode map) {
            String v = expand(map.arg(0));
            String defaultValue = "";
            for (ConfigNode e : map.block) {
                if (e.name.equalsIgnoreCase(v) && !e.name.startsWith("~") && !e.name.equals("default")) {
                    return expand(e.arg(0));
                }
                defaultValue = e.name.equals("default") ? e.arg(0) : defaultValue;
            }
            for (ConfigNode e : map.block) {
                boolean ignoreCase = e.name.startsWith("~*");
                if (e.name.startsWith("~")
                        && Pattern.compile(
                                        e.name.substring(ignoreCase ? 2 : 1), ignoreCase ? Pattern.CASE_INSENSITIVE : 0)
                                .matcher(v)
                                .find()) {
                    return expand(e.arg(0));
                }
            }
            return expand(defaultValue);
        }

        /** Selects by MurmurHash2, as documented for split_clients. */
        private String splitClientsValue(ConfigNode n) {
            long hash = murmurHash2(expand(n.arg(0)).getBytes(StandardCharsets.UTF_8));
            double sum = 0;
            for (ConfigNode e : n.block) {
                if (e.name.equals("*")) {
                    return e.arg(0);
                }
                sum += Double.parseDouble(e.name.replace("%", ""));
                if (hash < (long) (sum / 100 * 0xffffffffL)) {
                    return e.arg(0);
                }
            }
            return "";
        }
    }

    private static long murmurHash2(byte[] d) {
        long mask = 0xffffffffL;
        long m = 0x5bd1e995L;
        long h = d.length;
        int i = 0;
        while (d.length - i >= 4) {
            long k = (d[i] & 0xffL) | (d[i + 1] & 0xffL) << 8 | (d[i + 2] & 0xffL) << 16 | (d[i + 3] & 0xffL) << 24;
            k = k * m & mask;
            k ^= k >> 24;
            k = k * m & mask;
            h = (h * m & mask) ^ k;
            i += 4;
        }
        int remaining = d.length - i;
        if (remaining == 3) {
            h ^= (d[i + 2] & 0xffL) << 16;
        }
        if (remaining >= 2) {
            h ^= (d[i + 1] & 0xffL) << 8;
        }
        if (remaining >= 1) {
            h = (h ^ (d[i] & 0xffL)) * m & mask;
        }
        h ^= h >> 13;
        h = h * m & mask;
        return h ^ h >> 15;
    }

    private static String normalizePath(String raw) {
        String p = URLDecoder.decode(raw.replace("+", "%2B"), StandardCharsets.UTF_8)
                .replaceAll("/+", "/");
        String previous = "";
        while (!previous.equals(p)) {
            previous = p;
            p = p.replaceAll("/\\./", "/").replaceFirst("/[^/]+/\\.\\.(/|$)", "/");
        }
        return p;
    }

    Outcome evaluate(Request request) {
        Evaluation evaluation = new Evaluation(request);
        ConfigNode server = selectServer(request);
        Outcome serverOutcome = runRewriteDirectives(server, evaluation);
        if (serverOutcome != null) {
            return serverOutcome;
        }
        List<ConfigNode> enclosing = new ArrayList<>();
        Object found = findLocation(server.block, evaluation, enclosing);
        if (found instanceof Outcome redirect) {
            return redirect;
        }
        if (found == null) {
            return new Outcome(404, null, null, null, null);
        }
        ConfigNode location = (ConfigNode) found;
        String originalPath = evaluation.path;
        Outcome locationOutcome = runRewriteDirectives(location, evaluation);
        if (locationOutcome != null) {
            return locationOutcome;
        }
        List<ConfigNode> scopes = new ArrayList<>(List.of(location));
        for (int i = enclosing.size() - 1; i >= 0; i--) {
            scopes.add(enclosing.get(i));
        }
        scopes.add(server);
        scopes.add(new ConfigNode("http", List.of(), http));
        return proxyPass(location, scopes, evaluation, !originalPath.equals(evaluation.path));
    }

    /** Runs set, rewrite and return in order; returns null if none of them responds. */
    private Outcome runRewriteDirectives(ConfigNode block, Evaluation evaluation) {
        for (ConfigNode n : block.block) {
            if (n.name.equals("set")) {
                evaluation.variables.put(n.arg(0).substring(1), evaluation.expand(n.arg(1)));
            } else if (n.name.equals("return")) {
                boolean hasStatus = n.arg(0).matches("\\d{3}");
                int status = hasStatus ? Integer.parseInt(n.arg(0)) : 302;
                boolean isRedirect =
                        !hasStatus || List.of(301, 302, 303, 307, 308).contains(status);
                return new Outcome(
                        status,
                        isRedirect ? absoluteUrl(evaluation.expand(n.arg(hasStatus ? 1 : 0)), evaluation) : null,
                        null,
                        null,
                        null);
            } else if (n.name.equals("rewrite") && evaluation.find(n.arg(0), false, evaluation.path)) {
                String replacement = evaluation.expand(n.arg(1));
                if (n.arg(2).equals("permanent") || n.arg(2).equals("redirect")) {
                    return new Outcome(
                            n.arg(2).equals("permanent") ? 301 : 302,
                            absoluteUrl(
                                    replacement + (evaluation.args.isEmpty() ? "" : "?" + evaluation.args), evaluation),
                            null,
                            null,
                            null);
                }
                evaluation.path = replacement;
                return null; // as for the flag break
            }
        }
        return null;
    }

    private static String absoluteUrl(String location, Evaluation evaluation) {
        return location.startsWith("/") ? "http://" + evaluation.request.host + location : location;
    }

    /**
     * Returns the location, or the redirect Outcome if the path lacks the final slash of a location; null if there
     * is neither.
     */
    private Object findLocation(List<ConfigNode> block, Evaluation evaluation, List<ConfigNode> enclosing) {
        ConfigNode longestPrefix = null;
        int longestLength = -1;
        boolean textEqualsPath = false;
        ConfigNode slashLocation = null;
        for (ConfigNode n : block) {
            if (!n.name.equals("location")) {
                continue;
            }
            String kind = n.args.size() > 1 ? n.arg(0) : "";
            String text = n.arg(n.args.size() - 1);
            if (kind.startsWith("~")) {
                continue;
            }
            textEqualsPath |= text.equals(evaluation.path);
            // The redirect applies to locations by prefix and to exact ones, not to regular expressions.
            if (text.equals(evaluation.path + "/") && !n.children("proxy_pass").isEmpty()) {
                slashLocation = n;
            }
            if (kind.equals("=")) {
                if (text.equals(evaluation.path)) {
                    evaluation.searchEnded = true;
                    return n;
                }
                continue;
            }
            if (evaluation.path.startsWith(text) && text.length() > longestLength) {
                longestPrefix = n;
                longestLength = text.length();
            }
        }
        if (slashLocation != null && !textEqualsPath) {
            evaluation.searchEnded = true;
            return new Outcome(
                    301,
                    "http://" + evaluation.request.host + evaluation.path + "/"
                            + (evaluation.args.isEmpty() ? "" : "?" + evaluation.args),
                    null,
                    null,
                    null);
        }
        Object found = longestPrefix;
        if (longestPrefix != null) {
            enclosing.add(longestPrefix);
            Object nested = findLocation(longestPrefix.block, evaluation, enclosing);
            if (nested != null) {
                if (evaluation.searchEnded) {
                    return nested;
                }
                found = nested;
            } else {
                enclosing.remove(longestPrefix);
            }
            if (longestPrefix.arg(0).equals("^~")) {
                return found;
            }
        }
        for (ConfigNode n : block) {
            if (n.name.equals("location")
                    && n.arg(0).startsWith("~")
                    && evaluation.find(n.arg(1), n.arg(0).equals("~*"), evaluation.path)) {
                enclosing.clear();
                enclosing.add(n);
                Object nested = findLocation(n.block, evaluation, enclosing);
                enclosing.remove(n);
                evaluation.searchEnded = true;
                return nested == null ? n : nested;
            }
        }
        return found;
    }

    private Outcome proxyPass(ConfigNode location, List<ConfigNode> scopes, Evaluation evaluation, boolean rewritten) {
        String argument = location.children("proxy_pass").get(0).arg(0);
        Matcher url = Pattern.compile("http://([^/]+)(.*)").matcher(evaluation.expand(argument));
        if (!url.matches()) {
            throw new AssertionError(argument);
        }
        String upstream = url.group(1);
        String uriPart = url.group(2);
        String kind = location.args.size() > 1 ? location.arg(0) : "";
        String query = evaluation.args.isEmpty() ? "" : "?" + evaluation.args;
        String uri;
        if (rewritten) {
            uri = escapePath(evaluation.path) + query;
        } else if (uriPart.isEmpty()) {
            uri = evaluation.request.uri;
        } else if (argument.contains("$")) {
            uri = uriPart.equals(evaluation.request.uri)
                    ? uriPart
                    : escapePath(uriPart.replaceFirst("\\?.*", "")) + query;
        } else {
            String text = location.arg(location.args.size() - 1);
            uri = escapePath(uriPart + evaluation.path.substring(kind.startsWith("~") ? 0 : text.length())) + query;
        }
        String host = upstream;
        for (ConfigNode scope : scopes) {
            List<ConfigNode> headers = scope.children("proxy_set_header");
            if (!headers.isEmpty()) {
                for (ConfigNode h : headers) {
                    host = h.arg(0).equals("Host") ? evaluation.expand(h.arg(1)) : host;
                }
                break;
            }
        }
        return new Outcome(200, null, upstream, uri, host);
    }

    private static String escapePath(String path) {
        StringBuilder s = new StringBuilder();
        for (byte b : path.getBytes(StandardCharsets.UTF_8)) {
            s.append(
                    b > ' ' && b < 127 && "%?#\"<>\\^`{|}".indexOf(b) < 0
                            ? String.valueOf((char) b)
                            : String.format("%%%02X", b & 255));
        }
        return s.toString();
    }

    // ---- selection of the upstream server ----

    /** Returns the server for the next request to an upstream; null if none is available. */
    UpstreamServer selectUpstreamServer(String upstream, double nowS) {
        List<UpstreamServer> servers = upstreams.get(upstream);
        UpstreamServer best = selectUpstreamServer(servers, false, nowS);
        return best == null ? selectUpstreamServer(servers, true, nowS) : best;
    }

    private static UpstreamServer selectUpstreamServer(List<UpstreamServer> servers, boolean backup, double nowS) {
        UpstreamServer best = null;
        int total = 0;
        for (UpstreamServer server : servers) {
            if (server.backup == backup && !server.isUnavailable(nowS)) {
                server.currentWeight += server.weight;
                total += server.weight;
                best = best == null || server.currentWeight > best.currentWeight ? server : best;
            }
        }
        if (best != null) {
            best.currentWeight -= total;
            if (nowS - best.lastCheckedS > best.failTimeoutS) {
                best.lastCheckedS = nowS;
            }
        }
        return best;
    }

    /** Counts a failed request; the count restarts when the fail timeout has passed. */
    static void recordFailure(UpstreamServer server, double nowS) {
        server.failures = nowS - server.lastCheckedS > server.failTimeoutS ? 1 : server.failures + 1;
        server.lastCheckedS = nowS;
    }

    static void recordSuccess(UpstreamServer server) {
        server.failures = 0;
    }
}
