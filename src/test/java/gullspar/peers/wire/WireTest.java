package gullspar.peers.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import gullspar.peers.Facts;
import gullspar.peers.Identity;
import gullspar.peers.MemberState;
import gullspar.peers.MemberStatus;
import gullspar.peers.Message;
import gullspar.peers.Phase;
import gullspar.peers.Rumor;
import gullspar.peers.Statement;
import gullspar.peers.TrafficStats;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Encoding of messages and datagrams, and handling of malformed ones. */
class WireTest {
    private static final byte[] FIRST_KEY = new byte[32];
    private static final byte[] SECOND_KEY = new byte[40];

    static {
        Arrays.fill(SECOND_KEY, (byte) 7);
    }

    private static Arbitrary<String> names() {
        return Arbitraries.strings()
                .withCharRange('a', 'z')
                .withChars("._-0")
                .ofMinLength(1)
                .ofMaxLength(32);
    }

    private static Arbitrary<Identity> identities() {
        return Combinators.combine(names(), Arbitraries.longs()).as(Identity::new);
    }

    private static Arbitrary<Statement> statements(Identity id) {
        Arbitrary<TrafficStats> stats = Combinators.combine(
                        Arbitraries.floats(),
                        Arbitraries.floats(),
                        Arbitraries.integers().greaterOrEqual(0))
                .as(TrafficStats::new);
        Arbitrary<Facts> facts = Combinators.combine(
                        names(),
                        Arbitraries.integers().greaterOrEqual(0),
                        Arbitraries.bytes().array(byte[].class).ofMaxSize(200))
                .as((n, v, b) -> Facts.NONE.with(n, v, b));
        return Combinators.combine(
                        Arbitraries.integers().greaterOrEqual(1),
                        names(),
                        names(),
                        Arbitraries.of(Phase.class),
                        Arbitraries.longs().between(0, 1L << 40),
                        Arbitraries.longs(),
                        stats,
                        facts)
                .as((r, a, z, p, up, twin, f, x) -> new Statement(id, r, a, z, z, a, p, up, twin, r, f, x));
    }

    private static Arbitrary<Rumor> rumors() {
        return identities().flatMap(id -> Combinators.combine(
                        Arbitraries.integers().between(0, MemberState.MAX_INCARNATION),
                        Arbitraries.of(MemberStatus.class),
                        names(),
                        Arbitraries.longs().between(0, 1L << 40),
                        statements(id).injectNull(0.5))
                .as((incarnation, status, accuser, ageMs, statement) ->
                        new Rumor(id, incarnation, status, accuser, ageMs, statement, ageMs / 2)));
    }

    @Provide
    Arbitrary<Message> messages() {
        Arbitrary<Message.Header> headers = Combinators.combine(
                        identities(),
                        Arbitraries.integers().between(0, MemberState.MAX_INCARNATION),
                        names(),
                        Arbitraries.longs().greaterOrEqual(1))
                .as(Message.Header::new);
        Arbitrary<List<Rumor>> rumors = rumors().list().ofMaxSize(3);
        return Combinators.combine(
                        headers,
                        Arbitraries.longs(),
                        identities(),
                        names(),
                        rumors,
                        Arbitraries.integers().between(0, 7))
                .as((h, n, id, a, r, kind) -> switch (kind) {
                    case 0 -> new Message.Ping(h, n, id.life(), n > 0, r);
                    case 1 -> new Message.Ack(h, n, id, 5, r);
                    case 2 -> new Message.PingReq(h, n, id, a, r);
                    case 3 -> new Message.Nack(h, n, r);
                    case 4 -> new Message.News(h, r);
                    case 5 -> new Message.Digest(h, List.of(n, id.life(), 0L));
                    case 6 -> new Message.Listing(
                            h, n, id.life(), List.of(new Message.KnownState(n, 4, MemberStatus.GONE, 9)));
                    default -> new Message.Want(h, List.of(n, -n));
                });
    }

    @Property(tries = 500, seed = "102")
    void messagesRoundTrip(@ForAll("messages") Message m) throws IOException {
        byte[] bytes = Codec.encode(m);
        assertEquals(m, Codec.decode(bytes, 0, bytes.length));
    }

    /** Arbitrary, truncated or modified bytes give an IOException or another message, nothing else. */
    @Property(tries = 1000, seed = "103")
    void corruptBytesFailWithIOExceptionOnly(
            @ForAll("messages") Message m, @ForAll byte[] noise, @ForAll int at, @ForAll byte b) {
        byte[] bytes = Codec.encode(m);
        byte[] flipped = bytes.clone();
        flipped[Math.floorMod(at, bytes.length)] ^= b;
        for (byte[] received : List.of(noise, flipped, Arrays.copyOf(bytes, Math.floorMod(at, bytes.length)))) {
            try {
                Codec.decode(received, 0, received.length);
            } catch (IOException e) {
                assertTrue(e.getMessage() != null);
            }
        }
    }

    @Property(tries = 300, seed = "104")
    void onlyUnchangedAuthenticatedDatagramsAreAccepted(@ForAll("messages") Message m, @ForAll int at, @ForAll byte b) {
        Envelope e = new Envelope(List.of(FIRST_KEY));
        byte[] message = Codec.encode(m);
        byte[] sealed = e.seal(message);
        if (sealed.length > Message.MAX_DATAGRAM_BYTES) {
            assertEquals(Envelope.Refusal.SIZE, e.open(sealed));
            return;
        }
        assertNull(e.open(sealed));
        assertArrayEquals(message, Arrays.copyOfRange(sealed, Envelope.messageOffset(), sealed.length));
        if (b != 0) {
            sealed[Math.floorMod(at, sealed.length)] ^= b;
            assertTrue(e.open(sealed) != null);
        }
        assertEquals(Envelope.Refusal.KEY, new Envelope(List.of(SECOND_KEY)).open(e.seal(message)));
    }

    @Test
    void keyRotationInThreeStepsLosesNoDatagram() {
        Envelope old = new Envelope(List.of(FIRST_KEY));
        Envelope acceptsBoth = new Envelope(List.of(FIRST_KEY, SECOND_KEY));
        Envelope sealsWithNew = new Envelope(List.of(SECOND_KEY, FIRST_KEY));
        Envelope onlyNew = new Envelope(List.of(SECOND_KEY));
        List<List<Envelope>> steps =
                List.of(List.of(old, acceptsBoth), List.of(acceptsBoth, sealsWithNew), List.of(sealsWithNew, onlyNew));
        for (List<Envelope> together : steps) {
            for (Envelope from : together) {
                for (Envelope to : together) {
                    assertNull(to.open(from.seal(new byte[] {1})));
                }
            }
        }
        assertThrows(IllegalArgumentException.class, () -> new Envelope(List.of(new byte[31])));
        assertThrows(IllegalArgumentException.class, () -> new Envelope(List.of()));
    }

    /** A newer version appends fields to arrays, and sends unknown kinds of messages. */
    @Test
    void fieldsAndKindsOfNewerVersionsAreSkipped() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator g = new CBORFactory().createGenerator(bytes)) {
            g.writeStartArray();
            g.writeNumber(4);
            g.writeStartArray();
            g.writeString("p1");
            g.writeNumber(5L);
            g.writeNumber(2);
            g.writeString("a:1");
            g.writeNumber(9L);
            g.writeString("more");
            g.writeEndArray();
            g.writeNumber(77L);
            g.writeStartArray();
            g.writeEndArray();
            g.writeStartObject();
            g.writeNumberField("more", 1);
            g.writeEndObject();
            g.writeEndArray();
        }
        byte[] b = bytes.toByteArray();
        assertEquals(
                new Message.Nack(new Message.Header(new Identity("p1", 5), 2, "a:1", 9), 77, List.of()),
                Codec.decode(b, 0, b.length));
        ByteArrayOutputStream unknown = new ByteArrayOutputStream();
        try (JsonGenerator g = new CBORFactory().createGenerator(unknown)) {
            g.writeStartArray();
            g.writeNumber(99);
            g.writeEndArray();
        }
        assertNull(Codec.decode(unknown.toByteArray(), 0, unknown.size()));
    }

    /** The size that the state machine assumes is never below the encoded size. */
    @Property(tries = 500, seed = "105")
    void estimatedSizesAreUpperBounds(@ForAll("messages") Message m) {
        int estimated = Message.MAX_ENVELOPE_BYTES + m.maxBytes();
        assertTrue(
                new Envelope(List.of(FIRST_KEY)).seal(Codec.encode(m)).length <= estimated,
                () -> m + " takes more than " + estimated);
    }
}
