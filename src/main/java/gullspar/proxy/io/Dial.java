package gullspar.proxy.io;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.BindException;

/**
 * One try to open a connection. However it ends, also where the system gives no socket for it, its end is told
 * exactly once, on the loop and later than the call, and so is the moment from which it holds no descriptor.
 */
public final class Dial {
    /** Hears what becomes of it. */
    public interface Listener {
        /** The connection is open. */
        default void connected() {}

        /** It is not to be had. */
        void failed(Failure failure);

        /** No descriptor is held any more, behind a failure or at the end of the connection. */
        default void released() {}
    }

    /**
     * Why there is no connection.
     *
     * @param cause what the system or the library said
     * @param local whether this machine lacks what a connection needs, whoever is at the other end
     */
    public record Failure(Throwable cause, boolean local) {}

    private final EventLoop loop;
    private final Listener listener;
    /** Null where none could be made. */
    private Channel channel;

    private Dial(EventLoop loop, Listener listener) {
        this.loop = loop;
        this.listener = listener;
    }

    /** Begins to connect. */
    public static Dial start(Bootstrap bootstrap, EventLoop loop, Listener listener) {
        Dial dial = new Dial(loop, listener);
        dial.connect(bootstrap);
        return dial;
    }

    private void connect(Bootstrap bootstrap) {
        ChannelFuture connecting;
        try {
            connecting = bootstrap.connect();
        } catch (RuntimeException e) {
            neverMade(e);
            return;
        }
        Channel made = connecting.channel();
        if (!made.isOpen() && !made.closeFuture().isDone()) {
            neverMade(connecting.cause()); // the library's stand-in for a channel, which never closes
            return;
        }
        channel = made;
        connecting.addListener(done -> loop.execute(() -> ended(done.cause())));
        made.closeFuture().addListener(closed -> loop.execute(listener::released));
    }

    private void neverMade(Throwable cause) {
        loop.execute(() -> {
            listener.failed(new Failure(cause, true));
            listener.released();
        });
    }

    private void ended(Throwable cause) {
        if (cause == null) {
            listener.connected();
        } else {
            channel.close();
            listener.failed(new Failure(cause, cause instanceof BindException || Shortage.of(cause)));
        }
    }

    /** The channel that it opens; null where the system gave no socket for one. */
    public Channel channel() {
        return channel;
    }

    /** Gives it up, or closes the connection that came of it. */
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }
}
