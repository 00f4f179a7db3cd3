package gullspar.importer;

import gullspar.importer.Draft.Route;
import gullspar.nginx.Directive;
import gullspar.nginx.Word;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Virtual hosts: where each listens, under which names, and what it does before its places are looked at. */
final class Servers {
    private static final Set<String> OF_SOCKETS = Set.of("reuseport", "deferred", "bind", "fastopen", "setfib");

    private final Draft draft;
    private final Report report;
    private final Upstreams upstreams;
    private final Locations locations;
    private final Set<String> taken = new HashSet<>();
    /** By listener, the first host there; it is the default unless another says that it is. */
    private final Map<String, Draft.Host> firsts = new LinkedHashMap<>();

    private final Set<String> declaredDefault = new HashSet<>();

    Servers(Draft draft, Report report, Upstreams upstreams, Locations locations) {
        this.draft = draft;
        this.report = report;
        this.upstreams = upstreams;
        this.locations = locations;
    }

    void declare(Directive server, Scope http) {
        Scope scope = new Scope(http, server.block());
        Draft.Host host = new Draft.Host(server.position().toString());
        report.translated(server);
        listen(server, scope, host);
        if (host.listeners.isEmpty()) {
            report.all(server, Report.Verdict.NOT_TRANSLATABLE, "its server listens nowhere that is translated");
            return;
        }
        String name = names(scope, host);
        draft.hosts.add(host);
        Known known = locations.server(scope, new Known().with("server_name", name));
        first(server, scope, known, host);
        if (server.block().stream().noneMatch(d -> d.is("return"))) {
            host.routes.addAll(locations.places(server.block(), scope, known));
        }
        if (host.first.stream().anyMatch(r -> r.when.isEmpty())
                || host.routes.stream().anyMatch(r -> r.path.equals("/") && r.match.equals("prefix"))) {
            for (String files : List.of("root", "index")) {
                scope.own(files)
                        .forEach(d -> report.put(d, Report.Verdict.NO_EFFECT, "every path is passed on or answered"));
            }
        }
        if (host.first.isEmpty() && host.routes.isEmpty()) {
            report.not(server, "nothing of it is passed on or answered");
        }
    }

    /** Those that no host says to be the default of get the first host that listens there. */
    void finish() {
        firsts.forEach((listener, host) -> {
            if (declaredDefault.add(listener)) {
                host.defaultAt.add(listener);
            }
        });
    }

    // ---- listen ----

    private void listen(Directive server, Scope scope, Draft.Host host) {
        List<Directive> all = scope.own("listen");
        if (all.isEmpty()) {
            at("0.0.0.0:80", host, false, server.position().toString());
        }
        for (Directive d : all) {
            try {
                listen(d, host);
            } catch (Untranslatable e) {
                report.not(d, e.getMessage());
            }
        }
    }

    private void listen(Directive d, Draft.Host host) throws Untranslatable {
        boolean isDefault = false;
        List<String> dropped = new ArrayList<>();
        for (Word w : d.arguments()
                .subList(Math.min(1, d.arguments().size()), d.arguments().size())) {
            String p = w.text();
            if (p.equals("ssl") || p.equals("quic") || p.equals("spdy")) {
                throw new Untranslatable("clients are not encrypted here: put something that ends TLS before " + "it");
            } else if (p.equals("http2")) {
                throw new Untranslatable("HTTP/2 is not spoken here: put something that speaks it before it");
            } else if (p.equals("proxy_protocol")) {
                throw new Untranslatable("the PROXY protocol is not spoken here");
            } else if (p.equals("default_server") || p.equals("default")) {
                isDefault = true;
            } else if (OF_SOCKETS.contains(p) || p.contains("=")) {
                dropped.add(p);
            } else {
                throw new Untranslatable("the parameter '" + p + "' of listen");
            }
        }
        String address = address(d.argument(0).orElse(""));
        boolean fresh = at(address, host, isDefault, d.position().toString());
        if (!fresh) {
            report.put(d, Report.Verdict.NO_EFFECT, "0.0.0.0 hears IPv6 as well");
        } else {
            report.translated(
                    d, dropped.isEmpty() ? "" : "without " + String.join(", ", dropped) + ", which the system decides");
        }
    }

    private String address(String text) throws Untranslatable {
        String t =
                text.matches("\\d+") ? "0.0.0.0:" + text : text.startsWith("*:") ? "0.0.0.0" + text.substring(1) : text;
        t = t.startsWith("[::]") ? "0.0.0.0" + t.substring(4) : t;
        String address = upstreams.address(t, 80);
        String port = address.substring(address.lastIndexOf(':'));
        boolean all = address.startsWith("0.0.0.0:");
        for (String other : draft.listeners.keySet()) {
            if (other.endsWith(port) && !other.equals(address) && (all || other.startsWith("0.0.0.0:"))) {
                throw new Untranslatable("one address and all addresses with one port: name the addresses");
            }
        }
        return address;
    }

    /** False if the host listens there already. */
    private boolean at(String listener, Draft.Host host, boolean isDefault, String comment) {
        draft.listeners.putIfAbsent(listener, comment);
        boolean fresh = host.listeners.add(listener);
        firsts.putIfAbsent(listener, host);
        if (isDefault && declaredDefault.add(listener)) {
            host.defaultAt.add(listener);
        }
        return fresh;
    }

    // ---- server_name ----

    /** Returns the first name, which $server_name stands for. */
    private String names(Scope scope, Draft.Host host) {
        String first = "";
        for (Directive d : scope.own("server_name")) {
            List<String> late = new ArrayList<>();
            try {
                for (Word w : d.arguments()) {
                    String name = name(w.text());
                    if (name.isEmpty()) {
                        continue;
                    }
                    first = first.isEmpty() ? name : first;
                    boolean fresh = true;
                    for (String l : host.listeners) {
                        fresh &= taken.add(l + " " + name.toLowerCase());
                    }
                    if (fresh) {
                        host.names.add(name);
                    } else {
                        late.add(name);
                    }
                }
                report.translated(
                        d,
                        late.isEmpty() ? "" : "without " + String.join(", ", late) + ", which an earlier server has");
            } catch (Untranslatable e) {
                report.not(d, e.getMessage());
            }
        }
        if (host.names.isEmpty()) {
            // Nothing leads to it but where it is the default.
            host.names.add("nameless-" + draft.hosts.size() + ".invalid");
        }
        return first;
    }

    private static String name(String text) throws Untranslatable {
        if (text.contains("$") && !text.startsWith("~")) {
            throw new Untranslatable("'" + text + "': the name of this machine is not known here");
        }
        if (text.startsWith("~")) {
            if (text.contains("(?<") || text.contains("(?P<")) {
                throw new Untranslatable("a name that is caught in server_name; list the hosts, or use " + "${host}");
            }
            return "~(?i)" + Known.regex(text.substring(1));
        }
        return text;
    }

    // ---- what a server does before its places are looked at ----

    private void first(Directive server, Scope scope, Known known, Draft.Host host) {
        Directive answer = null;
        for (Directive d : server.block()) {
            if (answer != null && (d.is("location") || d.is("rewrite") || d.is("return"))) {
                report.all(d, Report.Verdict.NO_EFFECT, "the return of its server answers first");
            } else if (d.is("return") || d.is("rewrite")) {
                Route r = new Route();
                r.comment = d.position().toString();
                r.name = d.name().text() + " " + d.argument(0).orElse("");
                try {
                    if (d.is("return")) {
                        answer = d;
                        locations.answer(d, scope, known, r);
                        report.translated(d);
                    } else if (Locations.redirects(d)) {
                        locations.redirect(d, scope, known, r);
                    } else {
                        throw new Untranslatable("a rewrite of a server that sends nobody elsewhere; rewrite "
                                + "in the location that passes on");
                    }
                    host.first.add(r);
                } catch (Untranslatable e) {
                    report.not(d, e.getMessage());
                }
            }
        }
        if (answer != null) {
            for (Directive d : scope.own("location")) {
                report.all(d, Report.Verdict.NO_EFFECT, "the return of its server answers first");
            }
        }
    }
}
