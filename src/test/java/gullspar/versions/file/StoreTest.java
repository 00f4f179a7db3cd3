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
        private int crashesAt = -1;
        private int failsAt = -1;
        private double part;

        private boolean now() throws IOException {
            int at = operations++;
            if (at == failsAt) {
                throw new IOException("No space left on device");
            }
            return at == crashesAt;
        }

        @Override
        public byte[] read(String name) {
            return files.get(name);
        }

        @Override
        public void write(String name, byte[] content) throws IOException {
            int n = (int) (content.length * part);
            if (operations == crashesAt || operations == failsAt) {
                files.put(name, Arrays.copyOf(content, n));
            }
            if (now()) {
                throw new SimulatedCrash();
            }
            files.put(name, content);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            if (now()) {
                throw new SimulatedCrash();
            }
            if (!files.containsKey(from)) {
                throw new IOException("no " + from);
            }
            files.put(to, files.remove(from));
        }

        @Override
        public void sync() throws IOException {
            if (now()) {
                throw new SimulatedCrash();
            }
        }
    }

    private final List<Document> all = Chain.of(40, 60);

    private static Codec.StoredDocument kept(Document d) {
        return new Codec.StoredDocument(d, null, List.of());
    }

    /** A crash at any operation while versions are persisted must never restore an older version. */
    @Test
    void crashAtAnyOperationNeverRestoresAnOlderVersion() throws IOException {
        for (int dies = 0; dies < 24; dies++) {
            for (double part : new double[] {0, 0.5, 1}) {
                FaultyFolder f = new FaultyFolder();
                f.crashesAt = dies;
                f.part = part;
                int done = -1;
                Store s = new Store(f);
                s.read();
                try {
                    for (int i = 0; i < 10; i++) {
                        s.persist(kept(all.get(i)));
                        done = i;
                    }
                } catch (SimulatedCrash e) {
                    // the process restarts
                }
                f.crashesAt = -1;
                for (int again = 0; again < 3; again++) {
                    Store.Found found = new Store(f).read();
                    int has = found.stored() == null
                            ? -1
                            : (int) found.stored().document().version().number() - 1;
                    assertTrue(
                            has == done || has == done + 1,
                            "crash at " + dies + ": read " + has + ", had persisted " + done);
                    assertFalse(found.mayBeOlder(), "crash at " + dies);
                    assertEquals(List.of(), found.damage());
                    Store next = new Store(f);
                    next.read();
                    next.persist(kept(all.get(has + 1)));
                    done = has + 1;
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
                f.crashesAt = first;
                f.part = 0.3;
                int done = -1;
                for (int life = 0; life < 3; life++) {
                    Store s = new Store(f);
                    Store.Found found = s.read();
                    int has = found.stored() == null
                            ? -1
                            : (int) found.stored().document().version().number() - 1;
                    assertTrue(has >= done, "read " + has + ", had persisted " + done);
                    done = has;
                    try {
                        for (int i = has + 1; i < has + 6; i++) {
                            s.persist(kept(all.get(i)));
                            done = i;
                        }
                    } catch (SimulatedCrash e) {
                        // the process restarts
                    }
                    f.crashesAt = life == 0 ? f.operations + second : -1;
                }
            }
        }
    }

    @Test
    void failedWriteLeavesTheFormerVersionAndALaterOneSucceeds() throws IOException {
        for (int fails = 0; fails < 12; fails++) {
            FaultyFolder f = new FaultyFolder();
            f.failsAt = fails;
            f.part = 0.7;
            Store s = new Store(f);
            s.read();
            int done = -1;
            for (int i = 0; i < 12; i++) {
                try {
                    s.persist(kept(all.get(i)));
                    done = i;
                } catch (IOException e) {
                    Store.Found found = new Store(f).read();
                    int has = found.stored() == null
                            ? -1
                            : (int) found.stored().document().version().number() - 1;
                    assertTrue(has == done || has == i);
                }
            }
            assertEquals(all.get(11), new Store(f).read().stored().document());
        }
    }

    @Test
    void damagedFileIsReportedAndTheFormerVersionMarkedOlder() throws IOException {
        SplittableRandom r = new SplittableRandom(5);
        for (int i = 0; i < 300; i++) {
            FaultyFolder f = new FaultyFolder();
            Store s = new Store(f);
            s.read();
            s.persist(kept(all.get(0)));
            s.persist(kept(all.get(1)));
            byte[] b = f.files.get(Store.CURRENT).clone();
            if (i % 2 == 0) {
                b[r.nextInt(b.length)] ^= (byte) (1 + r.nextInt(255));
            } else {
                b = Arrays.copyOf(b, r.nextInt(b.length));
            }
            f.files.put(Store.CURRENT, b);
            Store again = new Store(f);
            Store.Found found = again.read();
            assertEquals(all.get(0), found.stored().document());
            assertTrue(found.mayBeOlder());
            assertTrue(found.damage().get(0).startsWith("the file current is damaged"));
            again.persist(kept(all.get(2)));
            Store.Found mended = new Store(f).read();
            assertEquals(all.get(2), mended.stored().document());
            assertFalse(mended.mayBeOlder());
            assertTrue(f.files.containsKey(Store.PREVIOUS));
        }
    }

    @Test
    void diskFolderBehavesTheSameAndIsLockedByOneProcess(@TempDir Path folder) throws IOException {
        try (DiskFolder d = DiskFolder.open(folder)) {
            assertThrows(IOException.class, () -> DiskFolder.open(folder));
            Store s = new Store(d);
            assertEquals(null, s.read().stored());
            s.persist(kept(all.get(0)));
            s.persist(kept(all.get(1)));
            assertEquals(all.get(1), new Store(d).read().stored().document());
        }
        DiskFolder.open(folder).close();
    }
}
