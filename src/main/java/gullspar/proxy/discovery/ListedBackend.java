package gullspar.proxy.discovery;

import gullspar.decide.Balancer.ListedServer;
import java.net.InetSocketAddress;

/** A listed backend and the address at which this proxy reaches it. */
public record ListedBackend(ListedServer server, InetSocketAddress address) {}
