package gullspar.journal;

import gullspar.journal.Entry.AttemptOutcome;
import gullspar.journal.Entry.Kind;
import gullspar.journal.Entry.Request;
import gullspar.journal.Entry.RequestOutcome;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encodes entries (docs/journal-format.md). Numbers are big-endian, texts UTF-8 after their length. */
final class EntryCodec {
    static final byte ACCEPTED = 1, INTENT = 2, ATTEMPT_ENDED = 3, COMPLETED = 4;
    /** Longer texts are truncated. Ids and keys have at most 128 characters when they are received. */
    private static final int MAX_TEXT_BYTES = 1024;

    private EntryCodec() {}

    static byte type(Entry e) {
        return e instanceof Entry.Accepted
                ? ACCEPTED
                : e instanceof Entry.Intent ? INTENT : e instanceof Entry.AttemptEnded ? ATTEMPT_ENDED : COMPLETED;
    }

    static byte[] encode(Entry e) {
        ByteBuffer b = ByteBuffer.allocate(64 + 5 * (MAX_TEXT_BYTES + 2));
        b.putLong(e.request().run()).putLong(e.request().number()).putLong(e.atMs());
        if (e instanceof Entry.Accepted accepted) {
            b.put((byte) accepted.kind().ordinal())
                    .put((byte) (accepted.hashed() ? 1 : 0))
                    .putLong(accepted.windowMs());
            text(b, accepted.key());
            text(b, accepted.clientId());
            text(b, accepted.route());
        } else if (e instanceof Entry.Intent intent) {
            b.putShort((short) intent.attempt());
            text(b, intent.node());
            text(b, intent.site());
        } else if (e instanceof Entry.AttemptEnded attemptEnded) {
            b.putShort((short) attemptEnded.attempt())
                    .put((byte) attemptEnded.outcome().ordinal());
        } else if (e instanceof Entry.Completed completed) {
            b.put((byte) completed.outcome().ordinal());
        }
        byte[] bytes = new byte[b.position()];
        b.flip().get(bytes);
        return bytes;
    }

    private static void text(ByteBuffer b, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(MAX_TEXT_BYTES, bytes.length);
        b.putShort((short) length).put(bytes, 0, length);
    }

    /**
     * Decodes an entry; null for a type that this version does not know. Throws IllegalArgumentException for
     * a payload that is not an entry although its checksum is right.
     */
    static Entry decode(byte type, byte[] payload) {
        ByteBuffer b = ByteBuffer.wrap(payload);
        try {
            if (type < ACCEPTED || type > COMPLETED) {
                return null;
            }
            Request r = new Request(b.getLong(), b.getLong());
            long at = b.getLong();
            return switch (type) {
                case ACCEPTED -> {
                    Kind kind = enumValue(Kind.values(), b.get());
                    boolean hashed = b.get() != 0;
                    long window = b.getLong();
                    yield new Entry.Accepted(r, at, kind, text(b), hashed, text(b), text(b), window);
                }
                case INTENT -> new Entry.Intent(r, at, b.getShort() & 0xffff, text(b), text(b));
                case ATTEMPT_ENDED -> new Entry.AttemptEnded(
                        r, at, b.getShort() & 0xffff, enumValue(AttemptOutcome.values(), b.get()));
                default -> new Entry.Completed(r, at, enumValue(RequestOutcome.values(), b.get()));
            };
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("journal entry is truncated", e);
        }
    }

    private static <T> T enumValue(T[] values, byte ordinal) {
        if (ordinal < 0 || ordinal >= values.length) {
            throw new IllegalArgumentException("journal entry has an unknown enum value: " + ordinal);
        }
        return values[ordinal];
    }

    private static String text(ByteBuffer b) {
        byte[] bytes = new byte[b.getShort() & 0xffff];
        b.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
