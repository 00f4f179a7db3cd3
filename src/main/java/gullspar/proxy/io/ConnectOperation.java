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
public final class ConnectOperation {
    /** Hears what becomes of it. */
    public interface Listener {
        /** The connection is open. */
        default void onConnected() {}

        /** It is not to be had. */
        void onFailed(Failure failure);

        /** No descriptor is held any more, behind a failure or at the end of the connection. */
        default void onReleased() {}
    }

    /**
     * Why there is no connection.
     *
     * @param cause what the system or the library said
     * @param local whether this machine lacks what a connection needs, whoever is at the other end
     */
    public record Failure(Throwable cause, boolean isLocal) {}

    private final EventLoop loop;
    private final Listener listener;
    /** Null where none could be made. */
    private Channel channel;

    private ConnectOperation(EventLoop loop, Listener listener) {
        this.loop = loop;
        this.listener = listener;
    }

    /** Begins to connect. */
    public static ConnectOperation start(Bootstrap bootstrap, EventLoop loop, Listener listener) {
        ConnectOperation operation = new ConnectOperation(loop, listener);
        operation.connect(bootstrap);
        return operation;
    }

    private void connect(Bootstrap bootstrap) {
        ChannelFuture connectFuture;
        try {
            connectFuture = bootstrap.connect();
        } catch (RuntimeException e) {
            failWithoutChannel(e);
            return;
        }
        Channel created = connectFuture.channel();
        if (!created.isOpen() && !created.closeFuture().isDone()) {
            failWithoutChannel(connectFuture.cause()); // the library's stand-in for a channel, which never closes
            return;
        }
        channel = created;
        connectFuture.addListener(done -> loop.execute(() -> onConnectComplete(done.cause())));
        created.closeFuture().addListener(closed -> loop.execute(listener::onReleased));
    }

    private void failWithoutChannel(Throwable cause) {
        loop.execute(() -> {
            listener.onFailed(new Failure(cause, true));
            listener.onReleased();
        });
    }

    private void onConnectComplete(Throwable cause) {
        if (cause == null) {
            listener.onConnected();
        } else {
            channel.close();
            listener.onFailed(new Failure(cause, cause instanceof BindException || ResourceShortage.isCauseOf(cause)));
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
