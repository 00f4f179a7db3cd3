package gullspar.versions.file;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** A folder of the file system, locked by one process; the lock is released however the process ends. */
public final class DiskFolder implements Folder, Closeable {
    private final Path folder;
    private final FileChannel lockFile;

    private DiskFolder(Path folder, FileChannel lockFile) {
        this.folder = folder;
        this.lockFile = lockFile;
    }

    /** Locks the folder, creating it if needed; throws IOException if another process has locked it. */
    public static DiskFolder open(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel c = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = c.tryLock();
        } catch (OverlappingFileLockException e) {
            // locked within this process: treated like a lock of another process
        } finally {
            if (lock == null) {
                c.close();
            }
        }
        if (lock == null) {
            throw new IOException("folder " + folder + " is in use by another process");
        }
        return new DiskFolder(folder, c);
    }

    @Override
    public byte[] read(String name) throws IOException {
        try {
            return Files.readAllBytes(folder.resolve(name));
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    @Override
    public void write(String name, byte[] content) throws IOException {
        try (FileChannel c = FileChannel.open(
                folder.resolve(name),
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer b = ByteBuffer.wrap(content);
            while (b.hasRemaining()) {
                c.write(b);
            }
            c.force(true);
        }
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void sync() throws IOException {
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    /** Releases the lock. */
    @Override
    public void close() throws IOException {
        lockFile.close();
    }
}
