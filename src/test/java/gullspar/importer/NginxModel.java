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
 * What nginx does with a request, after its published documentation: which server, which location, what is
 * sent where, and which server of an upstream is taken. It shares nothing with the importer, its reader of
 * the files included.
 */
final class NginxModel {
    /** A directive. */
    static final class Node {
        final String name;
        final List<String> args;
        final List<Node> block;

        Node(String name, List<String> args, List<Node> block) {
            this.name = name;
            this.args = args;
            this.block = block;
        }

        String arg(int i) {
            return i < args.size() ? args.get(i) : "";
        }

        List<Node> all(String n) {
            return block.stream().filter(x -> x.name.equals(n)).toList();
        }
    }

    /** A request: port is that of the listener; uri as it came. */
    record Asked(String method, String host, int port, String uri, Map<String, String> headers) {}

    /** An answer of its own (upstream null), or what goes to an upstream. */
    record Done(int status, String location, String upstream, String uri, String host) {}

    /** A server of an upstream, and what the smooth weighted rotation keeps of it. */
    static final class Peer {
        final String address;
        final int weight;
        final int maxFails;
        final double failS;
        final boolean backup;
        final boolean down;
        int current;
        int fails;
        double checked = -1e9;

        Peer(Node server) {
            this.address = server.arg(0);
            Map<String, String> p = new HashMap<>();
            server.args.forEach(a -> p.put(a.split("=")[0], a.contains("=") ? a.split("=")[1] : ""));
            this.weight = Integer.parseInt(p.getOrDefault("weight", "1"));
            this.maxFails = Integer.parseInt(p.getOrDefault("max_fails", "1"));
            this.failS =
                    Double.parseDouble(p.getOrDefault("fail_timeout", "10s").replace("s", ""));
            this.backup = p.containsKey("backup");
            this.down = p.containsKey("down");
        }

        private boolean out(double now) {
            return down || maxFails > 0 && fails >= maxFails && now - checked <= failS;
        }
    }

    private final Path folder;
    private final List<Node> http = new ArrayList<>();
    final Map<String, List<Peer>> upstreams = new LinkedHashMap<>();
    private String text;
    private int at;

    NginxModel(Path main) throws IOException {
        this.folder = main.getParent();
        for (Node n : read(main)) {
            http.addAll(n.name.equals("http") ? n.block : List.of(n));
        }
        for (Node n : http) {
            if (n.name.equals("upstream")) {
                upstreams.put(n.arg(0), n.all("server").stream().map(Peer::new).toList());
            }
        }
    }

    // ---- reading ----

    private List<Node> read(Path file) throws IOException {
        String before = text;
        int was = at;
        text = Files.readString(file);
        at = 0;
        List<Node> nodes = block();
        text = before;
        at = was;
        return nodes;
    }

    private List<Node> block() throws IOException {
        List<Node> nodes = new ArrayList<>();
        List<String> words = new ArrayList<>();
        while (at < text.length()) {
            char c = text.charAt(at);
            if (c == '#') {
                at = text.indexOf('\n', at);
            } else if (Character.isWhitespace(c)) {
                at++;
            } else if (c == ';' || c == '{') {
                at++;
                Node n = new Node(
                        words.get(0), List.copyOf(words.subList(1, words.size())), c == '{' ? block() : List.of());
                words.clear();
                if (n.name.equals("include")) {
                    nodes.addAll(included(n.arg(0)));
                } else {
                    nodes.add(n);
                }
            } else if (c == '}') {
                at++;
                return nodes;
            } else {
                words.add(word());
            }
        }
        return nodes;
    }

    private List<Node> included(String name) throws IOException {
        List<Node> nodes = new ArrayList<>();
        if (!name.contains("*")) {
            return read(folder.resolve(name));
        }
        Path in = folder.resolve(name).getParent();
        try (Stream<Path> files = Files.list(in)) {
            for (Path f : files.sorted().toList()) {
                nodes.addAll(read(f));
            }
        }
        return nodes;
    }

    private String word() {
        StringBuilder w = new StringBuilder();
        char quote = text.charAt(at) == '"' || text.charAt(at) == '\'' ? text.charAt(at++) : 0;
        while (true) {
            char c = text.charAt(at);
            boolean variable = c == '{' && at > 0 && text.charAt(at - 1) == '$';
            if (quote != 0 ? c == quote : Character.isWhitespace(c) || c == ';' || c == '{' && !variable) {
                at += quote != 0 ? 1 : 0;
                return w.toString();
            }
            at++;
            if (c == '\\' && "nrt\"'\\".indexOf(text.charAt(at)) >= 0) {
                w.append("\n\r\t\"'\\".charAt("nrt\"'\\".indexOf(text.charAt(at++))));
            } else {
                w.append(c);
            }
        }
    }

    // ---- servers ----

    /** The ports that anybody listens at. */
    List<Integer> ports() {
        return servers().stream()
                .flatMap(s -> ports(s).stream())
                .distinct()
                .sorted()
                .toList();
    }

    List<Node> servers() {
        return http.stream().filter(n -> n.name.equals("server")).toList();
    }

    private static List<Integer> ports(Node server) {
        List<Integer> ports = server.all("listen").stream()
                .map(l -> Integer.parseInt(l.arg(0).replaceAll("^.*[:\\]]", "")))
                .distinct()
                .toList();
        return ports.isEmpty() ? List.of(80) : ports;
    }

    static List<String> names(Node server) {
        return server.all("server_name").stream().flatMap(n -> n.args.stream()).toList();
    }

    private Node server(Asked r) {
        String host = r.host.replaceFirst(":\\d+$", "").toLowerCase(Locale.ROOT);
        List<Node> here =
                servers().stream().filter(s -> ports(s).contains(r.port)).toList();
        Map<Integer, Node> best = new TreeMap<>(); // the least rank wins
        for (Node s : here) {
            for (String name : names(s)) {
                int rank = rank(name, host);
                if (rank < Integer.MAX_VALUE) {
                    best.putIfAbsent(rank, s);
                }
            }
        }
        if (!best.isEmpty()) {
            return best.values().iterator().next();
        }
        return here.stream()
                .filter(s -> s.all("listen").stream().anyMatch(l -> l.args.contains("default_server")))
                .findFirst()
                .orElse(here.get(0));
    }

    /** Exact, then the longest wildcard in front, the longest at the end, the first regular expression. */
    private static int rank(String name, String host) {
        String n = name.toLowerCase(Locale.ROOT);
        if (n.startsWith("~")) {
            return Pattern.compile(name.substring(1), Pattern.CASE_INSENSITIVE)
                            .matcher(host)
                            .find()
                    ? 3_000_000
                    : Integer.MAX_VALUE;
        }
        if (n.equals(host) || n.startsWith(".") && host.equals(n.substring(1))) {
            return 0;
        }
        if (n.startsWith("*.") && host.endsWith(n.substring(1)) || n.startsWith(".") && host.endsWith(n)) {
            return 1_000_000 - n.replace("*", "").length();
        }
        return n.endsWith(".*") && host.startsWith(n.substring(0, n.length() - 1))
                ? 2_000_000 - n.length()
                : Integer.MAX_VALUE;
    }

    // ---- what becomes of a request ----

    /** The groups and variables as they are while one is looked at. */
    private final class Run {
        final Asked r;
        final Map<String, String> set = new HashMap<>();
        String path;
        String args;
        Matcher groups;
        /** An exact location or a regular expression, however deep, was found: the search is over. */
        boolean ended;

        Run(Asked r) {
            this.r = r;
            int q = r.uri.indexOf('?');
            this.args = q < 0 ? "" : r.uri.substring(q + 1);
            this.path = normal(q < 0 ? r.uri : r.uri.substring(0, q));
        }

        boolean find(String regex, boolean anyCase, String in) {
            Matcher m = Pattern.compile(regex, anyCase ? Pattern.CASE_INSENSITIVE : 0)
                    .matcher(in);
            boolean found = m.find();
            groups = found ? m : groups;
            return found;
        }

        String fill(String template) {
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
            if (set.containsKey(name)) {
                return set.get(name);
            }
            for (Node n : http) {
                if (n.name.equals("map") && n.arg(1).equals("$" + name)) {
                    return mapped(n);
                }
                if (n.name.equals("split_clients") && n.arg(1).equals("$" + name)) {
                    return split(n);
                }
            }
            if (name.startsWith("http_")) {
                return name.equals("http_host") ? r.host : r.headers.getOrDefault(name.substring(5), "");
            }
            if (name.startsWith("cookie_")) {
                return Stream.of(r.headers.getOrDefault("cookie", "").split(";"))
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
                    return r.host.replaceFirst(":\\d+$", "").toLowerCase(Locale.ROOT);
                case "uri":
                    return path;
                case "request_uri":
                    return r.uri;
                case "args":
                    return args;
                case "is_args":
                    return args.isEmpty() ? "" : "?";
                case "scheme":
                    return "http";
                case "request_method":
                    return r.method;
                case "server_port":
                    return Integer.toString(r.port);
                case "remote_addr":
                case "proxy_add_x_forwarded_for":
                    return "127.0.0.1";
                default:
                    if (groups != null) {
                        return groups.group(name);
                    }
                    throw new AssertionError("what is $" + name + "?");
            }
        }

        private String mapped(Node map) {
            String v = fill(map.arg(0));
            String otherwise = "";
            for (Node e : map.block) {
                if (e.name.equalsIgnoreCase(v) && !e.name.startsWith("~") && !e.name.equals("default")) {
                    return fill(e.arg(0));
                }
                otherwise = e.name.equals("default") ? e.arg(0) : otherwise;
            }
            for (Node e : map.block) {
                boolean anyCase = e.name.startsWith("~*");
                if (e.name.startsWith("~")
                        && Pattern.compile(e.name.substring(anyCase ? 2 : 1), anyCase ? Pattern.CASE_INSENSITIVE : 0)
                                .matcher(v)
                                .find()) {
                    return fill(e.arg(0));
                }
            }
            return fill(otherwise);
        }

        /** By MurmurHash2, as the documentation of split_clients says. */
        private String split(Node n) {
            long hash = murmur(fill(n.arg(0)).getBytes(StandardCharsets.UTF_8));
            double sum = 0;
            for (Node e : n.block) {
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

    private static long murmur(byte[] d) {
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
        int left = d.length - i;
        if (left == 3) {
            h ^= (d[i + 2] & 0xffL) << 16;
        }
        if (left >= 2) {
            h ^= (d[i + 1] & 0xffL) << 8;
        }
        if (left >= 1) {
            h = (h ^ (d[i] & 0xffL)) * m & mask;
        }
        h ^= h >> 13;
        h = h * m & mask;
        return h ^ h >> 15;
    }

    private static String normal(String raw) {
        String p = URLDecoder.decode(raw.replace("+", "%2B"), StandardCharsets.UTF_8)
                .replaceAll("/+", "/");
        String before = "";
        while (!before.equals(p)) {
            before = p;
            p = p.replaceAll("/\\./", "/").replaceFirst("/[^/]+/\\.\\.(/|$)", "/");
        }
        return p;
    }

    /** What becomes of a request. */
    Done done(Asked asked) {
        Run run = new Run(asked);
        Node server = server(asked);
        Done first = steps(server, run);
        if (first != null) {
            return first;
        }
        List<Node> way = new ArrayList<>();
        Object found = locate(server.block, run, way);
        if (found instanceof Done d) {
            return d;
        }
        if (found == null) {
            return new Done(404, null, null, null, null);
        }
        Node location = (Node) found;
        String came = run.path;
        Done own = steps(location, run);
        if (own != null) {
            return own;
        }
        List<Node> scopes = new ArrayList<>(List.of(location));
        for (int i = way.size() - 1; i >= 0; i--) {
            scopes.add(way.get(i));
        }
        scopes.add(server);
        scopes.add(new Node("http", List.of(), http));
        return pass(location, scopes, run, !came.equals(run.path));
    }

    /** Sets, rewrites and returns, in their order; null if none of them answers. */
    private Done steps(Node block, Run run) {
        for (Node n : block.block) {
            if (n.name.equals("set")) {
                run.set.put(n.arg(0).substring(1), run.fill(n.arg(1)));
            } else if (n.name.equals("return")) {
                boolean code = n.arg(0).matches("\\d{3}");
                int status = code ? Integer.parseInt(n.arg(0)) : 302;
                boolean goes = !code || List.of(301, 302, 303, 307, 308).contains(status);
                return new Done(status, goes ? full(run.fill(n.arg(code ? 1 : 0)), run) : null, null, null, null);
            } else if (n.name.equals("rewrite") && run.find(n.arg(0), false, run.path)) {
                String to = run.fill(n.arg(1));
                if (n.arg(2).equals("permanent") || n.arg(2).equals("redirect")) {
                    return new Done(
                            n.arg(2).equals("permanent") ? 301 : 302,
                            full(to + (run.args.isEmpty() ? "" : "?" + run.args), run),
                            null,
                            null,
                            null);
                }
                run.path = to;
                return null; // break
            }
        }
        return null;
    }

    private static String full(String location, Run run) {
        return location.startsWith("/") ? "http://" + run.r.host + location : location;
    }

    /** A location, or the redirect to one that a slash is missing for; null if there is none. */
    private Object locate(List<Node> block, Run run, List<Node> way) {
        Node best = null;
        int longest = -1;
        boolean plain = false;
        Node slash = null;
        for (Node n : block) {
            if (!n.name.equals("location")) {
                continue;
            }
            String kind = n.args.size() > 1 ? n.arg(0) : "";
            String text = n.arg(n.args.size() - 1);
            if (kind.startsWith("~")) {
                continue;
            }
            plain |= text.equals(run.path);
            // Of all that are defined by a prefix string, also with =, not by a regular expression.
            if (text.equals(run.path + "/") && !n.all("proxy_pass").isEmpty()) {
                slash = n;
            }
            if (kind.equals("=")) {
                if (text.equals(run.path)) {
                    run.ended = true;
                    return n;
                }
                continue;
            }
            if (run.path.startsWith(text) && text.length() > longest) {
                best = n;
                longest = text.length();
            }
        }
        if (slash != null && !plain) {
            run.ended = true;
            return new Done(
                    301,
                    "http://" + run.r.host + run.path + "/" + (run.args.isEmpty() ? "" : "?" + run.args),
                    null,
                    null,
                    null);
        }
        Object found = best;
        if (best != null) {
            way.add(best);
            Object below = locate(best.block, run, way);
            if (below != null) {
                if (run.ended) {
                    return below;
                }
                found = below;
            } else {
                way.remove(best);
            }
            if (best.arg(0).equals("^~")) {
                return found;
            }
        }
        for (Node n : block) {
            if (n.name.equals("location")
                    && n.arg(0).startsWith("~")
                    && run.find(n.arg(1), n.arg(0).equals("~*"), run.path)) {
                way.clear();
                way.add(n);
                Object below = locate(n.block, run, way);
                way.remove(n);
                run.ended = true;
                return below == null ? n : below;
            }
        }
        return found;
    }

    private Done pass(Node location, List<Node> scopes, Run run, boolean rewritten) {
        String written = location.all("proxy_pass").get(0).arg(0);
        Matcher url = Pattern.compile("http://([^/]+)(.*)").matcher(run.fill(written));
        if (!url.matches()) {
            throw new AssertionError(written);
        }
        String upstream = url.group(1);
        String to = url.group(2);
        String kind = location.args.size() > 1 ? location.arg(0) : "";
        String query = run.args.isEmpty() ? "" : "?" + run.args;
        String uri;
        if (rewritten) {
            uri = escaped(run.path) + query;
        } else if (to.isEmpty()) {
            uri = run.r.uri;
        } else if (written.contains("$")) {
            uri = to.equals(run.r.uri) ? to : escaped(to.replaceFirst("\\?.*", "")) + query;
        } else {
            String text = location.arg(location.args.size() - 1);
            uri = escaped(to + run.path.substring(kind.startsWith("~") ? 0 : text.length())) + query;
        }
        String host = upstream;
        for (Node scope : scopes) {
            List<Node> headers = scope.all("proxy_set_header");
            if (!headers.isEmpty()) {
                for (Node h : headers) {
                    host = h.arg(0).equals("Host") ? run.fill(h.arg(1)) : host;
                }
                break;
            }
        }
        return new Done(200, null, upstream, uri, host);
    }

    private static String escaped(String path) {
        StringBuilder s = new StringBuilder();
        for (byte b : path.getBytes(StandardCharsets.UTF_8)) {
            s.append(
                    b > ' ' && b < 127 && "%?#\"<>\\^`{|}".indexOf(b) < 0
                            ? String.valueOf((char) b)
                            : String.format("%%%02X", b & 255));
        }
        return s.toString();
    }

    // ---- the rotation ----

    /** The peer of an upstream that the next request goes to, at a time in seconds; null if there is none. */
    Peer pick(String upstream, double now) {
        List<Peer> all = upstreams.get(upstream);
        Peer best = pick(all, false, now);
        return best == null ? pick(all, true, now) : best;
    }

    private static Peer pick(List<Peer> all, boolean backup, double now) {
        Peer best = null;
        int total = 0;
        for (Peer p : all) {
            if (p.backup == backup && !p.out(now)) {
                p.current += p.weight;
                total += p.weight;
                best = best == null || p.current > best.current ? p : best;
            }
        }
        if (best != null) {
            best.current -= total;
            if (now - best.checked > best.failS) {
                best.checked = now;
            }
        }
        return best;
    }

    /** A request to a peer failed. */
    static void failed(Peer p, double now) {
        p.fails = now - p.checked > p.failS ? 1 : p.fails + 1;
        p.checked = now;
    }

    /** A request to a peer was answered. */
    static void answered(Peer p) {
        p.fails = 0;
    }
}
