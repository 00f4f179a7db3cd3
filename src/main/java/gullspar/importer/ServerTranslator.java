package gullspar.importer;

import gullspar.importer.TranslatedSite.Route;
import gullspar.nginx.Directive;
import gullspar.nginx.Word;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Translates server blocks to virtual hosts: their listeners, their names, and the routes that apply before a
 * location is searched.
 */
final class ServerTranslator {
    private static final Set<String> SOCKET_OPTIONS = Set.of("reuseport", "deferred", "bind", "fastopen", "setfib");

    private final TranslatedSite site;
    private final Report report;
    private final UpstreamTranslator upstreamTranslator;
    private final LocationTranslator locationTranslator;
    private final Set<String> usedNames = new HashSet<>();
    /** The first host of each listener: its default unless another one is declared as such. */
    private final Map<String, TranslatedSite.Host> firstHosts = new LinkedHashMap<>();

    private final Set<String> listenersWithDefault = new HashSet<>();

    ServerTranslator(
            TranslatedSite site,
            Report report,
            UpstreamTranslator upstreamTranslator,
            LocationTranslator locationTranslator) {
        this.site = site;
        this.report = report;
        this.upstreamTranslator = upstreamTranslator;
        this.locationTranslator = locationTranslator;
    }

    void translate(Directive server, Scope http) {
        Scope scope = new Scope(http, server.block());
        TranslatedSite.Host host = new TranslatedSite.Host(server.position().toString());
        report.translated(server);
        translateListen(server, scope, host);
        if (host.listeners.isEmpty()) {
            report.putAll(server, Report.Verdict.NOT_TRANSLATABLE, "no listen of its server could be translated");
            return;
        }
        String firstName = translateServerNames(scope, host);
        site.hosts.add(host);
        VariableTemplates variables =
                locationTranslator.serverVariables(scope, new VariableTemplates().define("server_name", firstName));
        translatePriorityRoutes(server, scope, variables, host);
        if (server.block().stream().noneMatch(d -> d.is("return"))) {
            host.routes.addAll(locationTranslator.translateLocations(server.block(), scope, variables));
        }
        if (host.priorityRoutes.stream().anyMatch(r -> r.conditions.isEmpty())
                || host.routes.stream().anyMatch(r -> r.path.equals("/") && r.match.equals("prefix"))) {
            for (String files : List.of("root", "index")) {
                scope.own(files)
                        .forEach(d -> report.put(d, Report.Verdict.NO_EFFECT, "every path is passed on or answered"));
            }
        }
        if (host.priorityRoutes.isEmpty() && host.routes.isEmpty()) {
            report.notTranslatable(server, "it has no location, return or redirect that could be translated");
        }
    }

    /** Makes the first host of a listener its default unless one is declared. */
    void setImplicitDefaults() {
        firstHosts.forEach((listener, host) -> {
            if (listenersWithDefault.add(listener)) {
                host.defaultListeners.add(listener);
            }
        });
    }

    // ---- listen ----

    private void translateListen(Directive server, Scope scope, TranslatedSite.Host host) {
        List<Directive> all = scope.own("listen");
        if (all.isEmpty()) {
            addListener("0.0.0.0:80", host, false, server.position().toString());
        }
        for (Directive d : all) {
            try {
                translateListen(d, host);
            } catch (UntranslatableException e) {
                report.notTranslatable(d, e.getMessage());
            }
        }
    }

    private void translateListen(Directive d, TranslatedSite.Host host) throws UntranslatableException {
        boolean isDefault = false;
        List<String> ignored = new ArrayList<>();
        for (Word w : d.arguments()
                .subList(Math.min(1, d.arguments().size()), d.arguments().size())) {
            String parameter = w.text();
            if (parameter.equals("ssl") || parameter.equals("quic") || parameter.equals("spdy")) {
                throw new UntranslatableException("TLS to clients is not supported: put a TLS terminator in front");
            } else if (parameter.equals("http2")) {
                throw new UntranslatableException("HTTP/2 is not supported: put a proxy that supports it in front");
            } else if (parameter.equals("proxy_protocol")) {
                throw new UntranslatableException("the PROXY protocol is not spoken here");
            } else if (parameter.equals("default_server") || parameter.equals("default")) {
                isDefault = true;
            } else if (SOCKET_OPTIONS.contains(parameter) || parameter.contains("=")) {
                ignored.add(parameter);
            } else {
                throw new UntranslatableException("the parameter '" + parameter + "' of listen");
            }
        }
        String address = listenAddress(d.argument(0).orElse(""));
        boolean added = addListener(address, host, isDefault, d.position().toString());
        if (!added) {
            report.put(d, Report.Verdict.NO_EFFECT, "0.0.0.0 also accepts IPv6 connections");
        } else {
            report.translated(
                    d,
                    ignored.isEmpty()
                            ? ""
                            : "without " + String.join(", ", ignored) + ", which is left to the operating system");
        }
    }

    private String listenAddress(String text) throws UntranslatableException {
        String normalized =
                text.matches("\\d+") ? "0.0.0.0:" + text : text.startsWith("*:") ? "0.0.0.0" + text.substring(1) : text;
        normalized = normalized.startsWith("[::]") ? "0.0.0.0" + normalized.substring(4) : normalized;
        String address = upstreamTranslator.resolveAddress(normalized, 80);
        String port = address.substring(address.lastIndexOf(':'));
        boolean isWildcard = address.startsWith("0.0.0.0:");
        for (String other : site.listeners.keySet()) {
            if (other.endsWith(port) && !other.equals(address) && (isWildcard || other.startsWith("0.0.0.0:"))) {
                throw new UntranslatableException(
                        "one port both on one address and on all addresses: list the addresses");
            }
        }
        return address;
    }

    /** Returns false if the host has that listener already. */
    private boolean addListener(String listener, TranslatedSite.Host host, boolean isDefault, String comment) {
        site.listeners.putIfAbsent(listener, comment);
        boolean added = host.listeners.add(listener);
        firstHosts.putIfAbsent(listener, host);
        if (isDefault && listenersWithDefault.add(listener)) {
            host.defaultListeners.add(listener);
        }
        return added;
    }

    // ---- server_name ----

    /** Returns the first name, which is the value of $server_name. */
    private String translateServerNames(Scope scope, TranslatedSite.Host host) {
        String first = "";
        for (Directive d : scope.own("server_name")) {
            List<String> duplicates = new ArrayList<>();
            try {
                for (Word w : d.arguments()) {
                    String name = hostName(w.text());
                    if (name.isEmpty()) {
                        continue;
                    }
                    first = first.isEmpty() ? name : first;
                    boolean unused = true;
                    for (String l : host.listeners) {
                        unused &= usedNames.add(l + " " + name.toLowerCase());
                    }
                    if (unused) {
                        host.names.add(name);
                    } else {
                        duplicates.add(name);
                    }
                }
                report.translated(
                        d,
                        duplicates.isEmpty()
                                ? ""
                                : "without " + String.join(", ", duplicates) + ", which an earlier server has");
            } catch (UntranslatableException e) {
                report.notTranslatable(d, e.getMessage());
            }
        }
        if (host.names.isEmpty()) {
            // A host needs a name; this one is reached only as the default of a listener.
            host.names.add("nameless-" + site.hosts.size() + ".invalid");
        }
        return first;
    }

    private static String hostName(String text) throws UntranslatableException {
        if (text.contains("$") && !text.startsWith("~")) {
            throw new UntranslatableException("'" + text + "': the name of this machine is not known here");
        }
        if (text.startsWith("~")) {
            if (text.contains("(?<") || text.contains("(?P<")) {
                throw new UntranslatableException("a named group in server_name; list the hosts, or use ${host}");
            }
            return "~(?i)" + VariableTemplates.toJavaRegex(text.substring(1));
        }
        return text;
    }

    // ---- routes that apply before a location is searched ----

    private void translatePriorityRoutes(
            Directive server, Scope scope, VariableTemplates variables, TranslatedSite.Host host) {
        Directive returnDirective = null;
        for (Directive d : server.block()) {
            if (returnDirective != null && (d.is("location") || d.is("rewrite") || d.is("return"))) {
                report.putAll(d, Report.Verdict.NO_EFFECT, "the return of its server answers first");
            } else if (d.is("return") || d.is("rewrite")) {
                Route r = new Route();
                r.comment = d.position().toString();
                r.name = d.name().text() + " " + d.argument(0).orElse("");
                try {
                    if (d.is("return")) {
                        returnDirective = d;
                        locationTranslator.translateReturn(d, scope, variables, r);
                        report.translated(d);
                    } else if (LocationTranslator.isRedirect(d)) {
                        locationTranslator.translateRedirect(d, scope, variables, r);
                    } else {
                        throw new UntranslatableException("a rewrite of a server that is not a redirect; move it to "
                                + "the location with the proxy_pass");
                    }
                    host.priorityRoutes.add(r);
                } catch (UntranslatableException e) {
                    report.notTranslatable(d, e.getMessage());
                }
            }
        }
        if (returnDirective != null) {
            for (Directive d : scope.own("location")) {
                report.putAll(d, Report.Verdict.NO_EFFECT, "the return of its server answers first");
            }
        }
    }
}
