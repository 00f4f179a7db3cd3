package gullspar.benchmarks;

import gullspar.peers.Change;
import gullspar.peers.Facts;
import gullspar.peers.TrafficStats;
import gullspar.peers.Identity;
import gullspar.peers.Message;
import gullspar.peers.Outbox;
import gullspar.peers.Peers;
import gullspar.peers.Phase;
import gullspar.peers.Rumor;
import gullspar.peers.Settings;
import gullspar.peers.MemberStatus;
import gullspar.peers.Statement;
import gullspar.peers.wire.Codec;
import gullspar.peers.wire.Envelope;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the processing of a datagram of the fleet view: a ping with six rumors that the receiver already
 * knows, from one member after another, encoded, sealed, opened, decoded, applied and acknowledged.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 5, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(2)
public class FleetBenchmark {
    private static final long S = 1_000_000_000L;
    private static final int RUMORS_PER_PING = 6;

    /** Number of members, including the measured one. */
    @Param({"10", "100", "1000"})
    public int members;

    private final Envelope envelope = new Envelope(List.of(new byte[Envelope.MIN_KEY_BYTES]));
    private final List<Statement> others = new ArrayList<>();
    private final List<Message> out = new ArrayList<>();
    private final List<Identity> asked = new ArrayList<>();
    private Peers peers;
    private long[] sequenceNumbers;
    private long now = 1000 * S;
    private int lastSender;
    private long responseBytes;

    /** Adds all other members, each confirmed by an ack. */
    @Setup
    public void joinMembers() {
        Random random = new Random(5);
        for (int i = 1; i < members; i++) {
            others.add(new Statement(new Identity("p" + i, random.nextLong()), 1, "10.0." + i / 250 + "."
                    + (1 + i % 250) + ":7946", "zone", "0.1.0", "0badcafe", Phase.SERVING, 100_000, 0, 0,
                    new TrafficStats(50, 1, 3), Facts.NONE));
        }
        sequenceNumbers = new long[members];
        peers = new Peers(Settings.withInterval(S), new Statement(new Identity("me", 1), 1, "10.1.0.1:7946", "zone",
                "0.1.0", "0badcafe", Phase.SERVING, 0, 0, 0, TrafficStats.NONE, Facts.NONE), List.of(), random,
                new Outbox() {
                    @Override
                    public void send(String to, Message m) {
                        out.add(m);
                    }

                    @Override
                    public void onChange(Change c) {
                        // changes have no listener here
                    }
                }, now);
        for (int i = 0; i < others.size(); i++) {
            Statement s = others.get(i);
            out.clear();
            now += S / 10;
            peers.receive(now, new Message.Ping(header(i), 7, 1, true, List.of()));
            long nonce = out.stream().filter(m -> m instanceof Message.Ping).mapToLong(m ->
                    ((Message.Ping) m).nonce()).findFirst().orElseThrow();
            peers.receive(now, new Message.Ack(header(i), nonce, s.id(), 0, List.of(rumor(s))));
        }
        if (peers.size() != members) {
            throw new IllegalStateException("joined " + peers.size() + " of " + members);
        }
    }

    private Message.Header header(int i) {
        Statement s = others.get(i);
        return new Message.Header(s.id(), 0, s.address(), ++sequenceNumbers[i]);
    }

    private static Rumor rumor(Statement s) {
        return new Rumor(s.id(), 0, MemberStatus.ALIVE, "", 0, s, 100);
    }

    private byte[] ping() {
        int i = lastSender = (lastSender + 1) % others.size();
        List<Rumor> rumors = new ArrayList<>();
        for (int k = 1; k <= RUMORS_PER_PING; k++) {
            rumors.add(rumor(others.get((i + k) % others.size())));
        }
        return envelope.seal(Codec.encode(new Message.Ping(header(i), 7, 1, false, rumors)));
    }

    /** Encodes and seals a ping. */
    @Benchmark
    public byte[] encode() {
        return ping();
    }

    /** Encodes and seals a ping, opens, decodes and applies it, and encodes and seals the response. */
    @Benchmark
    public long roundTrip() throws IOException {
        byte[] datagram = ping();
        if (envelope.open(datagram) != null) {
            throw new IllegalStateException("datagram refused");
        }
        out.clear();
        peers.receive(now, Codec.decode(datagram, Envelope.messageOffset(), datagram.length - Envelope.messageOffset()));
        for (Message m : out) {
            responseBytes += envelope.seal(Codec.encode(m)).length;
        }
        return responseBytes;
    }
}
