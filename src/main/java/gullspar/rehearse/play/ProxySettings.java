package gullspar.rehearse.play;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.script.Script.RequestClass;
import java.net.InetSocketAddress;
import java.util.Locale;

/** Builds the configuration of a proxy, as a deployment platform would write it. */
public final class ProxySettings {
    private ProxySettings() {}

    /** Returns the complete configuration; known is the list of nodes in discovery's format. */
    public static JsonNode of(
            Script s,
            int index,
            String name,
            InetSocketAddress listen,
            InetSocketAddress discovery,
            long seed,
            JsonNode known) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("name", name)
                .put("listen", hostPort(listen))
                .put("discovery", hostPort(discovery))
                .put("seed", Long.toHexString(seed));
        root.putObject("limits")
                .put("cores", s.proxies().cores())
                .put("memory_mb", s.proxies().memoryMb())
                .put("sockets", s.proxies().sockets());
        root.set("known", known);
        addSettings(root.putObject("settings"), s, index);
        return root;
    }

    private static void addSettings(ObjectNode settings, Script s, int index) {
        settings.put("me", index)
                .put("balancers", s.proxies().count())
                .put("zone", index % s.sites().size())
                .put("step_ns", 5_000_000)
                .put("discovery", "pushed")
                .putArray("tenants");
        ArrayNode zones = settings.putArray("zones");
        s.sites().forEach(zones::add);
        ArrayNode skus = settings.putArray("skus");
        s.nodes().forEach(n -> skus.add(n.kind()));
        ArrayNode profiles = settings.putArray("profiles");
        s.classes().forEach(c -> addProfile(profiles.addObject(), c));
        settings.putObject("limits")
                .put("cancelling", s.proxies().cancelling())
                .put("max_attempts", s.proxies().attempts())
                .put("retry_after", s.proxies().retryAfterMs() > 0)
                .put("max_retry_after_ns", ns(s.proxies().retryAfterMs()))
                .put("connect_timeout_ns", ns(s.proxies().connectTimeoutMs()))
                .put("keepalive_ns", 15_000_000_000L);
        settings.putObject("rules")
                .put("start_capacity", s.rules().startCapacity())
                .put("cold_ns", ns(s.rules().coldS() * 1000))
                .put("tip_multiple", s.rules().tipMultiple())
                .put("fall_ns", ns(s.rules().fallS() * 1000))
                .put("drain_grace_ns", ns(s.rules().drainGraceMs()));
    }

    private static void addProfile(ObjectNode p, RequestClass c) {
        p.put("name", c.name())
                .put("effect", c.effect().name().toLowerCase(Locale.ROOT))
                .put("dedup_scope", c.scope().name().toLowerCase(Locale.ROOT))
                .put("window_ns", ns(c.windowMs()))
                .put("promise_ns", ns(c.promiseMs()))
                .put("give_up_ns", ns(c.giveUpMs()))
                .put("worth", c.worth());
    }

    private static long ns(double ms) {
        return (long) (ms * 1e6);
    }

    private static String hostPort(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }
}
