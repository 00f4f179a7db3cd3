package gullspar.rehearse.net;

import gullspar.rehearse.time.VirtualLoop;
import java.util.LinkedHashSet;
import java.util.Set;

/** A host on the simulated network, with the process that runs on it. */
public final class Host {
    final String name;
    VirtualLoop loop;
    /** False while the host silently neither sends nor receives. */
    boolean reachable = true;

    final Set<MemoryChannel> openConnections = new LinkedHashSet<>();
    final Set<MemoryServerChannel> listeners = new LinkedHashSet<>();

    Host(String name) {
        this.name = name;
    }

    public String name() {
        return name;
    }

    /** Sets the process that runs on this host. */
    public void setProcess(VirtualLoop process) {
        loop = process;
    }
}
