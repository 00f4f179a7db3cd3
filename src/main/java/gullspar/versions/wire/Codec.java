package gullspar.versions.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import gullspar.versions.Checksum;
import gullspar.versions.Delta;
import gullspar.versions.Document;
import gullspar.versions.Message;
import gullspar.versions.Publisher;
import gullspar.versions.Version;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes messages and stored documents as CBOR (RFC 8949): an array with the kind first, then the fields by
 * position. Unknown trailing fields are skipped, so that a newer release may add some.
 */
public final class Codec {
    /** The content of a stored file. oldest: the version that the first delta applies to. */
    public record StoredDocument(Document document, Version oldest, List<Delta> deltas) {}

    private static final CBORFactory CBOR = new CBORFactory();
    private static final int HELLO = 1;
    private static final int HEAD = 2;
    private static final int UPDATE = 3;
    private static final int SNAPSHOT_REQUEST = 4;
    private static final int ACK = 5;
    private static final int REPORT = 6;
    private static final int PUBLISH = 7;
    private static final int PUBLISHED = 8;
    private static final int STATUS_REQUEST = 9;
    private static final int STATUS_RESPONSE = 10;
    private static final int STORED = 20;

    private Codec() {}

    private interface Writer {
        void write(JsonGenerator g) throws IOException;
    }

    private static byte[] bytes(Writer w) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator g = CBOR.createGenerator(bytes)) {
            w.write(g);
        } catch (IOException e) {
            throw new IllegalStateException("encoding to memory failed", e);
        }
        return bytes.toByteArray();
    }

    // ---- encoding ----

    public static byte[] encode(Message m) {
        return bytes(g -> message(g, m));
    }

    public static byte[] encode(StoredDocument k) {
        return bytes(g -> {
            begin(g, STORED, 4);
            version(g, k.document().version());
            g.writeString(k.document().text());
            version(g, k.oldest());
            deltas(g, k.deltas());
            g.writeEndArray();
        });
    }

    private static void begin(JsonGenerator g, int kind, int fields) throws IOException {
        g.writeStartArray(null, fields + 1);
        g.writeNumber(kind);
    }

    private static void message(JsonGenerator g, Message m) throws IOException {
        if (m instanceof Message.Hello h) {
            begin(g, HELLO, 3);
            g.writeString(h.name());
            g.writeNumber(h.role().ordinal());
            version(g, h.has());
        } else if (m instanceof Message.Head h) {
            begin(g, HEAD, 3);
            g.writeString(h.control());
            version(g, h.head());
            g.writeBoolean(h.inStep());
        } else if (m instanceof Message.Update u) {
            begin(g, UPDATE, 4);
            version(g, u.to());
            version(g, u.ancestor());
            deltas(g, u.deltas());
            g.writeString(u.text());
        } else if (m instanceof Message.SnapshotRequest) {
            begin(g, SNAPSHOT_REQUEST, 0);
        } else if (m instanceof Message.Ack a) {
            begin(g, ACK, 2);
            version(g, a.inForce());
            g.writeString(truncate(a.trouble()));
        } else if (m instanceof Message.Report r) {
            begin(g, REPORT, 1);
            followerStates(g, r.states());
        } else if (m instanceof Message.Publish p) {
            begin(g, PUBLISH, 3);
            g.writeNumber(p.baseNumber());
            g.writeString(p.file());
            g.writeString(p.text());
        } else if (m instanceof Message.Published p) {
            begin(g, PUBLISHED, 3);
            g.writeNumber(p.outcome().ordinal());
            version(g, p.head());
            texts(g, p.lines());
        } else if (m instanceof Message.StatusRequest l) {
            begin(g, STATUS_REQUEST, 1);
            g.writeBoolean(l.full());
        } else if (m instanceof Message.StatusResponse l) {
            begin(g, STATUS_RESPONSE, 7);
            g.writeString(l.control());
            g.writeBoolean(l.primary());
            g.writeBoolean(l.inStep());
            version(g, l.head());
            g.writeNumber(l.followers());
            g.writeNumber(l.inForce());
            followerStates(g, l.states());
        }
        g.writeEndArray();
    }

    private static String truncate(String reason) {
        return reason.length() > Message.MAX_REASON_CHARS ? reason.substring(0, Message.MAX_REASON_CHARS) : reason;
    }

    private static void version(JsonGenerator g, Version v) throws IOException {
        version(g, v, true);
    }

    /** parent: whether the checksum of the predecessor is written as well. */
    private static void version(JsonGenerator g, Version v, boolean parent) throws IOException {
        if (v == null) {
            g.writeNull();
            return;
        }
        g.writeStartArray(null, 4);
        g.writeNumber(v.epoch());
        g.writeNumber(v.number());
        g.writeBinary(v.text().bytes());
        if (parent) {
            g.writeBinary(v.parent().bytes());
        } else {
            g.writeNull();
        }
        g.writeEndArray();
    }

    private static void texts(JsonGenerator g, List<String> all) throws IOException {
        g.writeStartArray(null, all.size());
        for (String t : all) {
            g.writeString(t);
        }
        g.writeEndArray();
    }

    private static void deltas(JsonGenerator g, List<Delta> all) throws IOException {
        g.writeStartArray(null, all.size());
        Version before = null;
        for (Delta d : all) {
            g.writeStartArray(null, 2);
            version(g, d.to(), before == null || !d.to().follows(before));
            before = d.to();
            g.writeStartArray(null, d.hunks().size());
            for (Delta.Hunk h : d.hunks()) {
                g.writeStartArray(null, 3);
                g.writeNumber(h.firstLine());
                g.writeNumber(h.removed());
                texts(g, h.lines());
                g.writeEndArray();
            }
            g.writeEndArray();
            g.writeEndArray();
        }
        g.writeEndArray();
    }

    private static void followerStates(JsonGenerator g, List<Message.FollowerState> all) throws IOException {
        g.writeStartArray(null, all.size());
        for (Message.FollowerState r : all) {
            g.writeStartArray(null, 7);
            g.writeString(r.name());
            g.writeBoolean(r.control());
            g.writeNumber(r.epoch());
            g.writeNumber(r.number());
            g.writeString(truncate(r.trouble()));
            g.writeNumber(r.awayMs());
            g.writeString(r.via());
            g.writeEndArray();
        }
        g.writeEndArray();
    }

    // ---- decoding ----

    private interface Reader<T> {
        T read(JsonParser p, int kind) throws IOException;
    }

    private static <T> T read(byte[] bytes, Reader<T> reader) throws IOException {
        try (JsonParser p = CBOR.createParser(bytes)) {
            requireArray(p.nextToken());
            T t = reader.read(p, (int) number(p, 0, Integer.MAX_VALUE));
            if (t != null) {
                skipToEnd(p);
            }
            return t;
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    /** Decodes a message; null for an unknown kind. Throws IOException for invalid input. */
    public static Message decode(byte[] bytes) throws IOException {
        return read(bytes, Codec::message);
    }

    /** Decodes a stored document; throws IOException for invalid input or a text checksum mismatch. */
    public static StoredDocument decodeStored(byte[] bytes) throws IOException {
        StoredDocument k = read(bytes, (p, kind) -> {
            if (kind != STORED) {
                throw new IOException("expected a stored document, found a message");
            }
            Document d = new Document(require(version(p)), text(p, Document.MAX_CHARS));
            return new StoredDocument(d, version(p), deltas(p));
        });
        if (!Checksum.of(k.document().text()).equals(k.document().version().text())) {
            throw new IOException("text does not match the checksum of version "
                    + k.document().version());
        }
        return k;
    }

    private static Message message(JsonParser p, int kind) throws IOException {
        return switch (kind) {
            case HELLO -> new Message.Hello(name(p), enumValue(p, Message.Role.values()), version(p));
            case HEAD -> new Message.Head(name(p), version(p), flag(p));
            case UPDATE -> new Message.Update(require(version(p)), version(p), deltas(p), text(p, Document.MAX_CHARS));
            case SNAPSHOT_REQUEST -> new Message.SnapshotRequest();
            case ACK -> new Message.Ack(version(p), text(p, Message.MAX_REASON_CHARS));
            case REPORT -> new Message.Report(followerStates(p));
            case PUBLISH -> new Message.Publish(
                    number(p, 0, Long.MAX_VALUE), text(p, 4096), text(p, Document.MAX_CHARS));
            case PUBLISHED -> new Message.Published(enumValue(p, Publisher.Outcome.values()), version(p), texts(p));
            case STATUS_REQUEST -> new Message.StatusRequest(flag(p));
            case STATUS_RESPONSE -> new Message.StatusResponse(
                    name(p),
                    flag(p),
                    flag(p),
                    version(p),
                    (int) number(p, 0, Integer.MAX_VALUE),
                    (int) number(p, 0, Integer.MAX_VALUE),
                    followerStates(p));
            default -> null;
        };
    }

    private static void requireArray(JsonToken t) throws IOException {
        if (t != JsonToken.START_ARRAY) {
            throw new IOException("expected an array");
        }
    }

    /** Skips trailing fields added by a newer release. */
    private static void skipToEnd(JsonParser p) throws IOException {
        for (JsonToken t = p.nextToken(); t != JsonToken.END_ARRAY; t = p.nextToken()) {
            if (t == null) {
                throw new IOException("message is truncated");
            }
            p.skipChildren();
        }
    }

    private static long number(JsonParser p, long min, long max) throws IOException {
        if (p.nextToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new IOException("expected a number");
        }
        long n = p.getLongValue();
        if (n < min || n > max) {
            throw new IOException("number out of range: " + n);
        }
        return n;
    }

    private static <E> E enumValue(JsonParser p, E[] all) throws IOException {
        return all[(int) number(p, 0, all.length - 1)];
    }

    private static boolean flag(JsonParser p) throws IOException {
        JsonToken t = p.nextToken();
        if (t != JsonToken.VALUE_TRUE && t != JsonToken.VALUE_FALSE) {
            throw new IOException("expected a boolean");
        }
        return t == JsonToken.VALUE_TRUE;
    }

    private static String text(JsonParser p, int maxChars) throws IOException {
        if (p.nextToken() != JsonToken.VALUE_STRING) {
            throw new IOException("expected a text");
        }
        String t = p.getText();
        if (t.length() > maxChars) {
            throw new IOException("text of " + t.length() + " characters, " + maxChars + " is the maximum");
        }
        return t;
    }

    private static String name(JsonParser p) throws IOException {
        return text(p, Message.MAX_NAME_CHARS);
    }

    private static Version require(Version v) throws IOException {
        if (v == null) {
            throw new IOException("expected a version, found null");
        }
        return v;
    }

    /** before: the version whose id is used if the checksum is omitted; null if it is required. */
    private static Checksum checksum(JsonParser p, Version before) throws IOException {
        JsonToken t = p.nextToken();
        if (t == JsonToken.VALUE_NULL && before != null) {
            return before.id();
        }
        if (t != JsonToken.VALUE_EMBEDDED_OBJECT) {
            throw new IOException("expected a checksum");
        }
        return Checksum.fromBytes(p.getBinaryValue());
    }

    private static Version version(JsonParser p) throws IOException {
        return version(p, null);
    }

    /** Returns null for CBOR null; before: the predecessor if the parent checksum is omitted. */
    private static Version version(JsonParser p, Version before) throws IOException {
        JsonToken t = p.nextToken();
        if (t == JsonToken.VALUE_NULL) {
            return null;
        }
        requireArray(t);
        long epoch = number(p, 1, Long.MAX_VALUE);
        long number = number(p, 1, Long.MAX_VALUE);
        Checksum text = checksum(p, null);
        Version v = new Version(epoch, number, text, checksum(p, before));
        skipToEnd(p);
        return v;
    }

    private static List<String> texts(JsonParser p) throws IOException {
        List<String> all = new ArrayList<>();
        requireArray(p.nextToken());
        for (JsonToken t = p.nextToken(); t != JsonToken.END_ARRAY; t = p.nextToken()) {
            if (t != JsonToken.VALUE_STRING) {
                throw new IOException("expected a text");
            }
            all.add(p.getText());
        }
        return all;
    }

    private static List<Delta> deltas(JsonParser p) throws IOException {
        List<Delta> all = new ArrayList<>();
        requireArray(p.nextToken());
        for (JsonToken t = p.nextToken(); t != JsonToken.END_ARRAY; t = p.nextToken()) {
            requireArray(t);
            all.add(new Delta(
                    require(version(
                            p, all.isEmpty() ? null : all.get(all.size() - 1).to())),
                    hunks(p)));
            skipToEnd(p);
        }
        return all;
    }

    private static List<Delta.Hunk> hunks(JsonParser p) throws IOException {
        List<Delta.Hunk> all = new ArrayList<>();
        requireArray(p.nextToken());
        for (JsonToken t = p.nextToken(); t != JsonToken.END_ARRAY; t = p.nextToken()) {
            requireArray(t);
            all.add(new Delta.Hunk(
                    (int) number(p, 0, Integer.MAX_VALUE), (int) number(p, 0, Integer.MAX_VALUE), texts(p)));
            skipToEnd(p);
        }
        return all;
    }

    private static List<Message.FollowerState> followerStates(JsonParser p) throws IOException {
        List<Message.FollowerState> all = new ArrayList<>();
        requireArray(p.nextToken());
        for (JsonToken t = p.nextToken(); t != JsonToken.END_ARRAY; t = p.nextToken()) {
            requireArray(t);
            all.add(new Message.FollowerState(
                    name(p),
                    flag(p),
                    number(p, 0, Long.MAX_VALUE),
                    number(p, 0, Long.MAX_VALUE),
                    text(p, Message.MAX_REASON_CHARS),
                    number(p, 0, Long.MAX_VALUE / 4_000_000),
                    name(p)));
            skipToEnd(p);
        }
        return all;
    }
}
