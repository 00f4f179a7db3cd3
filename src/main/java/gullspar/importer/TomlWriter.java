package gullspar.importer;

import gullspar.importer.Draft.Host;
import gullspar.importer.Draft.Pool;
import gullspar.importer.Draft.Route;
import gullspar.importer.Draft.When;
import java.util.Collection;
import java.util.Map;
import java.util.stream.Collectors;

/** Writes a draft as a person would: what is usual is left out, comments say where each part comes from. */
final class TomlWriter {
    private final StringBuilder s = new StringBuilder();

    String write(Draft d) {
        s.append("# Made by gullspar import nginx. Comments name the file, line and column of origin.\n");
        s.append("forwarded = \"pass\"\n");
        if (d.idleS > 0 || d.requestS > 0 || d.stallS > 0 || d.bodiesMb > 0) {
            s.append("\n[limits]\n");
            number("idle_s", d.idleS, -1);
            number("request_s", d.requestS, -1);
            number("stall_s", d.stallS, -1);
            number("bodies_mb", d.bodiesMb, 0);
        }
        d.listeners.forEach((address, comment) -> {
            head(comment, "[[listener]]");
            text("address", address);
        });
        d.pools.forEach(this::pool);
        d.hosts.forEach(this::host);
        return s.toString();
    }

    private void head(String comment, String table) {
        s.append('\n');
        if (comment != null) {
            s.append("# ").append(comment.replaceAll("\\p{Cntrl}", "?")).append('\n');
        }
        s.append(table).append('\n');
    }

    private void pool(String name, Pool p) {
        head(p.comment, "[[pool]]");
        text("name", name);
        if (p.learnt) {
            text("balance", "learnt");
        }
        number("connect_ms", p.connectMs, 0);
        number("keep_alive", p.keepAlive, -1);
        number("keep_alive_s", p.keepAliveS, -1);
        for (Draft.Server v : p.servers) {
            s.append(v.comment() == null ? "" : "# " + v.comment() + "\n").append("[[pool.server]]\n");
            text("address", v.address());
            number("weight", v.weight(), 1);
            flag("backup", v.backup());
            flag("down", v.down());
            number("max_failures", v.maxFailures(), 1);
            number("fail_s", v.failS(), 10);
            number("slow_start_s", v.slowStartS(), 0);
            number("max_connections", v.maxConnections(), 0);
        }
    }

    private void host(Host h) {
        // A default that is one at some of its listeners only is written as two hosts with the same routes.
        if (!h.defaultAt.isEmpty() && !h.defaultAt.containsAll(h.listeners)) {
            Collection<String> others =
                    h.listeners.stream().filter(l -> !h.defaultAt.contains(l)).toList();
            host(h, h.defaultAt, true);
            host(h, others, false);
        } else {
            host(h, h.listeners, !h.defaultAt.isEmpty());
        }
    }

    private void host(Host h, Collection<String> listeners, boolean isDefault) {
        head(h.comment, "[[host]]");
        s.append("names = ").append(list(h.names)).append('\n');
        s.append("listeners = ").append(list(listeners)).append('\n');
        flag("default", isDefault);
        h.first.forEach(r -> route(r, "host.first"));
        h.routes.forEach(r -> route(r, "host.route"));
    }

    private void route(Route r, String table) {
        head(r.comment, "[[" + table + "]]");
        text("name", r.name);
        if (r.path != null) {
            if (!r.match.equals("prefix")) {
                text("match", r.match);
            }
            text("path", r.path);
        }
        if (r.pool == null) {
            answer(r);
        } else {
            passed(r);
        }
        for (When w : r.when) {
            s.append("[[").append(table).append(".when]]\n");
            text("of", w.of());
            if (w.is() != null) {
                text("is", w.is());
            } else if (w.matches() != null) {
                text("matches", w.matches());
            } else {
                s.append("share = [")
                        .append(plain(w.from()))
                        .append(", ")
                        .append(plain(w.to()))
                        .append("]\n");
            }
        }
        r.nested.forEach(n -> route(n, table + ".route"));
    }

    private void passed(Route r) {
        text("pool", r.pool);
        if (r.safe) {
            text("class", "safe");
        }
        number("deadline_ms", r.deadlineMs, 60_000);
        number("attempts", r.attempts, 3);
        number("attempt_ms", r.attemptMs, 0);
        number("body_kb", r.bodyKb, 1024);
        s.append("retry_on = ").append(list(r.retryOn)).append('\n');
        if (r.rewritePattern != null) {
            s.append("rewrite = { pattern = ")
                    .append(quoted(r.rewritePattern))
                    .append(", to = ")
                    .append(quoted(r.rewriteTo))
                    .append(" }\n");
        } else if (r.rewriteTo != null) {
            s.append("rewrite = { to = ").append(quoted(r.rewriteTo)).append(" }\n");
        }
        headers("request_headers", r.request);
        headers("answer_headers", r.answerHeaders);
    }

    private void answer(Route r) {
        s.append("answer = { status = ").append(r.status);
        if (r.location != null) {
            s.append(", location = ").append(quoted(r.location));
        }
        if (r.body != null) {
            s.append(", body = ").append(quoted(r.body)).append(", type = ").append(quoted(r.type));
        }
        if (!r.answerHeaders.isEmpty()) {
            s.append(", headers = ").append(changes(r.answerHeaders));
        }
        s.append(" }\n");
    }

    private void headers(String key, Draft.Headers h) {
        if (!h.isEmpty()) {
            s.append(key).append(" = ").append(changes(h)).append('\n');
        }
    }

    private static String changes(Draft.Headers h) {
        StringBuilder b = new StringBuilder("{ ");
        String between = "";
        for (Map.Entry<String, Map<String, String>> e :
                Map.of("set", h.set, "add", h.add, "add_ok", h.addOk).entrySet().stream()
                        .sorted(Map.Entry.comparingByKey())
                        .toList()) {
            if (!e.getValue().isEmpty()) {
                b.append(between)
                        .append(e.getKey())
                        .append(" = { ")
                        .append(e.getValue().entrySet().stream()
                                .map(v -> quoted(v.getKey()) + " = " + quoted(v.getValue()))
                                .collect(Collectors.joining(", ")))
                        .append(" }");
                between = ", ";
            }
        }
        if (!h.remove.isEmpty()) {
            b.append(between).append("remove = ").append(list(h.remove));
        }
        return b.append(" }").toString();
    }

    private void text(String key, String value) {
        s.append(key).append(" = ").append(quoted(value)).append('\n');
    }

    private void number(String key, double value, double usual) {
        if (value != usual) {
            s.append(key).append(" = ").append(plain(value)).append('\n');
        }
    }

    private static String plain(double v) {
        return v == Math.rint(v) ? Long.toString((long) v) : Double.toString(v);
    }

    private void flag(String key, boolean value) {
        if (value) {
            s.append(key).append(" = true\n");
        }
    }

    private static String list(Collection<String> texts) {
        return texts.stream().map(TomlWriter::quoted).collect(Collectors.joining(", ", "[", "]"));
    }

    /** Backslashes stay as they are where a literal string can hold the text. */
    private static String quoted(String text) {
        boolean odd = text.chars().anyMatch(c -> c < ' ' && c != '\t' || c == 127);
        if (text.contains("\\") && !text.contains("'") && !odd) {
            return "'" + text + "'";
        }
        StringBuilder b = new StringBuilder("\"");
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                b.append('\\').append(c);
            } else if (c < ' ' || c == 127) {
                b.append(String.format("\\u%04x", (int) c));
            } else {
                b.append(c);
            }
        }
        return b.append('"').toString();
    }
}
