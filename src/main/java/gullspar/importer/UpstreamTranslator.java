package gullspar.importer;

import gullspar.nginx.Directive;
import gullspar.nginx.Word;
import io.netty.util.NetUtil;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Translates upstream blocks to pools, and addresses in proxy_pass to pools of one server. */
final class UpstreamTranslator {
    private final TranslatedSite site;
    private final Report report;
    private final Map<String, String> hosts;
    /** Pool names by their lower-case form. */
    private final Map<String, String> poolNames = new HashMap<>();

    /** hosts: the addresses of host names, which are not resolved. */
    UpstreamTranslator(TranslatedSite site, Report report, Map<String, String> hosts) {
        this.site = site;
        this.report = report;
        this.hosts = hosts;
    }

    void translate(Directive upstream) {
        String name = upstream.argument(0).orElse("");
        TranslatedSite.Pool pool = new TranslatedSite.Pool(upstream.position().toString());
        site.pools.put(name, pool);
        poolNames.put(name.toLowerCase(Locale.ROOT), name);
        report.translated(upstream);
        for (Directive d : upstream.block()) {
            try {
                translateDirective(d, pool);
            } catch (UntranslatableException e) {
                report.notTranslatable(d, e.getMessage());
            }
        }
        if (pool.servers.isEmpty()) {
            report.notTranslatable(upstream, "no server of it could be translated");
        }
    }

    private void translateDirective(Directive d, TranslatedSite.Pool pool) throws UntranslatableException {
        switch (d.name().text()) {
            case "server" -> {
                pool.servers.add(parseServer(d));
                report.translated(d);
            }
            case "keepalive" -> {
                pool.maxIdle = NginxValues.parseInteger(d.argument(0).orElse(""));
                report.translated(d);
            }
            case "keepalive_timeout" -> {
                pool.idleTimeoutS = NginxValues.parseMillis(d.argument(0).orElse("")) / 1000.0;
                report.translated(d);
            }
            case "keepalive_requests", "keepalive_time" -> report.put(
                    d, Report.Verdict.NO_EFFECT, "connections to servers are closed only after their idle timeout");
            case "zone" -> report.put(
                    d, Report.Verdict.NO_EFFECT, "no shared memory is needed: the proxy is one process");
            case "least_conn", "random", "least_time" -> {
                pool.learntBalance = true;
                report.translated(
                        d,
                        "becomes balance = \"learnt\": the decision module selects servers by their "
                                + "open requests and their speed");
            }
            default -> {
                String reason = DirectiveTables.NOT_TRANSLATABLE.get(d.name().text());
                report.notTranslatable(d, reason == null ? "not known to this importer" : reason);
            }
        }
    }

    private TranslatedSite.Server parseServer(Directive d) throws UntranslatableException {
        String address = resolveAddress(d.argument(0).orElse(""), 80);
        int weight = 1;
        int maxFailures = 1;
        int maxConnections = 0;
        double failTimeoutS = 10;
        double slowStartS = 0;
        boolean backup = false;
        boolean down = false;
        for (Word w : d.arguments()
                .subList(Math.min(1, d.arguments().size()), d.arguments().size())) {
            String[] keyValue = w.text().split("=", 2);
            String value = keyValue.length > 1 ? keyValue[1] : "";
            switch (keyValue[0]) {
                case "weight" -> weight = NginxValues.parseInteger(value);
                case "max_fails" -> maxFailures = NginxValues.parseInteger(value);
                case "max_conns" -> maxConnections = NginxValues.parseInteger(value);
                case "fail_timeout" -> failTimeoutS = NginxValues.parseMillis(value) / 1000.0;
                case "slow_start" -> slowStartS = NginxValues.parseMillis(value) / 1000.0;
                case "backup" -> backup = true;
                case "down" -> down = true;
                default -> throw new UntranslatableException("the parameter '" + w.text() + "' of a server");
            }
        }
        if (weight == 0) {
            throw new UntranslatableException("a weight of 0");
        }
        return new TranslatedSite.Server(
                d.position().toString(),
                address,
                weight,
                backup,
                down,
                maxFailures,
                failTimeoutS,
                slowStartS,
                maxConnections);
    }

    /** Returns an IP address with a port. Throws if a host name has no given address. */
    String resolveAddress(String text, int defaultPort) throws UntranslatableException {
        if (text.startsWith("unix:")) {
            throw new UntranslatableException("a UNIX socket: servers are reached by TCP alone");
        }
        int bracket = text.lastIndexOf(']');
        int colon = text.indexOf(':', Math.max(0, bracket));
        String host = colon < 0 ? text : text.substring(0, colon);
        String port = colon < 0 ? Integer.toString(defaultPort) : text.substring(colon + 1);
        if (!port.matches("\\d{1,5}") || Integer.parseInt(port) > 65_535) {
            throw new UntranslatableException("'" + text + "' has no valid port");
        }
        String name = host.startsWith("[") ? host.substring(1, host.length() - 1) : host;
        String ip = name.equals("localhost") ? "127.0.0.1" : hosts.getOrDefault(name, name);
        if (NetUtil.createInetAddressFromIpAddressString(ip) == null) {
            throw new UntranslatableException("the address of '" + name + "' is not known: host names are not "
                    + "resolved; give it with --host " + name + "=ADDRESS");
        }
        return (ip.contains(":") ? "[" + ip + "]" : ip) + ":" + port;
    }

    /** Returns the pool of a proxy_pass by its URL's authority, and adds a pool if that is no upstream's name. */
    String poolName(String authority, Directive proxyPass) throws UntranslatableException {
        String existing = poolNames.get(authority.toLowerCase(Locale.ROOT));
        if (existing != null) {
            return existing;
        }
        String address = resolveAddress(authority, 80);
        if (!site.pools.containsKey(authority)) {
            TranslatedSite.Pool pool =
                    new TranslatedSite.Pool(proxyPass.position().toString());
            pool.servers.add(new TranslatedSite.Server(null, address, 1, false, false, 1, 10, 0, 0));
            site.pools.put(authority, pool);
        }
        return authority;
    }

    TranslatedSite.Pool pool(String name) {
        return site.pools.get(name);
    }
}
