package gullspar.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gullspar.proxy.Proxy;
import gullspar.proxy.config.Config;
import gullspar.proxy.config.ConfigException;
import gullspar.proxy.config.Json;
import gullspar.proxy.io.Clock;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

/**
 * Hollow proxies: instances of the daemon's own {@link Proxy}, each with an event loop and thread of its own as in
 * service, and with a listener that gets no connections.
 */
final class HollowProxies implements HollowProcess.CommandHandler {
    private final ObjectNode template;
    private final List<RecordingBalancer> modules = new ArrayList<>();
    private final List<Proxy> proxies = new ArrayList<>();
    private final AtomicLong connects = new AtomicLong();
    private final AtomicLong failures = new AtomicLong();
    private volatile String lastFailure = "";

    HollowProxies(Path config) throws IOException {
        template = (ObjectNode) Json.read(Files.readAllBytes(config));
    }

    @Override
    public String handle(String[] command) throws IOException, ConfigException {
        return switch (command[0]) {
            case "start" -> start(
                    Integer.parseInt(command[1]),
                    Integer.parseInt(command[2]),
                    List.of(command).subList(3, command.length));
            case "heard" -> receivedAt(Long.parseLong(command[1]));
            case "connects" -> Long.toString(connects.get());
            case "failures" -> failures.get() + " " + lastFailure;
            default -> null;
        };
    }

    /**
     * Starts {@code count} proxies from number {@code first} on; {@code discovery} holds the address of each zone.
     */
    private String start(int first, int count, List<String> discovery) throws IOException, ConfigException {
        for (int i = first; i < first + count; i++) {
            NodeConfig.setNumber(template, i);
            template.put("discovery", discovery.get(i % discovery.size()));
            Config config = Config.parse(template, Map.of());
            EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
            Platform platform =
                    new Platform(loop, Clock.system(), countingTransport(Transport.tcp(loop)), this::onLogLine);
            proxies.add(Proxy.start(config, platform, (settings, seed, now, out) -> {
                RecordingBalancer m = new RecordingBalancer(settings, seed, now, out);
                modules.add(m);
                return m;
            }));
        }
        return Integer.toString(proxies.size());
    }

    private void onLogLine(String line) {
        if (line.contains("failed") || line.contains("not understood")) {
            failures.incrementAndGet();
            lastFailure = line;
        }
    }

    private Transport countingTransport(Transport tcp) {
        return new Transport() {
            @Override
            public Bootstrap clientBootstrap(InetSocketAddress address) {
                connects.incrementAndGet();
                return tcp.clientBootstrap(address);
            }

            @Override
            public ServerBootstrap serverBootstrap(InetSocketAddress address) {
                return tcp.serverBootstrap(address);
            }
        };
    }

    /** Returns when each proxy received the version, -1 if it has not, separated by spaces. */
    private String receivedAt(long version) {
        return modules.stream().map(m -> Long.toString(m.receivedAtNs(version))).collect(Collectors.joining(" "));
    }

    /** Keeps the configuration reachable, since the heap that the proxies hold is measured. */
    JsonNode template() {
        return template;
    }
}
