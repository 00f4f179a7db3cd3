package gullspar.importer;

import gullspar.importer.TranslatedSite.Condition;
import gullspar.importer.TranslatedSite.Host;
import gullspar.importer.TranslatedSite.Pool;
import gullspar.importer.TranslatedSite.Route;
import java.util.Collection;
import java.util.Map;
import java.util.stream.Collectors;

/** Writes a translated site as TOML. Defaults are left out, and comments name the nginx directive of each part. */
final class TomlWriter {
    private final StringBuilder out = new StringBuilder();

    String write(TranslatedSite site) {
        out.append("# Made by gullspar import nginx. Comments name the file, line and column of origin.\n");
        out.append("forwarded = \"pass\"\n");
        if (site.idleTimeoutS > 0 || site.requestTimeoutS > 0 || site.stallTimeoutS > 0 || site.maxBodiesMb > 0) {
            out.append("\n[limits]\n");
            writeNumber("idle_s", site.idleTimeoutS, -1);
            writeNumber("request_s", site.requestTimeoutS, -1);
            writeNumber("stall_s", site.stallTimeoutS, -1);
            writeNumber("bodies_mb", site.maxBodiesMb, 0);
        }
        site.listeners.forEach((address, comment) -> {
            writeTableHeader(comment, "[[listener]]");
            writeString("address", address);
        });
        site.pools.forEach(this::writePool);
        site.hosts.forEach(this::writeHost);
        return out.toString();
    }

    private void writeTableHeader(String comment, String table) {
        out.append('\n');
        if (comment != null) {
            out.append("# ").append(comment.replaceAll("\\p{Cntrl}", "?")).append('\n');
        }
        out.append(table).append('\n');
    }

    private void writePool(String name, Pool p) {
        writeTableHeader(p.comment, "[[pool]]");
        writeString("name", name);
        if (p.learntBalance) {
            writeString("balance", "learnt");
        }
        writeNumber("connect_ms", p.connectTimeoutMs, 0);
        writeNumber("keep_alive", p.maxIdle, -1);
        writeNumber("keep_alive_s", p.idleTimeoutS, -1);
        for (TranslatedSite.Server server : p.servers) {
            out.append(server.comment() == null ? "" : "# " + server.comment() + "\n")
                    .append("[[pool.server]]\n");
            writeString("address", server.address());
            writeNumber("weight", server.weight(), 1);
            writeFlag("backup", server.backup());
            writeFlag("down", server.down());
            writeNumber("max_failures", server.maxFailures(), 1);
            writeNumber("fail_s", server.failTimeoutS(), 10);
            writeNumber("slow_start_s", server.slowStartS(), 0);
            writeNumber("max_connections", server.maxConnections(), 0);
        }
    }

    private void writeHost(Host h) {
        // A host that is the default of only some of its listeners is written as two hosts with the same routes.
        if (!h.defaultListeners.isEmpty() && !h.defaultListeners.containsAll(h.listeners)) {
            Collection<String> otherListeners = h.listeners.stream()
                    .filter(l -> !h.defaultListeners.contains(l))
                    .toList();
            writeHost(h, h.defaultListeners, true);
            writeHost(h, otherListeners, false);
        } else {
            writeHost(h, h.listeners, !h.defaultListeners.isEmpty());
        }
    }

    private void writeHost(Host h, Collection<String> listeners, boolean isDefault) {
        writeTableHeader(h.comment, "[[host]]");
        out.append("names = ").append(array(h.names)).append('\n');
        out.append("listeners = ").append(array(listeners)).append('\n');
        writeFlag("default", isDefault);
        h.priorityRoutes.forEach(r -> writeRoute(r, "host.first"));
        h.routes.forEach(r -> writeRoute(r, "host.route"));
    }

    private void writeRoute(Route r, String table) {
        writeTableHeader(r.comment, "[[" + table + "]]");
        writeString("name", r.name);
        if (r.path != null) {
            if (!r.match.equals("prefix")) {
                writeString("match", r.match);
            }
            writeString("path", r.path);
        }
        if (r.pool == null) {
            writeFixedResponse(r);
        } else {
            writePoolTarget(r);
        }
        for (Condition condition : r.conditions) {
            out.append("[[").append(table).append(".when]]\n");
            writeString("of", condition.template());
            if (condition.equalTo() != null) {
                writeString("is", condition.equalTo());
            } else if (condition.regex() != null) {
                writeString("matches", condition.regex());
            } else {
                out.append("share = [")
                        .append(formatNumber(condition.fromPercent()))
                        .append(", ")
                        .append(formatNumber(condition.toPercent()))
                        .append("]\n");
            }
        }
        r.nested.forEach(n -> writeRoute(n, table + ".route"));
    }

    private void writePoolTarget(Route r) {
        writeString("pool", r.pool);
        if (r.safe) {
            writeString("class", "safe");
        }
        writeNumber("deadline_ms", r.deadlineMs, 60_000);
        writeNumber("attempts", r.maxAttempts, 3);
        writeNumber("attempt_ms", r.attemptTimeoutMs, 0);
        writeNumber("body_kb", r.maxBodyKb, 1024);
        out.append("retry_on = ").append(array(r.retryStatuses)).append('\n');
        if (r.rewritePattern != null) {
            out.append("rewrite = { pattern = ")
                    .append(quoted(r.rewritePattern))
                    .append(", to = ")
                    .append(quoted(r.rewriteReplacement))
                    .append(" }\n");
        } else if (r.rewriteReplacement != null) {
            out.append("rewrite = { to = ").append(quoted(r.rewriteReplacement)).append(" }\n");
        }
        writeHeaderChanges("request_headers", r.requestHeaders);
        writeHeaderChanges("answer_headers", r.responseHeaders);
    }

    private void writeFixedResponse(Route r) {
        out.append("answer = { status = ").append(r.status);
        if (r.location != null) {
            out.append(", location = ").append(quoted(r.location));
        }
        if (r.body != null) {
            out.append(", body = ").append(quoted(r.body)).append(", type = ").append(quoted(r.contentType));
        }
        if (!r.responseHeaders.isEmpty()) {
            out.append(", headers = ").append(inlineHeaderChanges(r.responseHeaders));
        }
        out.append(" }\n");
    }

    private void writeHeaderChanges(String key, TranslatedSite.HeaderChanges changes) {
        if (!changes.isEmpty()) {
            out.append(key).append(" = ").append(inlineHeaderChanges(changes)).append('\n');
        }
    }

    private static String inlineHeaderChanges(TranslatedSite.HeaderChanges changes) {
        StringBuilder b = new StringBuilder("{ ");
        String separator = "";
        for (Map.Entry<String, Map<String, String>> e :
                Map.of("set", changes.set, "add", changes.add, "add_ok", changes.addOk).entrySet().stream()
                        .sorted(Map.Entry.comparingByKey())
                        .toList()) {
            if (!e.getValue().isEmpty()) {
                b.append(separator)
                        .append(e.getKey())
                        .append(" = { ")
                        .append(e.getValue().entrySet().stream()
                                .map(v -> quoted(v.getKey()) + " = " + quoted(v.getValue()))
                                .collect(Collectors.joining(", ")))
                        .append(" }");
                separator = ", ";
            }
        }
        if (!changes.remove.isEmpty()) {
            b.append(separator).append("remove = ").append(array(changes.remove));
        }
        return b.append(" }").toString();
    }

    private void writeString(String key, String value) {
        out.append(key).append(" = ").append(quoted(value)).append('\n');
    }

    private void writeNumber(String key, double value, double defaultValue) {
        if (value != defaultValue) {
            out.append(key).append(" = ").append(formatNumber(value)).append('\n');
        }
    }

    private static String formatNumber(double v) {
        return v == Math.rint(v) ? Long.toString((long) v) : Double.toString(v);
    }

    private void writeFlag(String key, boolean value) {
        if (value) {
            out.append(key).append(" = true\n");
        }
    }

    private static String array(Collection<String> texts) {
        return texts.stream().map(TomlWriter::quoted).collect(Collectors.joining(", ", "[", "]"));
    }

    /** Writes a literal string, which needs no escapes, if the text has backslashes and allows it. */
    private static String quoted(String text) {
        boolean hasControlCharacters = text.chars().anyMatch(c -> c < ' ' && c != '\t' || c == 127);
        if (text.contains("\\") && !text.contains("'") && !hasControlCharacters) {
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
