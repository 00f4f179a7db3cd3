package gullspar.versions.file;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.versions.Chain;
import gullspar.versions.Document;
import gullspar.versions.wire.Codec;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the store reads back after crashes, write failures and damage. */
class StoreTest {
    /** Thrown in place of a process crash; nothing is written after it. */
    private static final class SimulatedCrash extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /** In-memory folder that fails or crashes at a given operation; a write then stores a part of its bytes. */
    private static final class FaultyFolder implements Folder {
        private final Map<String, byte[]> files = new HashMap<>();
        private int operations;
        private int crashAt = -1;
        private int failAt = -1;
        private double writtenFraction;

        /** Counts the operation; throws if it is to fail, returns whether it is to crash. */
        private boolean crashesNow() throws IOException {
            int at = operations++;
            if (at == failAt) {
                throw new IOException("No space left on device");
            }
            return at == crashAt;
        }

        @Override
        public byte[] read(String name) {
            return files.get(name);
        }

        @Override
        public void write(String name, byte[] content) throws IOException {
            int n = (int) (content.length * writtenFraction);
            if (operations == crashAt || operations == failAt) {
                files.put(name, Arrays.copyOf(content, n));
            }
            if (crashesNow()) {
                throw new SimulatedCrash();
            }
            files.put(name, content);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            if (crashesNow()) {
                throw new SimulatedCrash();
            }
            if (!files.containsKey(from)) {
                throw new IOException("no " + from);
            }
            files.put(to, files.remove(from));
        }

        @Override
        public void sync() throws IOException {
            if (crashesNow()) {
                throw new SimulatedCrash();
            }
        }
    }

    private final List<Document> documents = Chain.of(40, 60);

    private static Codec.StoredDocument stored(Document d) {
        return new Codec.StoredDocument(d, null, List.of());
    }

    /** A crash at any operation while versions are persisted must never restore an older version. */
    @Test
    void crashAtAnyOperationNeverRestoresAnOlderVersion() throws IOException {
        for (int crashAt = 0; crashAt < 24; crashAt++) {
            for (double writtenFraction : new double[] {0, 0.5, 1}) {
                FaultyFolder f = new FaultyFolder();
                f.crashAt = crashAt;
                f.writtenFraction = writtenFraction;
                int persistedIndex = -1;
                Store s = new Store(f);
                s.read();
                try {
                    for (int i = 0; i < 10; i++) {
                        s.persist(stored(documents.get(i)));
                        persistedIndex = i;
                    }
                } catch (SimulatedCrash e) {
                    // the process restarts
                }
                f.crashAt = -1;
                for (int again = 0; again < 3; again++) {
                    Store.Found found = new Store(f).read();
                    int readIndex = found.stored() == null
                            ? -1
                            : (int) found.stored().document().version().number() - 1;
                    assertTrue(
                            readIndex == persistedIndex || readIndex == persistedIndex + 1,
                            "crash at " + crashAt + ": read " + readIndex + ", had persisted " + persistedIndex);
                    assertFalse(found.mayBeOlder(), "crash at " + crashAt);
                    assertEquals(List.of(), found.damage());
                    Store next = new Store(f);
                    next.read();
                    next.persist(stored(documents.get(readIndex + 1)));
                    persistedIndex = readIndex + 1;
                }
            }
        }
    }

    /** A crash, a restart and a second crash at any operation must not lose the newest intact version. */
    @Test
    void twoCrashesInARowLoseNothing() throws IOException {
        for (int first = 4; first < 12; first++) {
            for (int second = 0; second < 6; second++) {
                FaultyFolder f = new FaultyFolder();
                f.crashAt = first;
                f.writtenFraction = 0.3;
                int persistedIndex = -1;
                for (int life = 0; life < 3; life++) {
                    Store s = new Store(f);
                    Store.Found found = s.read();
                    int readIndex = found.stored() == null
                            ? -1
                            : (int) found.stored().document().version().number() - 1;
                    assertTrue(readIndex >= persistedIndex, "read " + readIndex + ", had persisted " + persistedIndex);
                    persistedIndex = readIndex;
                    try {
                        for (int i = readIndex + 1; i < readIndex + 6; i++) {
                            s.persist(stored(documents.get(i)));
                            persistedIndex = i;
                        }
                    } catch (SimulatedCrash e) {
                        // the process restarts
                    }
                    f.crashAt = life == 0 ? f.operations + second : -1;
                }
            }
        }
    }

    @Test
    void failedWriteLeavesTheFormerVersionAndALaterOneSucceeds() throws IOException {
        for (int failAt = 0; failAt < 12; failAt++) {
            FaultyFolder f = new FaultyFolder();
            f.failAt = failAt;
            f.writtenFraction = 0.7;
            Store s = new Store(f);
            s.read();
            int persistedIndex = -1;
            for (int i = 0; i < 12; i++) {
                try {
                    s.persist(stored(documents.get(i)));
                    persistedIndex = i;
                } catch (IOException e) {
                    Store.Found found = new Store(f).read();
                    int readIndex = found.stored() == null
                            ? -1
                            : (int) found.stored().document().version().number() - 1;
                    assertTrue(readIndex == persistedIndex || readIndex == i);
                }
            }
            assertEquals(documents.get(11), new Store(f).read().stored().document());
        }
    }

    @Test
    void damagedFileIsReportedAndTheFormerVersionMarkedOlder() throws IOException {
        SplittableRandom r = new SplittableRandom(5);
        for (int i = 0; i < 300; i++) {
            FaultyFolder f = new FaultyFolder();
            Store s = new Store(f);
            s.read();
            s.persist(stored(documents.get(0)));
            s.persist(stored(documents.get(1)));
            byte[] b = f.files.get(Store.CURRENT).clone();
            if (i % 2 == 0) {
                b[r.nextInt(b.length)] ^= (byte) (1 + r.nextInt(255));
            } else {
                b = Arrays.copyOf(b, r.nextInt(b.length));
            }
            f.files.put(Store.CURRENT, b);
            Store again = new Store(f);
            Store.Found found = again.read();
            assertEquals(documents.get(0), found.stored().document());
            assertTrue(found.mayBeOlder());
            assertTrue(found.damage().get(0).startsWith("the file current is damaged"));
            again.persist(stored(documents.get(2)));
            Store.Found repaired = new Store(f).read();
            assertEquals(documents.get(2), repaired.stored().document());
            assertFalse(repaired.mayBeOlder());
            assertTrue(f.files.containsKey(Store.PREVIOUS));
        }
    }

    @Test
    void diskFolderBehavesTheSameAndIsLockedByOneProcess(@TempDir Path folder) throws IOException {
        try (DiskFolder d = DiskFolder.open(folder)) {
            assertThrows(IOException.class, () -> DiskFolder.open(folder));
            Store s = new Store(d);
            assertEquals(null, s.read().stored());
            s.persist(stored(documents.get(0)));
            s.persist(stored(documents.get(1)));
            assertEquals(documents.get(1), new Store(d).read().stored().document());
        }
        DiskFolder.open(folder).close();
    }
}
