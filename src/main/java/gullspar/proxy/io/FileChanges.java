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
public final class FileChanges {
    private static final long LOOK_MS = 500;

    private FileChanges() {}

    /** Calls the action after each change from now on, on a thread of its own that ends with the process. */
    public static void on(Path file, Runnable action) {
        List<Object> first = stamp(file);
        Thread thread = new Thread(
                () -> {
                    List<Object> last = first;
                    while (!Thread.currentThread().isInterrupted()) {
                        try {
                            Thread.sleep(LOOK_MS);
                        } catch (InterruptedException e) {
                            return;
                        }
                        List<Object> now = stamp(file);
                        if (!now.equals(last) && !now.isEmpty()) {
                            last = now;
                            action.run();
                        }
                    }
                },
                "file changes");
        thread.setDaemon(true);
        thread.start();
    }

    /** What is different once it was written or another was moved there; empty while there is none. */
    private static List<Object> stamp(Path file) {
        try {
            BasicFileAttributes a = Files.readAttributes(file, BasicFileAttributes.class);
            return List.of(a.lastModifiedTime(), a.size(), String.valueOf(a.fileKey()));
        } catch (IOException e) {
            return List.of();
        }
    }
}
