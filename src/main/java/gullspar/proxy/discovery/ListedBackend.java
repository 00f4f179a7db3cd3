package gullspar.proxy.discovery;

import gullspar.decide.Balancer.ListedServer;
import java.net.InetSocketAddress;

/**
 * A backend in a list.
 *
 * @param server the backend as the decision module sees it
 * @param address the address at which this proxy reaches it; may be null if it is gone
 */
public record ListedBackend(ListedServer server, InetSocketAddress address) {}
