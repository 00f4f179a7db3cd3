package gullspar.proxy.io;

import io.netty.channel.EventLoop;

/**
 * What a proxy stands on: nothing else ties it to a machine and its time.
 *
 * @param loop the thread that all of it runs on
 * @param clock the time, in ns
 * @param transport how connections are made and accepted
 * @param log where its lines go
 * @param unread how long what the loop reads now may have waited
 * @param figures what the loop has done; null where nobody counts
 */
public record Platform(
        EventLoop loop, Clock clock, Transport transport, Log log, UnreadAge unreadAge, LoopStatistics statistics) {
    /** One whose loop cannot tell how long what it reads has waited. */
    public Platform(EventLoop loop, Clock clock, Transport transport, Log log) {
        this(loop, clock, transport, log, UnreadAge.UNKNOWN, null);
    }

    /** This machine, with a loop that can. */
    public static Platform of(ServingLoop serving) {
        return of(serving, Transport.tcp(serving.loop()), Log.standardError());
    }

    /** The same with another transport. */
    public static Platform of(ServingLoop serving, Transport transport, Log log) {
        return new Platform(serving.loop(), Clock.system(), transport, log, serving.unreadAge(), serving.statistics());
    }

    /** This machine: its time, its sockets, standard error. */
    public static Platform of(EventLoop loop) {
        return new Platform(loop, Clock.system(), Transport.tcp(loop), Log.standardError());
    }
}
