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

    public static String write(Script s) {
        ScriptWriter w = new ScriptWriter();
        w.appendScript(s);
        return w.out.toString();
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

    private void appendScript(Script s) {
        appendEntry("title", quote(s.title()))
                .appendEntry("seconds", formatNumber(s.seconds()))
                .appendEntry("seed", s.seed())
                .appendEntry("sites", quoteAll(s.sites()))
                .appendEntry("site_delay_ms", formatRange(s.siteDelayMs()))
                .appendEntry("local_delay_ms", formatRange(s.localDelayMs()));
        Script.Proxies x = s.proxies();
        appendTable("[proxies]");
        appendEntry("count", x.count())
                .appendEntry("cores", formatNumber(x.cores()))
                .appendEntry("memory_mb", x.memoryMb())
                .appendEntry("sockets", x.sockets())
                .appendEntry("attempts", x.attempts())
                .appendEntry("cancelling", x.cancelling())
                .appendEntry("retry_after_ms", formatNumber(x.retryAfterMs()))
                .appendEntry("connect_timeout_ms", formatNumber(x.connectTimeoutMs()))
                .appendEntry("start_s", formatNumber(x.startS()));
        s.nodes().forEach(this::appendNodeKind);
        s.classes().forEach(this::appendRequestClass);
        Script.Clients c = s.clients();
        appendTable("[clients]");
        appendEntry("rate", formatNumber(c.rate()))
                .appendEntry("patience", formatRange(c.giveUpShare()))
                .appendEntry("retries", c.retries())
                .appendEntry("retry_wait_ms", formatRange(c.retryWaitMs()))
                .appendEntry("keys", c.keys())
                .appendEntry("key_skew", formatNumber(c.keySkew()))
                .appendEntry("notice_s", formatRange(c.noticeS()));
        appendTable("[discovery]");
        appendEntry("delay_ms", formatRange(s.discovery().delayMs()))
                .appendEntry("weight_period_ms", formatRange(s.discovery().weightPeriodMs()))
                .appendEntry("notice_s", formatRange(s.discovery().noticeS()))
                .appendEntry("answer_ms", formatNumber(s.discovery().answerMs()));
        Script.Rules r = s.rules();
        appendTable("[rules]");
        appendEntry("drain_grace_ms", formatNumber(r.drainGraceMs()))
                .appendEntry("start_capacity", formatNumber(r.startCapacity()))
                .appendEntry("cold_s", formatNumber(r.coldS()))
                .appendEntry("tip_multiple", formatNumber(r.tipMultiple()))
                .appendEntry("fall_s", formatNumber(r.fallS()));
        if (s.peers() != null) {
            Script.Peers p = s.peers();
            appendTable("[peers]");
            appendEntry("interval_ms", formatNumber(p.intervalMs()))
                    .appendEntry("window_s", formatNumber(p.windowS()))
                    .appendEntry("quiet_s", formatNumber(p.quietS()))
                    .appendEntry("gone_s", formatNumber(p.goneS()))
                    .appendEntry("agree_s", formatNumber(p.agreeS()))
                    .appendEntry("bytes_per_s", p.bytesPerS())
                    .appendEntry("accusations_per_min", formatNumber(p.accusationsPerMin()));
        }
        if (!s.expect().isEmpty()) {
            appendTable("[expect]");
            s.expect().forEach((k, v) -> appendEntry(k, formatNumber(v)));
        }
        appendTable("[search]");
        appendEntry(
                        "kinds",
                        quoteAll(s.search().kinds().stream()
                                .map(FaultKind::scriptName)
                                .toList()))
                .appendEntry("most", s.search().maxFaults())
                .appendEntry("calm_s", formatNumber(s.search().faultFreeS()))
                .appendEntry("below", formatNumber(s.search().minService()));
        s.faults().forEach(this::appendFault);
    }

    private void appendNodeKind(Script.NodeKind n) {
        appendTable("[[nodes]]");
        appendEntry("kind", quote(n.kind()))
                .appendEntry("count", n.count())
                .appendEntry("cores", n.cores())
                .appendEntry("speed", formatRange(n.speed()))
                .appendEntry("slots", n.slots())
                .appendEntry("queue", n.queue())
                .appendEntry("cancelled", quote(TableReader.tomlName(n.cancelled())))
                .appendEntry("connections", n.connections())
                .appendEntry("connect_ms", formatRange(n.connectMs()))
                .appendEntry(
                        "keys",
                        "{ memory_s = " + formatRange(n.keyMemoryS()) + ", saves = " + formatRange(n.keySaves())
                                + ", most = " + n.maxKeys() + " }")
                .appendEntry(
                        "report",
                        "{ period_ms = " + formatRange(n.reportPeriodMs()) + ", delay_ms = "
                                + formatRange(n.reportDelayMs()) + ", noise = " + formatNumber(n.reportNoise()) + " }")
                .appendEntry("answer_bytes", n.answerBytes());
    }

    private void appendRequestClass(Script.RequestClass c) {
        appendTable("[[class]]");
        appendEntry("name", quote(c.name()))
                .appendEntry("effect", quote(TableReader.tomlName(c.effect())))
                .appendEntry("scope", quote(TableReader.tomlName(c.scope())))
                .appendEntry("window_ms", formatNumber(c.windowMs()))
                .appendEntry("share", formatNumber(c.share()))
                .appendEntry("work_ms", formatRange(c.workMs()))
                .appendEntry("promise_ms", formatNumber(c.promiseMs()))
                .appendEntry("give_up_ms", formatNumber(c.giveUpMs()))
                .appendEntry("worth", formatNumber(c.worth()))
                .appendEntry("body_bytes", c.bodyBytes());
    }

    private void appendFault(Fault f) {
        appendTable("[[fault]]");
        appendEntry("kind", quote(f.kind().scriptName())).appendEntry("at", formatNumber(f.startS()));
        if (!f.kind().isMomentary()) {
            appendEntry("for", formatNumber(f.durationS()));
        }
        Target target = f.kind().target();
        if (target == Target.NODES || target == Target.PROXIES) {
            appendEntry(
                    target == Target.NODES ? "nodes" : "proxies",
                    f.names().isEmpty() ? f.count() : quoteAll(f.names()));
        } else if (target == Target.CLASS) {
            appendEntry("class", quote(f.names().get(0)));
        } else if (target == Target.LINK || target == Target.DATAGRAMS) {
            appendEntry("from", quote(f.names().get(0)))
                    .appendEntry("to", quote(f.names().get(1)));
        }
        f.parameters().forEach((k, v) -> appendEntry(k, formatNumber(v)));
    }
}
