package gullspar.proxy.io;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;

/**
 * Hears that a file was replaced or written by looking at it, where nothing else can tell: a process that was
 * started where SIGHUP is ignored never gets it, and would serve by its old configuration for good.
 */
public final class FileWatcher {
    private static final long POLL_INTERVAL_MS = 500;

    private FileWatcher() {}

    /** Calls the action after each change from now on, on a thread of its own that ends with the process. */
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

    /** What is different once it was written or another was moved there; empty while there is none. */
    private static List<Object> fingerprint(Path file) {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return List.of(attributes.lastModifiedTime(), attributes.size(), String.valueOf(attributes.fileKey()));
        } catch (IOException e) {
            return List.of();
        }
    }
}
