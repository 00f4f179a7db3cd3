package gullspar.site;

import gullspar.config.Site;
import java.util.function.Consumer;

/** Supplies the configuration of a proxy. Called outside the event loop of the proxy. */
public interface ConfigSource {
    /** Applies a configuration. */
    interface ConfigReceiver {
        /**
         * onResult gets, on the event loop, null once the configuration is in effect, or the reason for its
         * rejection.
         */
        void accept(Site site, Consumer<String> onResult);
    }

    /** Returns the configuration to start with, and may block; null if there is none, which has been logged. */
    Site initial();

    /** Called when the proxy serves the initial configuration; later ones go to receiver. */
    void start(ConfigReceiver receiver);

    /** Reloads the configuration at an operator's request (SIGHUP). */
    void reload(ConfigReceiver receiver);
}
