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
            Script script,
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
                .put("cores", script.proxies().cores())
                .put("memory_mb", script.proxies().memoryMb())
                .put("sockets", script.proxies().sockets());
        root.set("known", known);
        addSettings(root.putObject("settings"), script, index);
        return root;
    }

    private static void addSettings(ObjectNode settings, Script script, int index) {
        settings.put("me", index)
                .put("balancers", script.proxies().count())
                .put("zone", index % script.sites().size())
                .put("step_ns", 5_000_000)
                .put("discovery", "pushed")
                .putArray("tenants");
        ArrayNode zones = settings.putArray("zones");
        script.sites().forEach(zones::add);
        ArrayNode skus = settings.putArray("skus");
        script.nodes().forEach(n -> skus.add(n.kind()));
        ArrayNode profiles = settings.putArray("profiles");
        script.classes().forEach(c -> addProfile(profiles.addObject(), c));
        settings.putObject("limits")
                .put("cancelling", script.proxies().cancelling())
                .put("max_attempts", script.proxies().attempts())
                .put("retry_after", script.proxies().retryAfterMs() > 0)
                .put("max_retry_after_ns", msToNs(script.proxies().retryAfterMs()))
                .put("connect_timeout_ns", msToNs(script.proxies().connectTimeoutMs()))
                .put("keepalive_ns", 15_000_000_000L);
        settings.putObject("rules")
                .put("start_capacity", script.rules().startCapacity())
                .put("cold_ns", msToNs(script.rules().coldS() * 1000))
                .put("tip_multiple", script.rules().tipMultiple())
                .put("fall_ns", msToNs(script.rules().fallS() * 1000))
                .put("drain_grace_ns", msToNs(script.rules().drainGraceMs()));
    }

    private static void addProfile(ObjectNode profile, RequestClass requestClass) {
        profile.put("name", requestClass.name())
                .put("effect", requestClass.effect().name().toLowerCase(Locale.ROOT))
                .put("dedup_scope", requestClass.scope().name().toLowerCase(Locale.ROOT))
                .put("window_ns", msToNs(requestClass.windowMs()))
                .put("promise_ns", msToNs(requestClass.latencyTargetMs()))
                .put("give_up_ns", msToNs(requestClass.giveUpMs()))
                .put("worth", requestClass.worth());
    }

    private static long msToNs(double ms) {
        return (long) (ms * 1e6);
    }

    private static String hostPort(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }
}
