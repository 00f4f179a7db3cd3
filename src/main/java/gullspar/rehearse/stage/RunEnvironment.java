package gullspar.rehearse.stage;

import gullspar.proxy.io.Platform;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;

/** The environment of a rehearsal: virtual time and memory, or real time and loopback sockets. */
public interface RunEnvironment {
    /** The platform for a simulated machine; all of them share one event loop. */
    Platform platform(String machine);

    /** Unix time in ns, on the day's clock. */
    long now();

    /** The address of a machine; always the same for the same name. */
    InetSocketAddress address(String machine);

    /** When the peer sent the data being read on a channel, as far as is known; in ns. */
    long sentAt(Channel channel);

    /** Sets the machine at the other end of a channel, once a request has shown it. */
    default void setPeer(Channel channel, String machine) {}

    /** Ends the process of a simulated machine: resets its connections and closes its listeners. */
    void processEnded(String machine);
}
