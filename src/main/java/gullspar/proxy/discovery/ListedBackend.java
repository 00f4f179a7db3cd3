package gullspar.proxy.discovery;

import gullspar.decide.Balancer.Member;
import java.net.InetSocketAddress;

/** A backend as listed, and where this proxy reaches it. */
public record ListedBackend(Member member, InetSocketAddress address) {}
