package gullspar.site;

import gullspar.config.Site;
import java.util.function.Consumer;

/** Where a proxy's configuration comes from. Called off the proxy's loop. */
public interface Source {
    /** Who uses a configuration. */
    interface Taker {
        /** done is told, on the proxy's loop, why nothing has changed, or null once it holds. */
        void take(Site site, Consumer<String> done);
    }

    /** The one to start with, which may take its time; null if there is none, which was said. */
    Site first();

    /** The proxy serves by the first one; from now on others go there. */
    void serve(Taker to);

    /** The operators ask for it (SIGHUP). */
    void reload(Taker to);
}
