package gullspar.proxy.operator;

import gullspar.proxy.io.Platform;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * What runs beside a proxy on its loop where an operators' file asks for it, and answers for itself at the
 * operators' address. Where none does, no class of any is loaded. All but {@link #reload} is called on the
 * loop.
 */
public interface AuxiliaryService {
    /** Makes one of an operators' file. */
    interface Factory {
        /**
         * Starts it; name: what the platform calls this process, null if it does not; load: what the proxy
         * has done so far. Called off the loop; an IOException, with what is wrong, if it cannot start.
         */
        AuxiliaryService start(Path file, String name, Platform platform, Supplier<Load> load) throws IOException;
    }

    /** From the start: requests that have ended, those of them that were refused, and those in hand now. */
    record Load(long ended, long refused, int pending) {
        /** Nothing yet. */
        public static final Load NONE = new Load(0, 0, 0);
    }

    /** How far the proxy has come. */
    enum Stage {
        WARMING,
        SERVING,
        DRAINING
    }

    /** The proxy has come further. */
    void onStage(Stage stage);

    /** What an operator asks for at that path, as JSON; null if it is not its to answer. */
    String query(String path);

    /**
     * Its file may have changed. Off the loop; what is wrong with it is said in the log, and changes
     * nothing.
     */
    void reload();

    /** It ends; done when all that it had to say is on its way. */
    CompletableFuture<Void> leave();
}
