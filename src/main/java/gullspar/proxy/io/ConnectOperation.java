package gullspar.proxy.io;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.BindException;

/**
 * Opens one connection. Its listener is notified exactly once of the result, even if no socket could be created,
 * and exactly once of the release of its descriptor, both on the event loop after {@link #start} has returned.
 */
public final class ConnectOperation {
    /** Notified of the result. */
    public interface Listener {
        /** The connection is open. */
        default void onConnected() {}

        /** The connection could not be opened. */
        void onFailed(Failure failure);

        /** The descriptor was released, after a failure or when the connection closed. */
        default void onReleased() {}
    }

    /**
     * Why the connection could not be opened.
     *
     * @param cause the exception of the operating system or the library
     * @param isLocal whether this machine lacks a resource, whatever the remote address
     */
    public record Failure(Throwable cause, boolean isLocal) {}

    private final EventLoop loop;
    private final Listener listener;
    /** Null if no socket could be created. */
    private Channel channel;

    private ConnectOperation(EventLoop loop, Listener listener) {
        this.loop = loop;
        this.listener = listener;
    }

    /** Starts to connect. */
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
            failWithoutChannel(connectFuture.cause()); // Netty's placeholder channel, which never closes
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

    /** The channel that is being opened; null if no socket could be created. */
    public Channel channel() {
        return channel;
    }

    /** Cancels connecting, or closes the open connection. */
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }
}
