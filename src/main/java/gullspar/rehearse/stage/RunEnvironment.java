package gullspar.rehearse.stage;

import gullspar.proxy.io.Platform;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;

/** Where a rehearsal plays: in virtual time and memory, or live on loopback sockets. */
public interface RunEnvironment {
    /** What the process of a stand-in's machine stands on; all stand-ins share one event loop. */
    Platform platform(String machine);

    /** Unix time in ns, on the day's clock. */
    long now();

    /** An address for a machine; the same for the same name. */
    InetSocketAddress address(String machine);

    /** When the peer sent what is being read on a channel, as far as can be told; in ns. */
    long sentAt(Channel channel);

    /** It has turned out whose connection a channel is. */
    default void setPeer(Channel channel, String machine) {}

    /** The process of a stand-in's machine ends: its connections are reset and its listeners are gone. */
    void processEnded(String machine);
}
