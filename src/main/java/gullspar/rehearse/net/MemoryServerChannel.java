package gullspar.rehearse.net;

import io.netty.channel.AbstractServerChannel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelId;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.EventLoop;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/** An in-memory listening socket. */
final class MemoryServerChannel extends AbstractServerChannel {
    private final Network network;
    final Host host;
    private final ChannelConfig config = new DefaultChannelConfig(this);
    private InetSocketAddress address;
    private boolean open = true;

    MemoryServerChannel(Network network, Host host) {
        this.network = network;
        this.host = host;
    }

    /** Accepts a connection; the child is its end on the listener's host. */
    void accept(MemoryChannel child) {
        pipeline().fireChannelRead(child);
        pipeline().fireChannelReadComplete();
    }

    @Override
    protected void doBind(SocketAddress local) throws BindException {
        address = (InetSocketAddress) local;
        if (network.listener(address) != null) {
            throw new BindException("address in use: " + address);
        }
        network.assignAddress(address, host);
        host.listeners.add(this);
    }

    @Override
    protected void doClose() {
        open = false;
        host.listeners.remove(this);
    }

    @Override
    protected void doBeginRead() {
        // connections are accepted as they arrive
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return true;
    }

    @Override
    protected ChannelId newId() {
        return new MemoryChannelId(0); // listeners are not looked up by id
    }

    @Override
    protected SocketAddress localAddress0() {
        return address;
    }

    @Override
    public ChannelConfig config() {
        return config;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public boolean isActive() {
        return open && address != null;
    }
}
