package gullspar.site;

import gullspar.config.Site;
import java.util.function.Consumer;

/** Where a proxy's configuration comes from. Called off the proxy's loop. */
public interface ConfigSource {
    /** Who uses a configuration. */
    interface ConfigReceiver {
        /** done is told, on the proxy's loop, why nothing has changed, or null once it holds. */
        void accept(Site site, Consumer<String> onResult);
    }

    /** The one to start with, which may take its time; null if there is none, which was said. */
    Site initial();

    /** The proxy serves by the first one; from now on others go there. */
    void start(ConfigReceiver receiver);

    /** The operators ask for it (SIGHUP). */
    void reload(ConfigReceiver receiver);
}
