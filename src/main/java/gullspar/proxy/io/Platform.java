package gullspar.proxy.io;

import io.netty.channel.EventLoop;

/** What a proxy stands on: nothing else ties it to a machine and its time. */
public record Platform(EventLoop loop, Clock clock, Transport transport, Log log) {
    /** This machine: its time, its sockets, standard error. */
    public static Platform of(EventLoop loop) {
        return new Platform(loop, Clock.system(), Transport.tcp(loop), Log.standardError());
    }
}
