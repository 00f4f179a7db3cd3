package gullspar.importer;

import gullspar.nginx.Directive;
import gullspar.nginx.Loader;
import gullspar.nginx.Problem;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Translates nginx's configuration to an operators' file. Each directive has exactly one entry in the report. */
public final class Importer {
    private static final String SCRIPT_REASON = "scripts are not run";

    private final Report report = new Report();
    private final TranslatedSite site = new TranslatedSite();
    private final Map<String, ConditionalVariable> conditionalVariables = new HashMap<>();
    private final UpstreamTranslator upstreamTranslator;

    private Importer(Map<String, String> hosts) {
        this.upstreamTranslator = new UpstreamTranslator(site, report, hosts);
    }

    /** The directives as read, the report on them, and the text of the operators' file. */
    public record Result(List<Directive> directives, Report report, String toml) {}

    /**
     * Reads files with all files that they include, in order, and translates them. hosts: the addresses of host
     * names, which are not resolved. Returns null if there are problems, which are added to the list.
     */
    public static Result read(List<Path> files, Map<String, String> hosts, List<Problem> problems) {
        List<Directive> directives = new ArrayList<>();
        files.forEach(f -> directives.addAll(Loader.load(f, problems)));
        return problems.isEmpty() ? translate(directives, hosts) : null;
    }

    /** Translates directives that have been read. */
    public static Result translate(List<Directive> directives, Map<String, String> hosts) {
        Importer importer = new Importer(hosts);
        importer.translateAll(directives);
        return new Result(directives, importer.report, new TomlWriter().write(importer.site));
    }

    private void translateAll(List<Directive> directives) {
        directives.forEach(this::reportUnsupportedBlocks);
        List<Directive> httpDirectives = new ArrayList<>();
        for (Directive d : directives) {
            if (d.is("http") && d.block() != null) {
                report.translated(d);
                httpDirectives.addAll(d.block());
            } else {
                httpDirectives.add(d); // a file that the http block of a main file would include
            }
        }
        translateHttp(httpDirectives);
        directives.forEach(this::reportRemaining);
    }

    /** Reports blocks that are not translated, with all directives in them. */
    private void reportUnsupportedBlocks(Directive d) {
        String name = d.name().text();
        if (d.raw() != null || DirectiveTables.isScript(name)) {
            report.putAll(d, Report.Verdict.NOT_TRANSLATABLE, SCRIPT_REASON);
        } else if (d.is("stream") || d.is("mail") || d.is("if") || d.is("limit_except")) {
            report.putAll(d, Report.Verdict.NOT_TRANSLATABLE, DirectiveTables.NOT_TRANSLATABLE.get(name));
        } else if (d.is("events") || d.is("types")) {
            report.putAll(d, Report.Verdict.NO_EFFECT, DirectiveTables.NO_EFFECT.get(name));
        } else if (d.block() != null) {
            d.block().forEach(this::reportUnsupportedBlocks);
        }
    }

    private void translateHttp(List<Directive> block) {
        Scope scope = new Scope(null, block);
        for (Directive d : block) {
            if (d.block() != null && !d.arguments().isEmpty()) {
                try {
                    declareVariable(d);
                } catch (UntranslatableException e) {
                    report.putAll(d, Report.Verdict.NOT_TRANSLATABLE, e.getMessage());
                }
            }
        }
        for (Directive d : block) {
            if (d.is("upstream") && d.block() != null) {
                upstreamTranslator.translate(d);
            }
        }
        translateTimeouts(scope);
        ServerTranslator serverTranslator = new ServerTranslator(
                site,
                report,
                upstreamTranslator,
                new LocationTranslator(site, report, upstreamTranslator, conditionalVariables));
        for (Directive d : block) {
            if (d.is("server") && d.block() != null) {
                serverTranslator.translate(d, scope);
            }
        }
        serverTranslator.setImplicitDefaults();
    }

    private void declareVariable(Directive d) throws UntranslatableException {
        String variable = d.argument(1).orElse("").replaceFirst("^\\$", "");
        if (d.is("map")) {
            conditionalVariables.put(variable, ConditionalVariable.fromMap(d, report));
        } else if (d.is("split_clients")) {
            conditionalVariables.put(variable, ConditionalVariable.fromSplitClients(d, report));
        }
    }

    /** Translates the timeouts of which the process has one value each. */
    private void translateTimeouts(Scope http) {
        site.idleTimeoutS = timeoutSeconds(http, "keepalive_timeout");
        site.requestTimeoutS =
                Math.max(timeoutSeconds(http, "client_header_timeout"), timeoutSeconds(http, "client_body_timeout"));
        site.stallTimeoutS = timeoutSeconds(http, "send_timeout");
    }

    private double timeoutSeconds(Scope http, String name) {
        Directive d = http.last(name);
        if (d == null) {
            return -1;
        }
        try {
            double s = NginxValues.parseMillis(d.argument(0).orElse("")) / 1000.0;
            report.translated(d, "one value for all servers");
            return Math.max(0.001, s);
        } catch (UntranslatableException e) {
            report.notTranslatable(d, e.getMessage());
            return -1;
        }
    }

    // ---- directives without an entry ----

    private void reportRemaining(Directive d) {
        if (!report.contains(d)) {
            reportUnvisited(d);
        }
        if (d.block() != null) {
            d.block().forEach(this::reportRemaining);
        }
    }

    private void reportUnvisited(Directive d) {
        String name = d.name().text();
        if (d.is("include")) {
            report.translated(d, "its files were read");
        } else if (DirectiveTables.NO_EFFECT.containsKey(name)) {
            report.put(d, Report.Verdict.NO_EFFECT, DirectiveTables.NO_EFFECT.get(name));
        } else if (isOff(d)) {
            report.put(d, Report.Verdict.NO_EFFECT, "it is off, as always here");
        } else if (DirectiveTables.ROUTE_DIRECTIVES.contains(name)) {
            report.put(d, Report.Verdict.NO_EFFECT, "it applies to no translated route");
        } else if (List.of("keepalive_timeout", "client_header_timeout", "client_body_timeout", "send_timeout")
                .contains(name)) {
            report.put(d, Report.Verdict.NO_EFFECT, "one value for all servers: the one in http");
        } else if (d.is("map") || d.is("split_clients")) {
            report.putAll(d, Report.Verdict.NO_EFFECT, "nothing that is translated uses its variable");
        } else if (DirectiveTables.NOT_TRANSLATABLE.containsKey(name)) {
            report.notTranslatable(d, DirectiveTables.NOT_TRANSLATABLE.get(name));
        } else {
            report.notTranslatable(d, "not known to this importer");
        }
    }

    private static boolean isOff(Directive d) {
        return DirectiveTables.NOT_TRANSLATABLE.containsKey(d.name().text())
                        && d.arguments().size() == 1
                        && d.argument(0).orElse("").equals("off")
                || d.is("proxy_redirect") && d.argument(0).orElse("").equals("off");
    }
}
