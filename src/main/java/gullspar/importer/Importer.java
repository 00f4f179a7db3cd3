package gullspar.importer;

import gullspar.nginx.Directive;
import gullspar.nginx.Loader;
import gullspar.nginx.Problem;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Makes an operator's file of nginx's configuration. Every directive ends in the report, in exactly one way.
 */
public final class Importer {
    private static final String SCRIPT = "scripts are not run";

    private final Report report = new Report();
    private final Draft draft = new Draft();
    private final Map<String, Chosen> chosen = new HashMap<>();
    private final Upstreams upstreams;

    private Importer(Map<String, String> hosts) {
        this.upstreams = new Upstreams(draft, report, hosts);
    }

    /** What came out: all directives as read, what became of each, and the file; null on problems. */
    public record Imported(List<Directive> directives, Report report, String toml) {}

    /**
     * Reads files and all that they include, one after another, and translates them. hosts: the addresses of
     * names, which nobody looks up. Null if there are problems, which are added to the list.
     */
    public static Imported read(List<Path> files, Map<String, String> hosts, List<Problem> problems) {
        List<Directive> all = new ArrayList<>();
        files.forEach(f -> all.addAll(Loader.load(f, problems)));
        return problems.isEmpty() ? translate(all, hosts) : null;
    }

    /** Translates what has been read. */
    public static Imported translate(List<Directive> all, Map<String, String> hosts) {
        Importer i = new Importer(hosts);
        i.main(all);
        return new Imported(all, i.report, new TomlWriter().write(i.draft));
    }

    private void main(List<Directive> all) {
        all.forEach(this::beyond);
        List<Directive> http = new ArrayList<>();
        for (Directive d : all) {
            if (d.is("http") && d.block() != null) {
                report.translated(d);
                http.addAll(d.block());
            } else {
                http.add(d); // files of a folder that a main file would include
            }
        }
        http(http);
        all.forEach(this::rest);
    }

    /** What has no counterpart as a whole, with all that is in it. */
    private void beyond(Directive d) {
        String name = d.name().text();
        if (d.raw() != null || Tables.script(name)) {
            report.all(d, Report.Verdict.NOT_TRANSLATABLE, SCRIPT);
        } else if (d.is("stream") || d.is("mail") || d.is("if") || d.is("limit_except")) {
            report.all(d, Report.Verdict.NOT_TRANSLATABLE, Tables.NOT.get(name));
        } else if (d.is("events") || d.is("types")) {
            report.all(d, Report.Verdict.NO_EFFECT, Tables.NO_EFFECT.get(name));
        } else if (d.block() != null) {
            d.block().forEach(this::beyond);
        }
    }

    private void http(List<Directive> block) {
        Scope scope = new Scope(null, block);
        for (Directive d : block) {
            if (d.block() != null && !d.arguments().isEmpty()) {
                try {
                    chosen(d);
                } catch (Untranslatable e) {
                    report.all(d, Report.Verdict.NOT_TRANSLATABLE, e.getMessage());
                }
            }
        }
        for (Directive d : block) {
            if (d.is("upstream") && d.block() != null) {
                upstreams.declare(d);
            }
        }
        limits(scope);
        Servers servers = new Servers(draft, report, upstreams, new Locations(draft, report, upstreams, chosen));
        for (Directive d : block) {
            if (d.is("server") && d.block() != null) {
                servers.declare(d, scope);
            }
        }
        servers.finish();
    }

    private void chosen(Directive d) throws Untranslatable {
        String variable = d.argument(1).orElse("").replaceFirst("^\\$", "");
        if (d.is("map")) {
            chosen.put(variable, Chosen.map(d, report));
        } else if (d.is("split_clients")) {
            chosen.put(variable, Chosen.split(d, report));
        }
    }

    /** Times that are one value for the process here. */
    private void limits(Scope http) {
        draft.idleS = seconds(http, "keepalive_timeout");
        draft.requestS = Math.max(seconds(http, "client_header_timeout"), seconds(http, "client_body_timeout"));
        draft.stallS = seconds(http, "send_timeout");
    }

    private double seconds(Scope http, String name) {
        Directive d = http.last(name);
        if (d == null) {
            return -1;
        }
        try {
            double s = Units.millis(d.argument(0).orElse("")) / 1000.0;
            report.translated(d, "one value for all that is served here");
            return Math.max(0.001, s);
        } catch (Untranslatable e) {
            report.not(d, e.getMessage());
            return -1;
        }
    }

    // ---- what nobody has looked at ----

    private void rest(Directive d) {
        if (!report.has(d)) {
            left(d);
        }
        if (d.block() != null) {
            d.block().forEach(this::rest);
        }
    }

    private void left(Directive d) {
        String name = d.name().text();
        if (d.is("include")) {
            report.translated(d, "what it names was read");
        } else if (Tables.NO_EFFECT.containsKey(name)) {
            report.put(d, Report.Verdict.NO_EFFECT, Tables.NO_EFFECT.get(name));
        } else if (off(d)) {
            report.put(d, Report.Verdict.NO_EFFECT, "it is off, as always here");
        } else if (Tables.WHERE_USED.contains(name)) {
            report.put(d, Report.Verdict.NO_EFFECT, "nothing that is passed on or answered comes under it");
        } else if (List.of("keepalive_timeout", "client_header_timeout", "client_body_timeout", "send_timeout")
                .contains(name)) {
            report.put(d, Report.Verdict.NO_EFFECT, "one value for all that is served here, that of http");
        } else if (d.is("map") || d.is("split_clients")) {
            report.all(d, Report.Verdict.NO_EFFECT, "nothing that is translated uses its variable");
        } else if (Tables.NOT.containsKey(name)) {
            report.not(d, Tables.NOT.get(name));
        } else {
            report.not(d, "not known to this importer");
        }
    }

    private static boolean off(Directive d) {
        return Tables.NOT.containsKey(d.name().text())
                        && d.arguments().size() == 1
                        && d.argument(0).orElse("").equals("off")
                || d.is("proxy_redirect") && d.argument(0).orElse("").equals("off");
    }
}
