package gullspar.rehearse.net;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.AbstractChannel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DatagramPacket;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/** An in-memory datagram socket. */
final class MemoryDatagramChannel extends AbstractChannel {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false, 16);

    private final Network network;
    private final Host host;
    private final ChannelConfig config = new DefaultChannelConfig(this);
    private InetSocketAddress address;
    private boolean open = true;

    MemoryDatagramChannel(Network network, Host host) {
        super(null, new MemoryChannelId(network.nextChannelNumber()));
        this.network = network;
        this.host = host;
    }

    Host host() {
        return host;
    }

    /** Queues an arrived datagram as input of the host's process. */
    void receive(InetSocketAddress from, byte[] bytes) {
        if (host.loop != null) {
            host.loop.addInput(() -> {
                if (open) {
                    pipeline().fireChannelRead(new DatagramPacket(Unpooled.wrappedBuffer(bytes), address, from));
                    pipeline().fireChannelReadComplete();
                }
            });
        }
    }

    @Override
    protected void doBind(SocketAddress local) throws BindException {
        address = (InetSocketAddress) local;
        network.bind(address, this);
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer in) {
        for (Object m = in.current(); m != null; m = in.current()) {
            DatagramPacket p = (DatagramPacket) m;
            network.sendDatagram(this, address, p.recipient(), ByteBufUtil.getBytes(p.content()));
            in.remove();
        }
    }

    /** Called when the channel is closed or its process has ended. */
    @Override
    protected void doClose() {
        open = false;
        network.unbind(address, this);
    }

    @Override
    protected AbstractUnsafe newUnsafe() {
        return new AbstractUnsafe() {
            @Override
            public void connect(SocketAddress remote, SocketAddress local, ChannelPromise promise) {
                promise.setFailure(new UnsupportedOperationException("datagram channels cannot be connected"));
            }
        };
    }

    @Override
    protected void doBeginRead() {
        // datagrams are read as they arrive
    }

    @Override
    protected void doDisconnect() {
        doClose();
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return true;
    }

    @Override
    protected SocketAddress localAddress0() {
        return address;
    }

    @Override
    protected SocketAddress remoteAddress0() {
        return null;
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

    @Override
    public ChannelMetadata metadata() {
        return METADATA;
    }
}
