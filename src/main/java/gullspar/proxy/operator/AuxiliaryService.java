package gullspar.proxy.operator;

import gullspar.proxy.io.Platform;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * A service that runs beside a proxy on its event loop if an operators' file configures it, and answers
 * queries at the operator endpoint. Without such a file none of its classes is loaded. All methods are called on the
 * event loop, except {@link #reload}.
 */
public interface AuxiliaryService {
    /** Creates a service from an operators' file. */
    interface Factory {
        /**
         * Starts the service. name: the platform's name for this process, null for none; load: the proxy's
         * load so far. Called off the event loop; throws an IOException with the reason if it cannot start.
         */
        AuxiliaryService start(Path file, String name, Platform platform, Supplier<Load> load) throws IOException;
    }

    /** Since startup: requests ended, those of them refused, and requests in progress now. */
    record Load(long ended, long refused, int pending) {
        public static final Load NONE = new Load(0, 0, 0);
    }

    /** The lifecycle stage of the proxy. */
    enum Stage {
        WARMING,
        SERVING,
        DRAINING
    }

    /** The proxy has entered a stage. */
    void onStage(Stage stage);

    /** The JSON for an operator's query of a path; null if the path is not this service's. */
    String query(String path);

    /** Reads its file again. Called off the event loop; an error is logged, and the previous settings stay. */
    void reload();

    /** Stops the service; completes when its last messages have been handed to the network. */
    CompletableFuture<Void> leave();
}
