package gullspar.config;

import gullspar.route.Members;
import gullspar.route.Router;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/** What an operator's file says: where to listen, the routes, and the pools by name. */
public record Site(List<InetSocketAddress> listeners, Router router, Map<String, Pool> pools) {
    /** A pool: its servers as declared, and where each is, by the server's name. */
    public record Pool(String name, List<Members.Declared> servers, Map<String,
            InetSocketAddress> addresses) { }
}
