package gullspar.proxy.discovery;

import gullspar.decide.Balancer.ListedServer;
import java.net.InetSocketAddress;

/** A backend as listed, and where this proxy reaches it. */
public record ListedBackend(ListedServer member, InetSocketAddress address) {}
