package gullspar.proxy.discovery;

import gullspar.decide.Balancer.ListKind;
import java.util.List;

/** One piece of news of the list, in order. */
public record ListUpdate(ListKind kind, long version, List<ListedBackend> list) {}
