package gullspar.journal.file;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.journal.Entry;
import gullspar.journal.Entry.Kind;
import gullspar.journal.Entry.Request;
import gullspar.journal.RequestHistory.State;
import gullspar.journal.SegmentScanner;
import gullspar.journal.file.Appender.Durability;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A journal in a real folder: writing, reading during writes, damage, locking. */
class FolderTest {
    private static final SegmentScanner.Visitor NO_OP_VISITOR = new SegmentScanner.Visitor() {
        @Override
        public void entry(long at, Entry e) {}

        @Override
        public void lost(long from, long to) {}
    };

    @TempDir
    private Path folder;

    private static void write(Disk disk, int from, int to, long segmentBytes) throws IOException {
        Recovery.Result recovered = Recovery.read(disk, NO_OP_VISITOR);
        Appender a = new Appender(
                disk, Durability.MACHINE, segmentBytes, recovered.nextSegment(), recovered.records(), () -> 5);
        for (int i = from; i < to; i++) {
            a.add(new Entry.Accepted(new Request(1, i), i, Kind.KEYED, "k" + i, false, "", "/", 0), ok -> {});
            a.add(new Entry.Intent(new Request(1, i), i, 0, "n", "z"), ok -> assertTrue(ok));
            a.writeBatch();
        }
        a.close();
    }

    @Test
    void secondRunContinuesJournal() throws IOException {
        try (FolderDisk disk = FolderDisk.open(folder)) {
            write(disk, 0, 10, 300);
        }
        try (FolderDisk disk = FolderDisk.open(folder)) {
            write(disk, 10, 20, 300);
            Recovery.Result found = Recovery.read(FolderDisk.openReadOnly(folder), NO_OP_VISITOR);
            assertEquals(40, found.records());
            assertEquals(List.of(), found.damage());
            assertTrue(AppenderTest.read(FolderDisk.openReadOnly(folder)).all().stream()
                    .allMatch(s -> s.state() == State.UNCERTAIN));
        }
    }

    @Test
    void journalIsLockedByOneDaemon() throws IOException {
        try (FolderDisk disk = FolderDisk.open(folder)) {
            assertTrue(assertThrows(IOException.class, () -> FolderDisk.open(folder))
                    .getMessage()
                    .contains("in use by another daemon"));
            assertThrows(
                    IOException.class, () -> FolderDisk.openReadOnly(folder).create(1));
            assertThrows(
                    IOException.class, () -> FolderDisk.openReadOnly(folder).delete(1));
            assertEquals(List.of(), disk.segments());
        }
        FolderDisk.open(folder).close();
    }

    @Test
    void reportsMissingSegment() throws IOException {
        try (FolderDisk disk = FolderDisk.open(folder)) {
            write(disk, 0, 10, 300);
            assertTrue(disk.segments().size() > 3);
            disk.delete(2);
            Recovery.Result found = Recovery.read(disk, NO_OP_VISITOR);
            assertEquals(1, found.damage().size());
            assertTrue(found.damage().get(0).matches("segment 3: \\d+ records are missing before it"));
            assertEquals(20, found.records());
        }
    }

    @Test
    void deletedOldestSegmentsAreNotReported() throws IOException {
        try (FolderDisk disk = FolderDisk.open(folder)) {
            write(disk, 0, 10, 300);
            disk.delete(1);
            disk.delete(2);
            Recovery.Result found = Recovery.read(disk, NO_OP_VISITOR);
            assertEquals(List.of(), found.damage());
            assertEquals(20, found.records());
        }
    }

    @Test
    void rejectsSegmentOfNewerVersion() throws IOException {
        try (FolderDisk disk = FolderDisk.open(folder)) {
            write(disk, 0, 1, 300);
            Path file = folder.resolve("0000000000000001.journal");
            byte[] bytes = Files.readAllBytes(file);
            byte[] newer = bytes.clone();
            newer[9] = 7;
            CRC32C sum = new CRC32C();
            sum.update(newer, 0, 36);
            ByteBuffer.wrap(newer).putInt(36, (int) sum.getValue());
            Files.write(file, newer);
            assertEquals(
                    "segment 1: this segment has version 7, but this program reads versions up to 1",
                    assertThrows(IOException.class, () -> Recovery.read(disk, NO_OP_VISITOR))
                            .getMessage());
            bytes[9] = 7; // without a new checksum: the header counts as damaged
            Files.write(file, bytes);
            Recovery.Result found = Recovery.read(disk, NO_OP_VISITOR);
            assertEquals(
                    List.of("segment 1: the header of this segment is damaged: its checksum does not match"),
                    found.damage());
            assertEquals(2, found.records());
        }
    }

    @Test
    void unusableFolderIsAnError() throws IOException {
        Path file = Files.writeString(folder.resolve("file"), "x");
        assertThrows(IOException.class, () -> FolderDisk.open(file));
    }
}
