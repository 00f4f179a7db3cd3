package gullspar.rehearse.live;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gullspar.peers.wire.Envelope;
import gullspar.rehearse.net.FalseRumorInjector;
import gullspar.rehearse.script.Fault;
import gullspar.rehearse.script.FaultKind;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.stage.EventLog;
import gullspar.rehearse.stage.FleetSnapshot;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The fleet's membership protocol on a live day: writes the proxies' operators files and keys, relays their datagrams
 * and polls each proxy for its view of the fleet.
 */
final class LiveFleet {
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(900);
    private static final int SEED_COUNT = 3;

    private final Script script;
    private final List<String> proxies;
    private final Path directory;
    private final EventLoop loop;
    private final LongSupplier clock;
    private final Consumer<FleetSnapshot> onSnapshot;
    final Relay relay;
    private final Map<String, InetSocketAddress> operatorAddresses = new HashMap<>();
    private final Deque<Relay.Endpoint> spareEndpoints = new ArrayDeque<>();
    private final Map<String, FalseRumorInjector> falseRumorInjectors = new HashMap<>();
    private final Map<String, List<Integer>> keyNumbersByProcess = new HashMap<>();
    /** Processes whose response is pending; the values are not used. */
    private final Map<String, Boolean> pendingRequests = new ConcurrentHashMap<>();

    private final HttpClient httpClient =
            HttpClient.newBuilder().connectTimeout(REQUEST_TIMEOUT).build();

    /** Must not be called on the loop. onSnapshot: called on the loop with the view of each polled process. */
    LiveFleet(
            Script script,
            Path directory,
            EventLoop loop,
            LongSupplier clock,
            List<String> proxies,
            Consumer<FleetSnapshot> onSnapshot)
            throws IOException {
        this.script = script;
        this.directory = directory;
        this.loop = loop;
        this.clock = clock;
        this.onSnapshot = onSnapshot;
        this.relay = new Relay(loop, script.seed() * 31 + 11);
        List<String> processes = new ArrayList<>(proxies);
        if (script.faults().stream().anyMatch(f -> f.kind() == FaultKind.TWIN)) {
            proxies.forEach(p -> processes.add(p + EventLog.TWIN));
        }
        int moveCount = script.faults().stream()
                .filter(f -> f.kind() == FaultKind.MOVE)
                .mapToInt(Fault::count)
                .sum();
        List<InetSocketAddress> udp = Ports.freeUdp(2, processes.size() + moveCount);
        List<InetSocketAddress> tcp = Ports.freeTcp(3, processes.size());
        List<Relay.Endpoint> endpoints = new ArrayList<>();
        udp.forEach(address -> endpoints.add(relay.open(address)));
        for (int i = 0; i < processes.size(); i++) {
            operatorAddresses.put(processes.get(i), tcp.get(i));
            relay.move(processes.get(i), endpoints.get(i));
        }
        spareEndpoints.addAll(endpoints.subList(processes.size(), endpoints.size()));
        this.proxies = List.copyOf(proxies);
    }

    /** The addresses of the seeds, as TOML strings. */
    private String seedAddresses() {
        return proxies.stream()
                .limit(SEED_COUNT)
                .map(p -> '"' + hostAndPort(relay.endpointOf(p).advertisedAddress()) + '"')
                .collect(Collectors.joining(", "));
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Writes the operators file and the keys of a process, and adds the file and the operator address to its
     * configuration.
     */
    JsonNode addFleetSettings(String process, JsonNode settings) {
        Path operatorsFile = directory.resolve(process + ".toml");
        Relay.Endpoint endpoint = relay.endpointOf(process);
        try {
            Path keyFile = Files.writeString(
                    directory.resolve(process + ".key"),
                    keyNumbersOf(process).stream()
                            .map(n -> HexFormat.of().formatHex(key(n)) + "\n")
                            .collect(Collectors.joining()));
            Files.writeString(
                    operatorsFile,
                    "[fleet]\nname = \"" + EventLog.baseName(process) + "\"\nbind = \""
                            + hostAndPort(endpoint.bindAddress) + "\"\nadvertise = \""
                            + hostAndPort(endpoint.advertisedAddress()) + "\"\nseeds = [" + seedAddresses()
                            + "]\nkey_file = \"" + keyFile + "\"\ninterval_ms = "
                            + script.peers().intervalMs()
                            + "\nwindow_s = " + script.peers().windowS() + "\n");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return ((ObjectNode) settings)
                .put("operators_file", operatorsFile.toString())
                .put("operator", hostAndPort(operatorAddresses.get(process)));
    }

    private List<Integer> keyNumbersOf(String process) {
        return keyNumbersByProcess.getOrDefault(process, List.of(0));
    }

    private byte[] key(int number) {
        byte[] key = new byte[Envelope.MIN_KEY_BYTES];
        new SplittableRandom(script.seed() * 31 + number).nextBytes(key);
        return key;
    }

    /** Sets the keys of a process by number, the first for sending; takes effect at its next start or reload. */
    void setKeys(String process, List<Integer> keyNumbers) {
        keyNumbersByProcess.put(process, keyNumbers);
    }

    /**
     * Gives each process the endpoint of the next one in the ring, the last that of the first, and a single process
     * a spare one; a process binds there from its next start. Returns whether the address of a seed changed.
     */
    boolean reassignAddresses(List<String> ring) {
        String before = seedAddresses();
        List<Relay.Endpoint> endpoints = ring.size() == 1
                ? List.of(spareEndpoints.remove())
                : ring.stream().map(relay::endpointOf).toList();
        for (int i = 0; i < ring.size(); i++) {
            relay.move(ring.get(i), endpoints.get((i + 1) % endpoints.size()));
        }
        return !seedAddresses().equals(before);
    }

    /** Sets the number of false rumors that follow each datagram of a process; 0 sends none. */
    void setFalseRumors(String process, int perDatagram) {
        falseRumorInjectors
                .computeIfAbsent(process, p -> {
                    FalseRumorInjector injector = new FalseRumorInjector(
                            () -> new Envelope(
                                    keyNumbersOf(p).stream().map(this::key).toList()),
                            script.seed() * 31 + 14 + Integer.parseInt(p.substring(1)));
                    proxies.stream().filter(o -> !o.equals(p)).forEach(o -> relay.link(p, o)
                            .falseRumorInjector(injector));
                    return injector;
                })
                .setFalseRumorsPerDatagram(perDatagram);
    }

    /**
     * Polls each running process, and schedules the next poll, until the loop is shut down. Must be called on the
     * loop.
     */
    void poll(Predicate<String> isRunning) {
        for (String p : operatorAddresses.keySet()) {
            if (isRunning.test(p) && pendingRequests.putIfAbsent(p, true) == null) {
                HttpRequest request = HttpRequest.newBuilder(
                                URI.create("http://" + hostAndPort(operatorAddresses.get(p)) + "/_fleet"))
                        .timeout(REQUEST_TIMEOUT)
                        .build();
                httpClient
                        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
                        .whenComplete((response, e) -> {
                            pendingRequests.remove(p);
                            if (e == null && response.statusCode() == 200) {
                                loop.execute(() -> parseSnapshot(p, response.body()));
                            }
                        });
            }
        }
        loop.schedule(() -> poll(isRunning), FleetSnapshot.intervalMs(proxies.size()), TimeUnit.MILLISECONDS);
    }

    private void parseSnapshot(String process, String response) {
        try {
            onSnapshot.accept(FleetSnapshot.parse(clock.getAsLong(), process, response));
        } catch (IOException e) {
            throw new UncheckedIOException("the response of a proxy to /_fleet is not valid JSON", e);
        }
    }
}
