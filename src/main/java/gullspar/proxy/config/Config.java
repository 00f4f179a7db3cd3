package gullspar.proxy.config;

import com.fasterxml.jackson.databind.JsonNode;
import gullspar.decide.Balancer.Profile;
import gullspar.decide.Balancer.Settings;
import gullspar.settings.SettingsException;
import gullspar.settings.SettingsParser;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The configuration of a proxy: the file at NODE_CONFIG; at startup NODE_LISTEN, NODE_DISCOVERY and NODE_OPERATOR
 * override it. The index of a name in its list identifies it for the module. sockets: the maximum number of
 * descriptors for connections; known: the known list of backends, used until discovery answers; operator: the address
 * of the operator endpoint, null for none; inherited: the platform holds the client listener (descriptor 0), and a
 * second process may take over; operatorsFile: the operators' settings for this process, null for none; name: the
 * platform's name for this process, null for none.
 */
public record Config(
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        JsonNode known,
        Settings settings,
        List<String> classes,
        List<String> tenants,
        List<String> zones,
        List<String> kinds,
        long connectTimeoutNs,
        long keepAliveNs,
        long drainGraceNs,
        InetSocketAddress operator,
        boolean inherited,
        Path operatorsFile,
        String name) {

    /** Reads the file that the environment names. */
    public static Config read(Map<String, String> environment) throws ConfigException {
        Path path = file(environment).orElseThrow(() -> new ConfigException("NODE_CONFIG is not set"));
        JsonNode root;
        try {
            root = Json.read(Files.readAllBytes(path));
        } catch (IOException e) {
            // The parser's message spans several lines; the first one gives the reason.
            throw new ConfigException("cannot read " + path + ": "
                    + e.getMessage().lines().findFirst().orElse(""));
        }
        return parse(root, environment);
    }

    /** The path of the configuration file, if the environment names one. */
    public static Optional<Path> file(Map<String, String> environment) {
        return Optional.of(environment.getOrDefault("NODE_CONFIG", ""))
                .filter(p -> !p.isEmpty())
                .map(Path::of);
    }

    /**
     * Reads the configuration again. The discovery address may change after startup, so the file's takes precedence
     * over that of the environment, which is still that of startup. What a start accepts is accepted here: a file that
     * is still being written ends before its document does.
     */
    public static Config reload(Map<String, String> environment) throws ConfigException {
        Map<String, String> effective = new HashMap<>(environment);
        effective.remove("NODE_DISCOVERY");
        return read(effective);
    }

    /** The longest deadline of any class. */
    public long maxDeadlineNs() {
        return settings.profiles().stream()
                .mapToLong(Profile::clientTimeoutNs)
                .max()
                .orElse(0);
    }

    /** Parses a configuration; variables of the environment override the addresses in it. */
    public static Config parse(JsonNode root, Map<String, String> environment) throws ConfigException {
        JsonNode settings = root.path("settings");
        Map<String, String> flat = new HashMap<>();
        flatten("", settings, flat);
        requirePositive(settings, "/limits/max_attempts");
        for (JsonNode p : settings.path("profiles")) {
            requirePositive(p, "/promise_ns");
            requirePositive(p, "/give_up_ns");
        }
        List<String> classes = names(settings.path("profiles"));
        if (classes.contains("") || Set.copyOf(classes).size() < classes.size()) {
            throw new ConfigException("settings.profiles: a name is missing or duplicated: " + classes);
        }
        String descriptor = environment.getOrDefault("NODE_SOCKET_FD", "");
        if (!descriptor.isEmpty() && !descriptor.equals("0")) {
            throw new ConfigException("NODE_SOCKET_FD is '" + descriptor + "': only descriptor 0 can be taken over");
        }
        try {
            return new Config(
                    parseAddress("NODE_LISTEN", environment, root.path("listen")),
                    parseAddress("NODE_DISCOVERY", environment, root.path("discovery")),
                    Long.parseUnsignedLong(root.path("seed").asText("0"), 16),
                    // Two processes share the limit during a takeover.
                    (int) requirePositive(root, "/limits/sockets") / (descriptor.isEmpty() ? 1 : 2),
                    root.path("known"),
                    SettingsParser.parse(flat).settings(),
                    classes,
                    names(settings.path("tenants")),
                    names(settings.path("zones")),
                    names(settings.path("skus")),
                    requirePositive(settings, "/limits/connect_timeout_ns"),
                    requirePositive(settings, "/limits/keepalive_ns"),
                    requirePositive(settings, "/rules/drain_grace_ns"),
                    parseOperatorAddress(environment, root),
                    !descriptor.isEmpty(),
                    root.hasNonNull("operators_file")
                            ? Path.of(root.path("operators_file").asText())
                            : null,
                    environment.getOrDefault("NODE_NAME", root.path("name").asText(null)));
        } catch (NumberFormatException e) {
            throw new ConfigException(
                    "seed is not a hexadecimal number: " + root.path("seed").asText());
        } catch (SettingsException e) {
            throw new ConfigException(e.getMessage());
        }
    }

    /** Flattens the settings to path and value, the format of the simulator's protocol. */
    private static void flatten(String path, JsonNode node, Map<String, String> flat) {
        String prefix = path.isEmpty() ? "" : path + ".";
        if (node.isObject()) {
            node.properties().forEach(e -> flatten(prefix + e.getKey(), e.getValue(), flat));
        } else if (node.isArray() && node.path(0).isContainerNode()) {
            flat.put(prefix + "count", String.valueOf(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(prefix + i, node.get(i), flat);
            }
        } else if (node.isArray()) {
            flat.put(path, String.join(",", names(node)));
        } else {
            flat.put(path, node.asText());
        }
    }

    private static InetSocketAddress parseOperatorAddress(Map<String, String> environment, JsonNode root)
            throws ConfigException {
        boolean isSet = root.has("operator") || environment.containsKey("NODE_OPERATOR");
        return isSet ? parseAddress("NODE_OPERATOR", environment, root.path("operator")) : null;
    }

    private static List<String> names(JsonNode list) {
        List<String> names = new ArrayList<>();
        list.forEach(n -> names.add(n.isObject() ? n.path("name").asText() : n.asText()));
        return List.copyOf(names);
    }

    private static long requirePositive(JsonNode node, String pointer) throws ConfigException {
        long value = node.at(pointer).asLong(0);
        if (value <= 0) {
            throw new ConfigException(pointer.substring(1).replace('/', '.') + " is missing or not positive: '"
                    + node.at(pointer).asText() + "'");
        }
        return value;
    }

    private static InetSocketAddress parseAddress(String variable, Map<String, String> environment, JsonNode node)
            throws ConfigException {
        String text = environment.getOrDefault(variable, node.asText(""));
        InetSocketAddress address = parseAddress(text);
        if (address == null) {
            throw new ConfigException(variable + " is not an IP address and port: '" + text + "'");
        }
        return address;
    }

    /** Parses an IP address and port; null if invalid. No name lookup is made, as there is no DNS. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        InetAddress ip = NetUtil.createInetAddressFromIpAddressString(text.substring(0, Math.max(0, colon)));
        if (ip == null) {
            return null;
        }
        try {
            return new InetSocketAddress(ip, Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
