package gullspar.importer;

import gullspar.nginx.Directive;
import gullspar.nginx.Word;
import io.netty.util.NetUtil;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Pools: those that an upstream declares, and those of one address that a proxy_pass names. */
final class Upstreams {
    private final Draft draft;
    private final Report report;
    private final Map<String, String> hosts;
    /** By the name in small letters, the name of the pool. */
    private final Map<String, String> names = new HashMap<>();

    /** hosts: the addresses of names, which nobody looks up. */
    Upstreams(Draft draft, Report report, Map<String, String> hosts) {
        this.draft = draft;
        this.report = report;
        this.hosts = hosts;
    }

    void declare(Directive upstream) {
        String name = upstream.argument(0).orElse("");
        Draft.Pool pool = new Draft.Pool(upstream.position().toString());
        draft.pools.put(name, pool);
        names.put(name.toLowerCase(Locale.ROOT), name);
        report.translated(upstream);
        for (Directive d : upstream.block()) {
            try {
                one(d, pool);
            } catch (Untranslatable e) {
                report.not(d, e.getMessage());
            }
        }
        if (pool.servers.isEmpty()) {
            report.not(upstream, "no server of it could be translated");
        }
    }

    private void one(Directive d, Draft.Pool pool) throws Untranslatable {
        switch (d.name().text()) {
            case "server" -> {
                pool.servers.add(server(d));
                report.translated(d);
            }
            case "keepalive" -> {
                pool.keepAlive = Units.whole(d.argument(0).orElse(""));
                report.translated(d);
            }
            case "keepalive_timeout" -> {
                pool.keepAliveS = Units.millis(d.argument(0).orElse("")) / 1000.0;
                report.translated(d);
            }
            case "keepalive_requests", "keepalive_time" -> report.put(
                    d, Report.Verdict.NO_EFFECT, "connections to servers end by idleness alone");
            case "zone" -> report.put(d, Report.Verdict.NO_EFFECT, "one process knows all there is to know");
            case "least_conn", "random", "least_time" -> {
                pool.learnt = true;
                report.translated(
                        d,
                        "becomes the module's own choice (balance = \"learnt\"): by what servers "
                                + "have in hand and how quick they are");
            }
            default -> {
                String why = Tables.NOT.get(d.name().text());
                report.not(d, why == null ? "not known to this importer" : why);
            }
        }
    }

    private Draft.Server server(Directive d) throws Untranslatable {
        String address = address(d.argument(0).orElse(""), 80);
        int weight = 1;
        int maxFailures = 1;
        int connections = 0;
        double failS = 10;
        double slowS = 0;
        boolean backup = false;
        boolean down = false;
        for (Word w : d.arguments()
                .subList(Math.min(1, d.arguments().size()), d.arguments().size())) {
            String[] p = w.text().split("=", 2);
            String v = p.length > 1 ? p[1] : "";
            switch (p[0]) {
                case "weight" -> weight = Units.whole(v);
                case "max_fails" -> maxFailures = Units.whole(v);
                case "max_conns" -> connections = Units.whole(v);
                case "fail_timeout" -> failS = Units.millis(v) / 1000.0;
                case "slow_start" -> slowS = Units.millis(v) / 1000.0;
                case "backup" -> backup = true;
                case "down" -> down = true;
                default -> throw new Untranslatable("the parameter '" + w.text() + "' of a server");
            }
        }
        if (weight == 0) {
            throw new Untranslatable("a weight of 0");
        }
        return new Draft.Server(
                d.position().toString(), address, weight, backup, down, maxFailures, failS, slowS, connections);
    }

    /** An IP address and a port; a name must be known. */
    String address(String text, int usualPort) throws Untranslatable {
        if (text.startsWith("unix:")) {
            throw new Untranslatable("a UNIX socket: servers are reached by TCP alone");
        }
        int bracket = text.lastIndexOf(']');
        int colon = text.indexOf(':', Math.max(0, bracket));
        String host = colon < 0 ? text : text.substring(0, colon);
        String port = colon < 0 ? Integer.toString(usualPort) : text.substring(colon + 1);
        if (!port.matches("\\d{1,5}") || Integer.parseInt(port) > 65_535) {
            throw new Untranslatable("'" + text + "' has no port that can be");
        }
        String plain = host.startsWith("[") ? host.substring(1, host.length() - 1) : host;
        String ip = plain.equals("localhost") ? "127.0.0.1" : hosts.getOrDefault(plain, plain);
        if (NetUtil.createInetAddressFromIpAddressString(ip) == null) {
            throw new Untranslatable("the address of '" + plain + "' is not known: nobody looks up names "
                    + "here; give it with --host " + plain + "=ADDRESS");
        }
        return (ip.contains(":") ? "[" + ip + "]" : ip) + ":" + port;
    }

    /** The pool that a proxy_pass leads to by what stands between // and the path. */
    String pool(String authority, Directive from) throws Untranslatable {
        String known = names.get(authority.toLowerCase(Locale.ROOT));
        if (known != null) {
            return known;
        }
        String address = address(authority, 80);
        if (!draft.pools.containsKey(authority)) {
            Draft.Pool pool = new Draft.Pool(from.position().toString());
            pool.servers.add(new Draft.Server(null, address, 1, false, false, 1, 10, 0, 0));
            draft.pools.put(authority, pool);
        }
        return authority;
    }

    Draft.Pool get(String name) {
        return draft.pools.get(name);
    }
}
