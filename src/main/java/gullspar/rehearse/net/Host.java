package gullspar.rehearse.net;

import gullspar.rehearse.time.VirtualLoop;
import java.util.LinkedHashSet;
import java.util.Set;

/** A machine on the network, with the process that runs on it. */
public final class Host {
    final String name;
    VirtualLoop loop;
    /** False while the machine has vanished: it neither sends nor receives, and says nothing of it. */
    boolean reachable = true;

    final Set<MemoryChannel> openConnections = new LinkedHashSet<>();
    final Set<MemoryServerChannel> listeners = new LinkedHashSet<>();

    Host(String name) {
        this.name = name;
    }

    public String name() {
        return name;
    }

    /** The process that runs here from now on. */
    public void setProcess(VirtualLoop process) {
        loop = process;
    }
}
