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
 * The proxies' view of the fleet on a live day: their files, the relay between them, and questions to each.
 */
final class LiveFleet {
    private static final Duration PATIENCE = Duration.ofMillis(900);
    private static final int SEEDS = 3;

    private final Script script;
    private final List<String> proxies;
    private final Path folder;
    private final EventLoop loop;
    private final LongSupplier clock;
    private final Consumer<FleetSnapshot> heard;
    final Relay relay;
    private final Map<String, InetSocketAddress> operators = new HashMap<>();
    private final Deque<Relay.Place> spare = new ArrayDeque<>();
    private final Map<String, FalseRumorInjector> liars = new HashMap<>();
    private final Map<String, List<Integer>> keys = new HashMap<>();
    /** Those that have not answered yet. */
    private final Map<String, Boolean> asked = new ConcurrentHashMap<>();

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(PATIENCE).build();

    /** Not on the loop. heard: is told, on the loop, how each proxy sees the fleet. */
    LiveFleet(
            Script script,
            Path folder,
            EventLoop loop,
            LongSupplier clock,
            List<String> proxies,
            Consumer<FleetSnapshot> heard)
            throws IOException {
        this.script = script;
        this.folder = folder;
        this.loop = loop;
        this.clock = clock;
        this.heard = heard;
        this.relay = new Relay(loop, script.seed() * 31 + 11);
        List<String> all = new ArrayList<>(proxies);
        if (script.faults().stream().anyMatch(f -> f.kind() == FaultKind.TWIN)) {
            proxies.forEach(p -> all.add(p + EventLog.TWIN));
        }
        int moves = script.faults().stream()
                .filter(f -> f.kind() == FaultKind.MOVE)
                .mapToInt(Fault::count)
                .sum();
        List<InetSocketAddress> udp = Ports.udp(2, all.size() + moves);
        List<InetSocketAddress> tcp = Ports.tcp(3, all.size());
        List<Relay.Place> places = new ArrayList<>();
        udp.forEach(home -> places.add(relay.open(home)));
        for (int i = 0; i < all.size(); i++) {
            operators.put(all.get(i), tcp.get(i));
            relay.move(all.get(i), places.get(i));
        }
        spare.addAll(places.subList(all.size(), places.size()));
        this.proxies = List.copyOf(proxies);
    }

    /** Where the first three proxies are found. */
    private String seeds() {
        return proxies.stream()
                .limit(SEEDS)
                .map(p -> '"' + at(relay.placeOf(p).address()) + '"')
                .collect(Collectors.joining(", "));
    }

    private static String at(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    /** A process's configuration, with what operators have written for it. */
    JsonNode with(String process, JsonNode settings) {
        Path file = folder.resolve(process + ".toml");
        Relay.Place place = relay.placeOf(process);
        try {
            Path keyFile = Files.writeString(
                    folder.resolve(process + ".key"),
                    keysOf(process).stream()
                            .map(n -> HexFormat.of().formatHex(key(n)) + "\n")
                            .collect(Collectors.joining()));
            Files.writeString(
                    file,
                    "[fleet]\nname = \"" + EventLog.baseName(process) + "\"\nbind = \""
                            + at(place.home) + "\"\nadvertise = \"" + at(place.address()) + "\"\nseeds = [" + seeds()
                            + "]\nkey_file = \"" + keyFile + "\"\ninterval_ms = "
                            + script.peers().intervalMs()
                            + "\nwindow_s = " + script.peers().windowS() + "\n");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return ((ObjectNode) settings)
                .put("operators_file", file.toString())
                .put("operator", at(operators.get(process)));
    }

    private List<Integer> keysOf(String process) {
        return keys.getOrDefault(process, List.of(0));
    }

    private byte[] key(int number) {
        byte[] key = new byte[Envelope.MIN_KEY_BYTES];
        new SplittableRandom(script.seed() * 31 + number).nextBytes(key);
        return key;
    }

    /** A process has the keys of those numbers from when it reads its files next. */
    void keys(String process, List<Integer> numbers) {
        keys.put(process, numbers);
    }

    /** See {@link gullspar.rehearse.play.FaultInjector#reassignAddresses}; true if the address of a seed changed. */
    boolean move(List<String> ring) {
        String before = seeds();
        List<Relay.Place> places = ring.size() == 1
                ? List.of(spare.remove())
                : ring.stream().map(relay::placeOf).toList();
        for (int i = 0; i < ring.size(); i++) {
            relay.move(ring.get(i), places.get((i + 1) % places.size()));
        }
        return !seeds().equals(before);
    }

    /** As {@link gullspar.rehearse.play.FaultInjector#setFalseRumors} says. */
    void mad(String process, int forEach) {
        liars.computeIfAbsent(process, p -> {
                    FalseRumorInjector liar = new FalseRumorInjector(
                            () -> new Envelope(keysOf(p).stream().map(this::key).toList()),
                            script.seed() * 31 + 14 + Integer.parseInt(p.substring(1)));
                    proxies.stream().filter(o -> !o.equals(p)).forEach(o -> relay.way(p, o)
                            .falseRumorInjector(liar));
                    return liar;
                })
                .setFalseRumorsPerDatagram(forEach);
    }

    /** Asks each proxy again and again, until the end; alive tells whether one can answer. On the loop. */
    void look(Predicate<String> alive) {
        for (String p : operators.keySet()) {
            if (alive.test(p) && asked.putIfAbsent(p, true) == null) {
                HttpRequest r = HttpRequest.newBuilder(URI.create("http://" + at(operators.get(p)) + "/_fleet"))
                        .timeout(PATIENCE)
                        .build();
                client.sendAsync(r, HttpResponse.BodyHandlers.ofString()).whenComplete((answer, e) -> {
                    asked.remove(p);
                    if (e == null && answer.statusCode() == 200) {
                        loop.execute(() -> heard(p, answer.body()));
                    }
                });
            }
        }
        loop.schedule(() -> look(alive), FleetSnapshot.intervalMs(proxies.size()), TimeUnit.MILLISECONDS);
    }

    private void heard(String process, String answer) {
        try {
            heard.accept(FleetSnapshot.parse(clock.getAsLong(), process, answer));
        } catch (IOException e) {
            throw new UncheckedIOException("a proxy answered what is no view", e);
        }
    }
}
