package gullspar.proxy.discovery;

import gullspar.decide.Balancer.Member;
import java.net.InetSocketAddress;

/** A listed backend and the address at which this proxy reaches it. */
public record ListedBackend(Member member, InetSocketAddress address) {}
