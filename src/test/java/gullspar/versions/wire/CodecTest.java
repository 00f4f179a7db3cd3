package gullspar.versions.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.versions.Chain;
import gullspar.versions.Document;
import gullspar.versions.History;
import gullspar.versions.Message;
import gullspar.versions.Publisher;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Encoding of messages, and rejection of invalid input. */
class CodecTest {
    private final List<Document> documents = Chain.of(5, 300);
    private final History history = Chain.history(documents, 10);

    private List<Message> messages() {
        Message.FollowerState r = new Message.FollowerState("p", false, 1, 5, "disk", 20, "c1");
        return List.of(
                new Message.Hello("p", Message.Role.CONTROL, null),
                new Message.Hello("p", Message.Role.PROXY, history.version()),
                new Message.Head("c1", history.version(), true),
                new Message.Update(history.version(), documents.get(1).version(), history.deltas(), ""),
                new Message.Update(
                        history.version(), null, List.of(), history.head().text()),
                new Message.SnapshotRequest(),
                new Message.Ack(null, "why"),
                new Message.Report(List.of(r, r)),
                new Message.Publish(7, "a.toml", "text \u00e9\n"),
                new Message.Published(Publisher.Outcome.WRONG, history.version(), List.of("a:1:1: b")),
                new Message.StatusRequest(true),
                new Message.StatusResponse("c1", true, false, history.version(), 3, 2, List.of(r)));
    }

    @Test
    void messagesRoundTripThroughCodecAndFrames() throws IOException {
        Frames.Assembler assembler = new Frames.Assembler(1 << 20);
        for (Message m : messages()) {
            assertEquals(m, Codec.decode(Codec.encode(m)));
            Message last = null;
            for (byte[] f : Frames.of(m)) {
                assertNull(last);
                assertEquals(f.length - 4, ByteBuffer.wrap(f).getInt());
                assertTrue(f.length - 4 <= Frames.MAX_FRAME_BYTES);
                last = assembler.add(Arrays.copyOfRange(f, 4, f.length));
            }
            assertEquals(m, last);
        }
    }

    @Test
    void invalidInputThrowsOnlyIOException() {
        SplittableRandom r = new SplittableRandom(3);
        for (Message m : messages()) {
            byte[] whole = Codec.encode(m);
            for (int i = 0; i < 2000; i++) {
                byte[] b = Arrays.copyOf(whole, r.nextInt(10) == 0 ? r.nextInt(whole.length) : whole.length);
                for (int k = 0; k < 1 + i % 3 && b.length > 0; k++) {
                    b[r.nextInt(b.length)] = (byte) r.nextInt(256);
                }
                try {
                    Codec.decode(b);
                } catch (IOException e) {
                    assertTrue(e.getMessage() != null);
                }
            }
        }
    }

    @Test
    void truncatedAndOversizedMessagesAreRefused() {
        byte[] whole = Codec.encode(messages().get(3));
        for (int n = 0; n < whole.length; n += 7) {
            byte[] cut = Arrays.copyOf(whole, n);
            assertThrows(IOException.class, () -> Codec.decode(cut));
        }
        Frames.Assembler assembler = new Frames.Assembler(3000);
        byte[] part = new byte[Frames.MAX_FRAME_BYTES];
        assertThrows(IOException.class, () -> {
            assembler.add(part);
            assembler.add(part);
        });
        byte[] bomb = ByteBuffer.allocate(50)
                .put((byte) 1)
                .putInt(Compression.MAX_DECOMPRESSED_BYTES + 1)
                .array();
        assertTrue(assertThrows(IOException.class, () -> Compression.decompress(bomb))
                .getMessage()
                .contains("is the maximum"));
        assertThrows(IOException.class, () -> new Frames.Assembler(100).add(new byte[] {7, 0}));
    }

    @Test
    void unknownKindIsIgnored() throws IOException {
        byte[] newer = Codec.encode(new Message.SnapshotRequest());
        newer[1] = 0x17; // the kind: 23
        assertNull(Codec.decode(newer));
    }

    @Test
    void declaredLengthOfACompressedMessageIsChecked() throws IOException {
        byte[] plain = new byte[5000];
        byte[] packed = Compression.compress(plain, 6);
        assertTrue(packed.length < 100);
        assertEquals(5000, Compression.decompress(packed).length);
        ByteBuffer.wrap(packed).putInt(1, 4999);
        assertThrows(IOException.class, () -> Compression.decompress(packed));
        ByteBuffer.wrap(packed).putInt(1, 5001);
        assertThrows(IOException.class, () -> Compression.decompress(packed));
    }
}
