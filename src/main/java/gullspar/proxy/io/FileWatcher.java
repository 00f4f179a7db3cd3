package gullspar.proxy.io;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;

/**
 * Detects by polling that a file was replaced or written. A process that was started with SIGHUP ignored never
 * receives it, and would otherwise keep its old configuration for good.
 */
public final class FileWatcher {
    private static final long POLL_INTERVAL_MS = 500;

    private FileWatcher() {}

    /** Runs the action after each change of the file from now on, on a new daemon thread. */
    public static void watch(Path file, Runnable action) {
        List<Object> initial = fingerprint(file);
        Thread thread = new Thread(
                () -> {
                    List<Object> last = initial;
                    while (!Thread.currentThread().isInterrupted()) {
                        try {
                            Thread.sleep(POLL_INTERVAL_MS);
                        } catch (InterruptedException e) {
                            return;
                        }
                        List<Object> current = fingerprint(file);
                        if (!current.equals(last) && !current.isEmpty()) {
                            last = current;
                            action.run();
                        }
                    }
                },
                "file changes");
        thread.setDaemon(true);
        thread.start();
    }

    /** Changes when the file is written or replaced; empty while it does not exist. */
    private static List<Object> fingerprint(Path file) {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return List.of(attributes.lastModifiedTime(), attributes.size(), String.valueOf(attributes.fileKey()));
        } catch (IOException e) {
            return List.of();
        }
    }
}
