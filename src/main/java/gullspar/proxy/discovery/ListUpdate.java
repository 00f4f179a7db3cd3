package gullspar.proxy.discovery;

import gullspar.decide.Balancer.ListKind;
import java.util.List;

/** A snapshot or a delta of the backend list; delivered in order. */
public record ListUpdate(ListKind kind, long version, List<ListedBackend> list) {}
