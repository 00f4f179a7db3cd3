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

    /** The whole text. */
    public static String write(Script s) {
        ScriptWriter w = new ScriptWriter();
        w.script(s);
        return w.out.toString();
    }

    private ScriptWriter line(String key, Object value) {
        out.append(key).append(" = ").append(value).append('\n');
        return this;
    }

    private void table(String name) {
        out.append('\n').append(name).append('\n');
    }

    private static String text(String s) {
        StringBuilder t = new StringBuilder("\"");
        for (char c : s.toCharArray()) {
            t.append(c == '"' || c == '\\' ? "\\" + c : c < ' ' ? String.format("\\u%04x", (int) c) : "" + c);
        }
        return t.append('"').toString();
    }

    private static String texts(List<String> list) {
        return list.stream().map(ScriptWriter::text).collect(Collectors.joining(", ", "[", "]"));
    }

    private static String range(Range r) {
        return "[" + TableReader.formatNumber(r.from()) + ", " + TableReader.formatNumber(r.to()) + "]";
    }

    private static String plain(double d) {
        return TableReader.formatNumber(d);
    }

    private void script(Script s) {
        line("title", text(s.title()))
                .line("seconds", plain(s.seconds()))
                .line("seed", s.seed())
                .line("sites", texts(s.sites()))
                .line("site_delay_ms", range(s.siteDelayMs()))
                .line("local_delay_ms", range(s.localDelayMs()));
        Script.Proxies x = s.proxies();
        table("[proxies]");
        line("count", x.count())
                .line("cores", plain(x.cores()))
                .line("memory_mb", x.memoryMb())
                .line("sockets", x.sockets())
                .line("attempts", x.attempts())
                .line("cancelling", x.cancelling())
                .line("retry_after_ms", plain(x.retryAfterMs()))
                .line("connect_timeout_ms", plain(x.connectTimeoutMs()))
                .line("start_s", plain(x.startS()));
        s.nodes().forEach(this::nodes);
        s.classes().forEach(this::requestClass);
        Script.Clients c = s.clients();
        table("[clients]");
        line("rate", plain(c.rate()))
                .line("patience", range(c.patience()))
                .line("retries", c.retries())
                .line("retry_wait_ms", range(c.retryWaitMs()))
                .line("keys", c.keys())
                .line("key_skew", plain(c.keySkew()))
                .line("notice_s", range(c.noticeS()));
        table("[discovery]");
        line("delay_ms", range(s.discovery().delayMs()))
                .line("weight_period_ms", range(s.discovery().weightPeriodMs()))
                .line("notice_s", range(s.discovery().noticeS()))
                .line("answer_ms", plain(s.discovery().answerMs()));
        Script.Rules r = s.rules();
        table("[rules]");
        line("drain_grace_ms", plain(r.drainGraceMs()))
                .line("start_capacity", plain(r.startCapacity()))
                .line("cold_s", plain(r.coldS()))
                .line("tip_multiple", plain(r.tipMultiple()))
                .line("fall_s", plain(r.fallS()));
        if (s.peers() != null) {
            Script.Peers p = s.peers();
            table("[peers]");
            line("interval_ms", plain(p.intervalMs()))
                    .line("window_s", plain(p.windowS()))
                    .line("quiet_s", plain(p.quietS()))
                    .line("gone_s", plain(p.goneS()))
                    .line("agree_s", plain(p.agreeS()))
                    .line("bytes_per_s", p.bytesPerS())
                    .line("accusations_per_min", plain(p.accusationsPerMin()));
        }
        if (!s.expect().isEmpty()) {
            table("[expect]");
            s.expect().forEach((k, v) -> line(k, plain(v)));
        }
        table("[search]");
        line("kinds", texts(s.search().kinds().stream().map(FaultKind::named).toList()))
                .line("most", s.search().most())
                .line("calm_s", plain(s.search().calmS()))
                .line("below", plain(s.search().below()));
        s.faults().forEach(this::fault);
    }

    private void nodes(Script.NodeKind n) {
        table("[[nodes]]");
        line("kind", text(n.kind()))
                .line("count", n.count())
                .line("cores", n.cores())
                .line("speed", range(n.speed()))
                .line("slots", n.slots())
                .line("queue", n.queue())
                .line("cancelled", text(TableReader.tomlName(n.cancelled())))
                .line("connections", n.connections())
                .line("connect_ms", range(n.connectMs()))
                .line(
                        "keys",
                        "{ memory_s = " + range(n.keyMemoryS()) + ", saves = " + range(n.keySaves()) + ", most = "
                                + n.keysMost() + " }")
                .line(
                        "report",
                        "{ period_ms = " + range(n.reportPeriodMs()) + ", delay_ms = " + range(n.reportDelayMs())
                                + ", noise = " + plain(n.reportNoise()) + " }")
                .line("answer_bytes", n.answerBytes());
    }

    private void requestClass(Script.RequestClass c) {
        table("[[class]]");
        line("name", text(c.name()))
                .line("effect", text(TableReader.tomlName(c.effect())))
                .line("scope", text(TableReader.tomlName(c.scope())))
                .line("window_ms", plain(c.windowMs()))
                .line("share", plain(c.share()))
                .line("work_ms", range(c.workMs()))
                .line("promise_ms", plain(c.promiseMs()))
                .line("give_up_ms", plain(c.giveUpMs()))
                .line("worth", plain(c.worth()))
                .line("body_bytes", c.bodyBytes());
    }

    private void fault(Fault f) {
        table("[[fault]]");
        line("kind", text(f.kind().named())).line("at", plain(f.at()));
        if (!f.kind().momentary()) {
            line("for", plain(f.lasts()));
        }
        Target target = f.kind().target();
        if (target == Target.NODES || target == Target.PROXIES) {
            line(target == Target.NODES ? "nodes" : "proxies", f.names().isEmpty() ? f.count() : texts(f.names()));
        } else if (target == Target.CLASS) {
            line("class", text(f.names().get(0)));
        } else if (target == Target.LINK || target == Target.DATAGRAMS) {
            line("from", text(f.names().get(0))).line("to", text(f.names().get(1)));
        }
        f.figures().forEach((k, v) -> line(k, plain(v)));
    }
}
