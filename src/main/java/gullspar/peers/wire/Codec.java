package gullspar.peers.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import gullspar.peers.Facts;
import gullspar.peers.Identity;
import gullspar.peers.MemberStatus;
import gullspar.peers.Message;
import gullspar.peers.Phase;
import gullspar.peers.Rumor;
import gullspar.peers.Statement;
import gullspar.peers.TrafficStats;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Messages as CBOR (RFC 8949): arrays with positional fields. Readers skip fields after those that they know, and
 * messages of unknown kinds; data that newer versions add to a member goes into its facts, which are passed on
 * unchanged. {@code docs/fleet-design.md} has the table.
 */
public final class Codec {
    private static final int PING = 1;
    private static final int ACK = 2;
    private static final int PING_REQ = 3;
    private static final int NACK = 4;
    private static final int NEWS = 5;
    private static final int DIGEST = 6;
    private static final int LISTING = 7;
    private static final int WANT = 8;
    /** A larger age would overflow when it is converted from ms to ns and added to other times. */
    private static final long MAX_AGE_MS = Long.MAX_VALUE / 4_000_000;

    private static final CBORFactory CBOR = new CBORFactory();

    private Codec() {}

    // ---- writing ----

    /** Encodes a message. */
    public static byte[] encode(Message m) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(Message.MAX_DATAGRAM_BYTES);
        try (JsonGenerator g = CBOR.createGenerator(bytes)) {
            write(g, m);
        } catch (IOException e) {
            throw new UncheckedIOException(e); // an in-memory stream does not fail
        }
        return bytes.toByteArray();
    }

    /** Starts the array of a message with its kind and header; fields: the number of elements that follow. */
    private static void begin(JsonGenerator g, int kind, Message.Header h, int fields) throws IOException {
        g.writeStartArray(null, fields + 2);
        g.writeNumber(kind);
        g.writeStartArray(null, 5);
        g.writeString(h.from().name());
        g.writeNumber(h.from().life());
        g.writeNumber(h.incarnation());
        g.writeString(h.address());
        g.writeNumber(h.sequenceNumber());
        g.writeEndArray();
    }

    private static void write(JsonGenerator g, Message m) throws IOException {
        if (m instanceof Message.Ping p) {
            begin(g, PING, p.header(), 4);
            g.writeNumber(p.nonce());
            g.writeNumber(p.targetLife());
            g.writeBoolean(p.requestsStatement());
            writeRumors(g, p.rumors());
        } else if (m instanceof Message.Ack a) {
            begin(g, ACK, a.header(), 5);
            g.writeNumber(a.nonce());
            writeIdentity(g, a.subject());
            g.writeNumber(a.incarnation());
            writeRumors(g, a.rumors());
        } else if (m instanceof Message.PingReq r) {
            begin(g, PING_REQ, r.header(), 5);
            g.writeNumber(r.nonce());
            writeIdentity(g, r.target());
            g.writeString(r.address());
            writeRumors(g, r.rumors());
        } else if (m instanceof Message.Nack n) {
            begin(g, NACK, n.header(), 2);
            g.writeNumber(n.nonce());
            writeRumors(g, n.rumors());
        } else if (m instanceof Message.News n) {
            begin(g, NEWS, n.header(), 1);
            writeRumors(g, n.rumors());
        } else if (m instanceof Message.Digest d) {
            begin(g, DIGEST, d.header(), 1);
            writeLongs(g, d.ranges());
        } else if (m instanceof Message.Listing l) {
            begin(g, LISTING, l.header(), 3);
            g.writeNumber(l.from());
            g.writeNumber(l.to());
            g.writeStartArray(null, l.states().size());
            for (Message.KnownState k : l.states()) {
                g.writeStartArray(null, 4);
                g.writeNumber(k.life());
                g.writeNumber(k.incarnation());
                g.writeNumber(k.status().ordinal());
                g.writeNumber(k.revision());
                g.writeEndArray();
            }
            g.writeEndArray();
        } else if (m instanceof Message.Want w) {
            begin(g, WANT, w.header(), 1);
            writeLongs(g, w.lives());
        }
        g.writeEndArray();
    }

    private static void writeIdentity(JsonGenerator g, Identity id) throws IOException {
        g.writeString(id.name());
        g.writeNumber(id.life());
    }

    private static void writeLongs(JsonGenerator g, List<Long> all) throws IOException {
        g.writeStartArray(null, all.size());
        for (long l : all) {
            g.writeNumber(l);
        }
        g.writeEndArray();
    }

    private static void writeRumors(JsonGenerator g, List<Rumor> rumors) throws IOException {
        g.writeStartArray(null, rumors.size());
        for (Rumor r : rumors) {
            g.writeStartArray(null, 8);
            writeIdentity(g, r.id());
            g.writeNumber(r.incarnation());
            g.writeNumber(r.status().ordinal());
            g.writeString(r.accuser());
            g.writeNumber(r.statusAgeMs());
            if (r.statement() == null) {
                g.writeNull();
            } else {
                writeStatement(g, r.statement());
            }
            g.writeNumber(r.statementAgeMs());
            g.writeEndArray();
        }
        g.writeEndArray();
    }

    private static void writeStatement(JsonGenerator g, Statement s) throws IOException {
        g.writeStartArray(null, 13);
        g.writeNumber(s.revision());
        g.writeString(s.address());
        g.writeString(s.zone());
        g.writeString(s.version());
        g.writeString(s.config());
        g.writeNumber(s.phase().ordinal());
        g.writeNumber(s.upMs());
        g.writeNumber(s.twinLife());
        g.writeNumber(s.viewDigest());
        g.writeNumber(s.stats().requestsPerSecond());
        g.writeNumber(s.stats().refusedPerSecond());
        g.writeNumber(s.stats().pending());
        g.writeStartArray(null, 3 * s.facts().all().size());
        for (Map.Entry<String, Facts.Fact> f : s.facts().all().entrySet()) {
            g.writeString(f.getKey());
            g.writeNumber(f.getValue().version());
            g.writeBinary(f.getValue().value());
        }
        g.writeEndArray();
        g.writeEndArray();
    }

    // ---- reading ----

    /** Decodes a message; null if its kind is unknown. Throws an IOException if it is malformed. */
    public static Message decode(byte[] bytes, int from, int length) throws IOException {
        try (JsonParser p = CBOR.createParser(bytes, from, length)) {
            expectArray(p.nextToken());
            int kind = readNumber(p, 0, Integer.MAX_VALUE);
            Message m = readMessage(p, kind);
            if (m != null) {
                skipToEnd(p);
            }
            return m;
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static Message readMessage(JsonParser p, int kind) throws IOException {
        if (kind < PING || kind > WANT) {
            return null;
        }
        Message.Header h = readHeader(p);
        return switch (kind) {
            case PING -> new Message.Ping(h, readNumber(p), readNumber(p), readBoolean(p), readRumors(p));
            case ACK -> new Message.Ack(
                    h, readNumber(p), readIdentity(p), readNumber(p, 0, Integer.MAX_VALUE), readRumors(p));
            case PING_REQ -> new Message.PingReq(h, readNumber(p), readIdentity(p), readAddress(p), readRumors(p));
            case NACK -> new Message.Nack(h, readNumber(p), readRumors(p));
            case NEWS -> new Message.News(h, readRumors(p));
            case DIGEST -> new Message.Digest(h, readLongs(p));
            case LISTING -> new Message.Listing(h, readNumber(p), readNumber(p), readKnownStates(p));
            default -> new Message.Want(h, readLongs(p));
        };
    }

    private static void expectArray(JsonToken t) throws IOException {
        if (t != JsonToken.START_ARRAY) {
            throw new IOException("expected an array");
        }
    }

    /** Skips fields that a newer version appended. */
    private static void skipToEnd(JsonParser p) throws IOException {
        for (JsonToken t = p.nextToken(); t != JsonToken.END_ARRAY; t = p.nextToken()) {
            if (t == null) {
                throw new IOException("unexpected end of the message");
            }
            p.skipChildren();
        }
    }

    private static long readNumber(JsonParser p) throws IOException {
        if (p.nextToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new IOException("expected an integer");
        }
        return p.getLongValue();
    }

    private static int readNumber(JsonParser p, int min, int max) throws IOException {
        long n = readNumber(p);
        if (n < min || n > max) {
            throw new IOException("number out of range");
        }
        return (int) n;
    }

    private static long readAge(JsonParser p) throws IOException {
        long n = readNumber(p);
        if (n < 0 || n > MAX_AGE_MS) {
            throw new IOException("age out of range");
        }
        return n;
    }

    private static float readFiniteFloat(JsonParser p) throws IOException {
        if (!p.nextToken().isNumeric() || !Float.isFinite(p.getFloatValue())) {
            throw new IOException("expected a finite number");
        }
        return p.getFloatValue();
    }

    private static boolean readBoolean(JsonParser p) throws IOException {
        JsonToken t = p.nextToken();
        if (t != JsonToken.VALUE_TRUE && t != JsonToken.VALUE_FALSE) {
            throw new IOException("expected a boolean");
        }
        return t == JsonToken.VALUE_TRUE;
    }

    private static String readText(JsonParser p) throws IOException {
        if (p.nextToken() != JsonToken.VALUE_STRING) {
            throw new IOException("expected a string");
        }
        return p.getText();
    }

    private static String readAddress(JsonParser p) throws IOException {
        String a = readText(p);
        if (a.isEmpty() || a.length() > Statement.MAX_ADDRESS_LENGTH) {
            throw new IOException("expected an address");
        }
        return a;
    }

    private static Message.Header readHeader(JsonParser p) throws IOException {
        expectArray(p.nextToken());
        Message.Header h =
                new Message.Header(readIdentity(p), readNumber(p, 0, Integer.MAX_VALUE), readAddress(p), readNumber(p));
        skipToEnd(p);
        return h;
    }

    private static Identity readIdentity(JsonParser p) throws IOException {
        return new Identity(readText(p), readNumber(p));
    }

    private static List<Long> readLongs(JsonParser p) throws IOException {
        List<Long> all = new ArrayList<>();
        expectArray(p.nextToken());
        for (JsonToken t = p.nextToken(); t != JsonToken.END_ARRAY; t = p.nextToken()) {
            if (t != JsonToken.VALUE_NUMBER_INT) {
                throw new IOException("expected an integer");
            }
            all.add(p.getLongValue());
        }
        return all;
    }

    private static List<Message.KnownState> readKnownStates(JsonParser p) throws IOException {
        List<Message.KnownState> all = new ArrayList<>();
        expectArray(p.nextToken());
        for (JsonToken t = p.nextToken(); t != JsonToken.END_ARRAY; t = p.nextToken()) {
            expectArray(t);
            all.add(new Message.KnownState(
                    readNumber(p),
                    readNumber(p, 0, Integer.MAX_VALUE),
                    readStatus(p),
                    readNumber(p, 0, Integer.MAX_VALUE)));
            skipToEnd(p);
        }
        return all;
    }

    private static MemberStatus readStatus(JsonParser p) throws IOException {
        return MemberStatus.values()[readNumber(p, 0, MemberStatus.values().length - 1)];
    }

    private static List<Rumor> readRumors(JsonParser p) throws IOException {
        List<Rumor> all = new ArrayList<>();
        expectArray(p.nextToken());
        for (JsonToken t = p.nextToken(); t != JsonToken.END_ARRAY; t = p.nextToken()) {
            expectArray(t);
            Identity id = readIdentity(p);
            int incarnation = readNumber(p, 0, Integer.MAX_VALUE);
            MemberStatus status = readStatus(p);
            String accuser = readText(p);
            long statusAgeMs = readAge(p);
            Statement s = p.nextToken() == JsonToken.VALUE_NULL ? null : readStatement(p, id);
            all.add(new Rumor(id, incarnation, status, accuser, statusAgeMs, s, readAge(p)));
            skipToEnd(p);
        }
        return all;
    }

    private static Statement readStatement(JsonParser p, Identity id) throws IOException {
        expectArray(p.currentToken());
        int revision = readNumber(p, 1, Integer.MAX_VALUE);
        String address = readAddress(p);
        String zone = readText(p);
        String version = readText(p);
        String config = readText(p);
        Phase phase = Phase.values()[readNumber(p, 0, Phase.values().length - 1)];
        long upMs = readAge(p);
        long twinLife = readNumber(p);
        int viewDigest = readNumber(p, Integer.MIN_VALUE, Integer.MAX_VALUE);
        TrafficStats stats =
                new TrafficStats(readFiniteFloat(p), readFiniteFloat(p), readNumber(p, 0, Integer.MAX_VALUE));
        Facts facts = readFacts(p);
        skipToEnd(p);
        return new Statement(
                id, revision, address, zone, version, config, phase, upMs, twinLife, viewDigest, stats, facts);
    }

    private static Facts readFacts(JsonParser p) throws IOException {
        Map<String, Facts.Fact> facts = new TreeMap<>();
        expectArray(p.nextToken());
        for (JsonToken t = p.nextToken(); t != JsonToken.END_ARRAY; t = p.nextToken()) {
            if (t != JsonToken.VALUE_STRING) {
                throw new IOException("expected the name of a fact");
            }
            String name = p.getText();
            int version = readNumber(p, 0, Integer.MAX_VALUE);
            if (p.nextToken() != JsonToken.VALUE_EMBEDDED_OBJECT) {
                throw new IOException("expected a byte string");
            }
            facts.put(name, new Facts.Fact(version, p.getBinaryValue()));
        }
        return Facts.of(facts);
    }
}
