package gullspar.journal.file;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A folder of the file system, locked by one process; the system releases the lock when the process ends. */
public final class FolderDisk implements Disk, Closeable {
    private static final String SUFFIX = ".journal";

    private final Path folder;
    private final FileChannel lockFile;

    private FolderDisk(Path folder, FileChannel lockFile) {
        this.folder = folder;
        this.lockFile = lockFile;
    }

    /** Creates the folder if need be and locks it; throws IOException if it is locked already. */
    public static FolderDisk open(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel c = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = c.tryLock();
        } catch (OverlappingFileLockException e) {
            // locked within this process: reported like a lock of another process
        } finally {
            if (lock == null) {
                c.close();
            }
        }
        if (lock == null) {
            throw new IOException("the journal in " + folder + " is in use by another daemon");
        }
        return new FolderDisk(folder, c);
    }

    /** Opens a folder for reading, also while a daemon has it locked; changes fail. */
    public static Disk openReadOnly(Path folder) {
        return new FolderDisk(folder, null);
    }

    private Path path(long number) {
        return folder.resolve(String.format("%016d", number) + SUFFIX);
    }

    @Override
    public List<Long> segments() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(f -> f.getFileName().toString())
                    .filter(n -> n.matches("\\d{16}\\" + SUFFIX))
                    .map(n -> Long.parseLong(n.substring(0, 16)))
                    .sorted()
                    .toList();
        }
    }

    @Override
    public File create(long number) throws IOException {
        if (lockFile == null) {
            throw new IOException("this journal is open for reading only");
        }
        FileChannel c = FileChannel.open(path(number), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        } catch (IOException e) {
            c.close();
            throw e;
        }
        return new File() {
            @Override
            public void append(byte[] bytes, int length) throws IOException {
                ByteBuffer b = ByteBuffer.wrap(bytes, 0, length);
                while (b.hasRemaining()) {
                    c.write(b);
                }
            }

            @Override
            public void sync() throws IOException {
                c.force(false);
            }

            @Override
            public void close() throws IOException {
                c.close();
            }
        };
    }

    @Override
    public int read(long number, long offset, byte[] buffer) throws IOException {
        try (FileChannel c = FileChannel.open(path(number), StandardOpenOption.READ)) {
            ByteBuffer b = ByteBuffer.wrap(buffer);
            while (b.hasRemaining() && c.read(b, offset + b.position()) > 0) {
                continue;
            }
            return b.position();
        }
    }

    @Override
    public void delete(long number) throws IOException {
        if (lockFile == null) {
            throw new IOException("this journal is open for reading only");
        }
        Files.deleteIfExists(path(number));
    }

    /** Releases the lock. */
    @Override
    public void close() throws IOException {
        if (lockFile != null) {
            lockFile.close();
        }
    }
}
