package gullspar.rehearse.script;

import gullspar.rehearse.script.FaultKind.Target;
import gullspar.toml.Range;
import gullspar.toml.TableReader;
import java.util.List;
import java.util.stream.Collectors;

/** Writes a script as TOML that reads back as the same script. */
public final class ScriptWriter {
    private final StringBuilder out = new StringBuilder(4096);

    private ScriptWriter() {}

    public static String write(Script script) {
        ScriptWriter writer = new ScriptWriter();
        writer.appendScript(script);
        return writer.out.toString();
    }

    private ScriptWriter appendEntry(String key, Object value) {
        out.append(key).append(" = ").append(value).append('\n');
        return this;
    }

    private void appendTable(String name) {
        out.append('\n').append(name).append('\n');
    }

    private static String quote(String s) {
        StringBuilder t = new StringBuilder("\"");
        for (char c : s.toCharArray()) {
            t.append(c == '"' || c == '\\' ? "\\" + c : c < ' ' ? String.format("\\u%04x", (int) c) : "" + c);
        }
        return t.append('"').toString();
    }

    private static String quoteAll(List<String> list) {
        return list.stream().map(ScriptWriter::quote).collect(Collectors.joining(", ", "[", "]"));
    }

    private static String formatRange(Range r) {
        return "[" + TableReader.formatNumber(r.from()) + ", " + TableReader.formatNumber(r.to()) + "]";
    }

    private static String formatNumber(double d) {
        return TableReader.formatNumber(d);
    }

    private void appendScript(Script script) {
        appendEntry("title", quote(script.title()))
                .appendEntry("seconds", formatNumber(script.seconds()))
                .appendEntry("seed", script.seed())
                .appendEntry("sites", quoteAll(script.sites()))
                .appendEntry("site_delay_ms", formatRange(script.siteDelayMs()))
                .appendEntry("local_delay_ms", formatRange(script.localDelayMs()));
        Script.Proxies proxies = script.proxies();
        appendTable("[proxies]");
        appendEntry("count", proxies.count())
                .appendEntry("cores", formatNumber(proxies.cores()))
                .appendEntry("memory_mb", proxies.memoryMb())
                .appendEntry("sockets", proxies.sockets())
                .appendEntry("attempts", proxies.attempts())
                .appendEntry("cancelling", proxies.cancelling())
                .appendEntry("retry_after_ms", formatNumber(proxies.retryAfterMs()))
                .appendEntry("connect_timeout_ms", formatNumber(proxies.connectTimeoutMs()))
                .appendEntry("start_s", formatNumber(proxies.startS()));
        script.nodes().forEach(this::appendNodeKind);
        script.classes().forEach(this::appendRequestClass);
        Script.Clients clients = script.clients();
        appendTable("[clients]");
        appendEntry("rate", formatNumber(clients.rate()))
                .appendEntry("patience", formatRange(clients.giveUpShare()))
                .appendEntry("retries", clients.retries())
                .appendEntry("retry_wait_ms", formatRange(clients.retryWaitMs()))
                .appendEntry("keys", clients.keys())
                .appendEntry("key_skew", formatNumber(clients.keySkew()))
                .appendEntry("notice_s", formatRange(clients.noticeS()));
        appendTable("[discovery]");
        appendEntry("delay_ms", formatRange(script.discovery().delayMs()))
                .appendEntry("weight_period_ms", formatRange(script.discovery().weightPeriodMs()))
                .appendEntry("notice_s", formatRange(script.discovery().noticeS()))
                .appendEntry("answer_ms", formatNumber(script.discovery().answerMs()));
        Script.Rules rules = script.rules();
        appendTable("[rules]");
        appendEntry("drain_grace_ms", formatNumber(rules.drainGraceMs()))
                .appendEntry("start_capacity", formatNumber(rules.startCapacity()))
                .appendEntry("cold_s", formatNumber(rules.coldS()))
                .appendEntry("tip_multiple", formatNumber(rules.tipMultiple()))
                .appendEntry("fall_s", formatNumber(rules.fallS()));
        if (script.peers() != null) {
            Script.Peers peers = script.peers();
            appendTable("[peers]");
            appendEntry("interval_ms", formatNumber(peers.intervalMs()))
                    .appendEntry("window_s", formatNumber(peers.windowS()))
                    .appendEntry("quiet_s", formatNumber(peers.quietS()))
                    .appendEntry("gone_s", formatNumber(peers.goneS()))
                    .appendEntry("agree_s", formatNumber(peers.agreeS()))
                    .appendEntry("bytes_per_s", peers.bytesPerS())
                    .appendEntry("accusations_per_min", formatNumber(peers.accusationsPerMin()));
        }
        if (!script.expect().isEmpty()) {
            appendTable("[expect]");
            script.expect().forEach((k, v) -> appendEntry(k, formatNumber(v)));
        }
        appendTable("[search]");
        appendEntry(
                        "kinds",
                        quoteAll(script.search().kinds().stream()
                                .map(FaultKind::scriptName)
                                .toList()))
                .appendEntry("most", script.search().maxFaults())
                .appendEntry("calm_s", formatNumber(script.search().faultFreeS()))
                .appendEntry("below", formatNumber(script.search().minService()));
        script.faults().forEach(this::appendFault);
    }

    private void appendNodeKind(Script.NodeKind kind) {
        appendTable("[[nodes]]");
        appendEntry("kind", quote(kind.kind()))
                .appendEntry("count", kind.count())
                .appendEntry("cores", kind.cores())
                .appendEntry("speed", formatRange(kind.speed()))
                .appendEntry("slots", kind.slots())
                .appendEntry("queue", kind.queue())
                .appendEntry("cancelled", quote(TableReader.tomlName(kind.cancelled())))
                .appendEntry("connections", kind.connections())
                .appendEntry("connect_ms", formatRange(kind.connectMs()))
                .appendEntry(
                        "keys",
                        "{ memory_s = " + formatRange(kind.keyMemoryS()) + ", saves = " + formatRange(kind.keySaves())
                                + ", most = " + kind.maxKeys() + " }")
                .appendEntry(
                        "report",
                        "{ period_ms = " + formatRange(kind.reportPeriodMs()) + ", delay_ms = "
                                + formatRange(kind.reportDelayMs()) + ", noise = " + formatNumber(kind.reportNoise())
                                + " }")
                .appendEntry("answer_bytes", kind.answerBytes());
    }

    private void appendRequestClass(Script.RequestClass requestClass) {
        appendTable("[[class]]");
        appendEntry("name", quote(requestClass.name()))
                .appendEntry("effect", quote(TableReader.tomlName(requestClass.effect())))
                .appendEntry("scope", quote(TableReader.tomlName(requestClass.scope())))
                .appendEntry("window_ms", formatNumber(requestClass.windowMs()))
                .appendEntry("share", formatNumber(requestClass.share()))
                .appendEntry("work_ms", formatRange(requestClass.workMs()))
                .appendEntry("promise_ms", formatNumber(requestClass.latencyTargetMs()))
                .appendEntry("give_up_ms", formatNumber(requestClass.giveUpMs()))
                .appendEntry("worth", formatNumber(requestClass.worth()))
                .appendEntry("body_bytes", requestClass.bodyBytes());
    }

    private void appendFault(Fault fault) {
        appendTable("[[fault]]");
        appendEntry("kind", quote(fault.kind().scriptName())).appendEntry("at", formatNumber(fault.startS()));
        if (!fault.kind().isMomentary()) {
            appendEntry("for", formatNumber(fault.durationS()));
        }
        Target target = fault.kind().target();
        if (target == Target.NODES || target == Target.PROXIES) {
            appendEntry(
                    target == Target.NODES ? "nodes" : "proxies",
                    fault.names().isEmpty() ? fault.count() : quoteAll(fault.names()));
        } else if (target == Target.CLASS) {
            appendEntry("class", quote(fault.names().get(0)));
        } else if (target == Target.LINK || target == Target.DATAGRAMS) {
            appendEntry("from", quote(fault.names().get(0)))
                    .appendEntry("to", quote(fault.names().get(1)));
        }
        fault.parameters().forEach((k, v) -> appendEntry(k, formatNumber(v)));
    }
}
