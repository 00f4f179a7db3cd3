package gullspar.proxy.discovery;

import gullspar.decide.Balancer.ListKind;
import java.util.List;

/**
 * A complete backend list or a change of it, delivered in order.
 *
 * @param kind whether the list is complete, a delta, or the one known at startup
 * @param version the generation of the list in discovery
 * @param list all backends, or those that have changed
 */
public record ListUpdate(ListKind kind, long version, List<ListedBackend> list) {}
