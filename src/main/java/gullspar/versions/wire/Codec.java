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
    /** The content of a stored file. oldest: the version that the first delta applies to, or null. */
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
    private static final int MAX_FILE_NAME_CHARS = 4096;
    /** A larger time would overflow when it is converted from ms to ns and added to other times. */
    private static final long MAX_AWAY_MS = Long.MAX_VALUE / 4_000_000;

    private Codec() {}

    private interface Writer {
        void write(JsonGenerator g) throws IOException;
    }

    private static byte[] toCbor(Writer w) {
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
        return toCbor(g -> writeMessage(g, m));
    }

    public static byte[] encode(StoredDocument stored) {
        return toCbor(g -> {
            begin(g, STORED, 4);
            writeVersion(g, stored.document().version());
            g.writeString(stored.document().text());
            writeVersion(g, stored.oldest());
            writeDeltas(g, stored.deltas());
            g.writeEndArray();
        });
    }

    private static void begin(JsonGenerator g, int kind, int fields) throws IOException {
        g.writeStartArray(null, fields + 1);
        g.writeNumber(kind);
    }

    private static void writeMessage(JsonGenerator g, Message m) throws IOException {
        if (m instanceof Message.Hello h) {
            begin(g, HELLO, 3);
            g.writeString(h.name());
            g.writeNumber(h.role().ordinal());
            writeVersion(g, h.held());
        } else if (m instanceof Message.Head h) {
            begin(g, HEAD, 3);
            g.writeString(h.control());
            writeVersion(g, h.head());
            g.writeBoolean(h.inStep());
        } else if (m instanceof Message.Update u) {
            begin(g, UPDATE, 4);
            writeVersion(g, u.to());
            writeVersion(g, u.ancestor());
            writeDeltas(g, u.deltas());
            g.writeString(u.text());
        } else if (m instanceof Message.SnapshotRequest) {
            begin(g, SNAPSHOT_REQUEST, 0);
        } else if (m instanceof Message.Ack a) {
            begin(g, ACK, 2);
            writeVersion(g, a.inForce());
            g.writeString(truncate(a.trouble()));
        } else if (m instanceof Message.Report r) {
            begin(g, REPORT, 1);
            writeFollowerStates(g, r.states());
        } else if (m instanceof Message.Publish p) {
            begin(g, PUBLISH, 3);
            g.writeNumber(p.baseNumber());
            g.writeString(p.file());
            g.writeString(p.text());
        } else if (m instanceof Message.Published p) {
            begin(g, PUBLISHED, 3);
            g.writeNumber(p.outcome().ordinal());
            writeVersion(g, p.head());
            writeTexts(g, p.lines());
        } else if (m instanceof Message.StatusRequest l) {
            begin(g, STATUS_REQUEST, 1);
            g.writeBoolean(l.full());
        } else if (m instanceof Message.StatusResponse l) {
            begin(g, STATUS_RESPONSE, 7);
            g.writeString(l.control());
            g.writeBoolean(l.primary());
            g.writeBoolean(l.inStep());
            writeVersion(g, l.head());
            g.writeNumber(l.followers());
            g.writeNumber(l.inForce());
            writeFollowerStates(g, l.states());
        }
        g.writeEndArray();
    }

    private static String truncate(String reason) {
        return reason.length() > Message.MAX_REASON_CHARS ? reason.substring(0, Message.MAX_REASON_CHARS) : reason;
    }

    private static void writeVersion(JsonGenerator g, Version v) throws IOException {
        writeVersion(g, v, true);
    }

    /** withParent: whether the checksum of the predecessor is written as well. */
    private static void writeVersion(JsonGenerator g, Version v, boolean withParent) throws IOException {
        if (v == null) {
            g.writeNull();
            return;
        }
        g.writeStartArray(null, 4);
        g.writeNumber(v.epoch());
        g.writeNumber(v.number());
        g.writeBinary(v.textChecksum().bytes());
        if (withParent) {
            g.writeBinary(v.parentId().bytes());
        } else {
            g.writeNull();
        }
        g.writeEndArray();
    }

    private static void writeTexts(JsonGenerator g, List<String> all) throws IOException {
        g.writeStartArray(null, all.size());
        for (String t : all) {
            g.writeString(t);
        }
        g.writeEndArray();
    }

    private static void writeDeltas(JsonGenerator g, List<Delta> all) throws IOException {
        g.writeStartArray(null, all.size());
        Version before = null;
        for (Delta d : all) {
            g.writeStartArray(null, 2);
            writeVersion(g, d.to(), before == null || !d.to().follows(before));
            before = d.to();
            g.writeStartArray(null, d.hunks().size());
            for (Delta.Hunk h : d.hunks()) {
                g.writeStartArray(null, 3);
                g.writeNumber(h.firstLine());
                g.writeNumber(h.removed());
                writeTexts(g, h.lines());
                g.writeEndArray();
            }
            g.writeEndArray();
            g.writeEndArray();
        }
        g.writeEndArray();
    }

    private static void writeFollowerStates(JsonGenerator g, List<Message.FollowerState> all) throws IOException {
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
            T t = reader.read(p, (int) readNumber(p, 0, Integer.MAX_VALUE));
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
        return read(bytes, Codec::readMessage);
    }

    /** Decodes a stored document; throws IOException for invalid input or a text checksum mismatch. */
    public static StoredDocument decodeStored(byte[] bytes) throws IOException {
        StoredDocument stored = read(bytes, (p, kind) -> {
            if (kind != STORED) {
                throw new IOException("expected a stored document, found a message");
            }
            Document d = new Document(require(readVersion(p)), readText(p, Document.MAX_CHARS));
            return new StoredDocument(d, readVersion(p), readDeltas(p));
        });
        if (!Checksum.of(stored.document().text())
                .equals(stored.document().version().textChecksum())) {
            throw new IOException("text does not match the checksum of version "
                    + stored.document().version());
        }
        return stored;
    }

    private static Message readMessage(JsonParser p, int kind) throws IOException {
        return switch (kind) {
            case HELLO -> new Message.Hello(readName(p), readEnum(p, Message.Role.values()), readVersion(p));
            case HEAD -> new Message.Head(readName(p), readVersion(p), readBoolean(p));
            case UPDATE -> new Message.Update(
                    require(readVersion(p)), readVersion(p), readDeltas(p), readText(p, Document.MAX_CHARS));
            case SNAPSHOT_REQUEST -> new Message.SnapshotRequest();
            case ACK -> new Message.Ack(readVersion(p), readText(p, Message.MAX_REASON_CHARS));
            case REPORT -> new Message.Report(readFollowerStates(p));
            case PUBLISH -> new Message.Publish(
                    readNumber(p, 0, Long.MAX_VALUE),
                    readText(p, MAX_FILE_NAME_CHARS),
                    readText(p, Document.MAX_CHARS));
            case PUBLISHED -> new Message.Published(
                    readEnum(p, Publisher.Outcome.values()), readVersion(p), readTexts(p));
            case STATUS_REQUEST -> new Message.StatusRequest(readBoolean(p));
            case STATUS_RESPONSE -> new Message.StatusResponse(
                    readName(p),
                    readBoolean(p),
                    readBoolean(p),
                    readVersion(p),
                    (int) readNumber(p, 0, Integer.MAX_VALUE),
                    (int) readNumber(p, 0, Integer.MAX_VALUE),
                    readFollowerStates(p));
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

    private static long readNumber(JsonParser p, long min, long max) throws IOException {
        if (p.nextToken() != JsonToken.VALUE_NUMBER_INT) {
            throw new IOException("expected a number");
        }
        long n = p.getLongValue();
        if (n < min || n > max) {
            throw new IOException("number out of range: " + n + ", expected " + min + " to " + max);
        }
        return n;
    }

    private static <E> E readEnum(JsonParser p, E[] all) throws IOException {
        return all[(int) readNumber(p, 0, all.length - 1)];
    }

    private static boolean readBoolean(JsonParser p) throws IOException {
        JsonToken t = p.nextToken();
        if (t != JsonToken.VALUE_TRUE && t != JsonToken.VALUE_FALSE) {
            throw new IOException("expected a boolean");
        }
        return t == JsonToken.VALUE_TRUE;
    }

    private static String readText(JsonParser p, int maxChars) throws IOException {
        if (p.nextToken() != JsonToken.VALUE_STRING) {
            throw new IOException("expected a text");
        }
        String t = p.getText();
        if (t.length() > maxChars) {
            throw new IOException("text of " + t.length() + " characters, " + maxChars + " is the maximum");
        }
        return t;
    }

    private static String readName(JsonParser p) throws IOException {
        return readText(p, Message.MAX_NAME_CHARS);
    }

    private static Version require(Version v) throws IOException {
        if (v == null) {
            throw new IOException("expected a version, found null");
        }
        return v;
    }

    /** before: the version whose id is used if the checksum is null in the input; null if it is required. */
    private static Checksum readChecksum(JsonParser p, Version before) throws IOException {
        JsonToken t = p.nextToken();
        if (t == JsonToken.VALUE_NULL && before != null) {
            return before.id();
        }
        if (t != JsonToken.VALUE_EMBEDDED_OBJECT) {
            throw new IOException("expected a checksum");
        }
        return Checksum.fromBytes(p.getBinaryValue());
    }

    private static Version readVersion(JsonParser p) throws IOException {
        return readVersion(p, null);
    }

    /** Returns null for CBOR null; before: the predecessor if the parent checksum is omitted. */
    private static Version readVersion(JsonParser p, Version before) throws IOException {
        JsonToken t = p.nextToken();
        if (t == JsonToken.VALUE_NULL) {
            return null;
        }
        requireArray(t);
        long epoch = readNumber(p, 1, Long.MAX_VALUE);
        long number = readNumber(p, 1, Long.MAX_VALUE);
        Checksum text = readChecksum(p, null);
        Version v = new Version(epoch, number, text, readChecksum(p, before));
        skipToEnd(p);
        return v;
    }

    private static List<String> readTexts(JsonParser p) throws IOException {
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

    private static List<Delta> readDeltas(JsonParser p) throws IOException {
        List<Delta> all = new ArrayList<>();
        requireArray(p.nextToken());
        for (JsonToken t = p.nextToken(); t != JsonToken.END_ARRAY; t = p.nextToken()) {
            requireArray(t);
            all.add(new Delta(
                    require(readVersion(
                            p, all.isEmpty() ? null : all.get(all.size() - 1).to())),
                    readHunks(p)));
            skipToEnd(p);
        }
        return all;
    }

    private static List<Delta.Hunk> readHunks(JsonParser p) throws IOException {
        List<Delta.Hunk> all = new ArrayList<>();
        requireArray(p.nextToken());
        for (JsonToken t = p.nextToken(); t != JsonToken.END_ARRAY; t = p.nextToken()) {
            requireArray(t);
            all.add(new Delta.Hunk(
                    (int) readNumber(p, 0, Integer.MAX_VALUE),
                    (int) readNumber(p, 0, Integer.MAX_VALUE),
                    readTexts(p)));
            skipToEnd(p);
        }
        return all;
    }

    private static List<Message.FollowerState> readFollowerStates(JsonParser p) throws IOException {
        List<Message.FollowerState> all = new ArrayList<>();
        requireArray(p.nextToken());
        for (JsonToken t = p.nextToken(); t != JsonToken.END_ARRAY; t = p.nextToken()) {
            requireArray(t);
            all.add(new Message.FollowerState(
                    readName(p),
                    readBoolean(p),
                    readNumber(p, 0, Long.MAX_VALUE),
                    readNumber(p, 0, Long.MAX_VALUE),
                    readText(p, Message.MAX_REASON_CHARS),
                    readNumber(p, 0, MAX_AWAY_MS),
                    readName(p)));
            skipToEnd(p);
        }
        return all;
    }
}
