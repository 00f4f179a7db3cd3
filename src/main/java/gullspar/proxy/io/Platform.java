package gullspar.proxy.io;

import io.netty.channel.EventLoop;

/**
 * The environment of a proxy: its only access to the machine and its time.
 *
 * @param loop the event loop that runs the whole proxy
 * @param clock the time, in ns
 * @param transport how connections are made and accepted
 * @param log the proxy's log
 * @param unreadAge how long the data that the loop reads now may have waited
 * @param statistics what the loop has done; null if not collected
 */
public record Platform(
        EventLoop loop, Clock clock, Transport transport, Log log, UnreadAge unreadAge, LoopStatistics statistics) {
    /** A platform whose loop does not track how long the data that it reads has waited. */
    public Platform(EventLoop loop, Clock clock, Transport transport, Log log) {
        this(loop, clock, transport, log, UnreadAge.UNKNOWN, null);
    }

    /** This machine, with a loop that tracks the age of unread data. */
    public static Platform of(ServingLoop serving) {
        return of(serving, Transport.tcp(serving.loop()), Log.standardError());
    }

    /** This machine, with another transport and log. */
    public static Platform of(ServingLoop serving, Transport transport, Log log) {
        return new Platform(serving.loop(), Clock.system(), transport, log, serving.unreadAge(), serving.statistics());
    }

    /** This machine: its clock, its sockets and standard error. */
    public static Platform of(EventLoop loop) {
        return new Platform(loop, Clock.system(), Transport.tcp(loop), Log.standardError());
    }
}
