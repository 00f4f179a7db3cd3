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

/** A folder of the file system, held by one process: its lock ends with the process, however that ends. */
public final class DiskFolder implements Folder, Closeable {
    private final Path folder;
    private final FileChannel lockFile;

    private DiskFolder(Path folder, FileChannel lockFile) {
        this.folder = folder;
        this.lockFile = lockFile;
    }

    /** Takes a folder, which is made if need be; an IOException if another process has it. */
    public static DiskFolder open(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel c = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = c.tryLock();
        } catch (OverlappingFileLockException e) {
            // held within this process: the same to whoever comes second
        } finally {
            if (lock == null) {
                c.close();
            }
        }
        if (lock == null) {
            throw new IOException("the folder " + folder + " is in use by another process");
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
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true);
        }
    }

    /** Lets go of the folder. */
    @Override
    public void close() throws IOException {
        lockFile.close();
    }
}
