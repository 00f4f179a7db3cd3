package gullspar.rehearse.net;

import gullspar.proxy.io.Transport;
import gullspar.rehearse.time.EventQueue;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelOption;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * An in-memory network in virtual time: hosts, the links between them, and connections that behave like TCP as
 * far as a proxy can observe. Bytes of a connection keep their order; a lost segment delays those behind it
 * until it is retransmitted; a link that is cut holds everything until it is restored; a process that ends
 * resets its connections, and an unreachable host is silent.
 */
public final class Network {
    /** Minimum retransmission time-out: Linux's TCP_RTO_MIN. */
    static final long MIN_RETRANSMIT_NS = 200_000_000L;
    /** Bytes in flight in one direction before the sender must wait: the buffers of a typical socket. */
    static final int WINDOW_BYTES = 256 << 10;
    /** Maximum bytes passed to the receiver in one read. */
    static final int SEGMENT_BYTES = 16 << 10;

    private static final InetSocketAddress FORGED_SOURCE = new InetSocketAddress("127.9.9.9", 9999);

    /** The one-way delay from one host to another. */
    public interface OneWayDelay {
        long delayNs(String from, String to);
    }

    final EventQueue eventQueue;
    private final SplittableRandom random;
    private final OneWayDelay oneWayDelay;
    private final Map<String, Host> hosts = new HashMap<>();
    private final Map<String, Link> links = new HashMap<>();
    private final Map<InetSocketAddress, Host> addresses = new HashMap<>();
    private final List<Runnable> heldRetries = new ArrayList<>();
    private final Map<InetSocketAddress, MemoryDatagramChannel> datagramSockets = new HashMap<>();
    private final Map<String, DatagramLink> datagrams = new HashMap<>();
    /** Separate from that of connections, whose random draws must not depend on datagram traffic. */
    private final SplittableRandom datagramRandom;

    private int lastChannelNumber;
    private int lastPort = 30_000;
    private DatagramForger forger;

    public Network(EventQueue eventQueue, long seed, OneWayDelay oneWayDelay) {
        this.eventQueue = eventQueue;
        this.random = new SplittableRandom(seed);
        this.datagramRandom = new SplittableRandom(seed ^ 0x5bd1e995);
        this.oneWayDelay = oneWayDelay;
    }

    public Host host(String name) {
        return hosts.computeIfAbsent(name, Host::new);
    }

    /** Assigns an address to a host, replacing any former owner. */
    public void assignAddress(InetSocketAddress address, Host host) {
        addresses.put(address, host);
    }

    /** The link from one host to another. */
    public Link link(String from, String to) {
        return links.computeIfAbsent(from + '>' + to, k -> new Link(oneWayDelay.delayNs(from, to), 0));
    }

    /** The link for datagrams from one host to another. */
    public DatagramLink datagrams(String from, String to) {
        return datagrams.computeIfAbsent(from + '>' + to, k -> new DatagramLink());
    }

    /** Starts or ends a datagram impairment on the link from one host to another. */
    public void setImpairment(String from, String to, DatagramLink.Impairment impairment, double value) {
        datagrams(from, to).setImpairment(impairment, value, (ns, d) -> datagramSockets.values().stream()
                .filter(s -> s.host().name.equals(to))
                .findFirst()
                .ifPresent(s -> scheduleArrival(host(from), null, s, ns, d)));
    }

    void bind(InetSocketAddress address, MemoryDatagramChannel socket) throws BindException {
        if (datagramSockets.putIfAbsent(address, socket) != null) {
            throw new BindException("address in use: " + address);
        }
    }

    void unbind(InetSocketAddress address, MemoryDatagramChannel socket) {
        datagramSockets.remove(address, socket);
    }

    /** Sets the attacker that observes all datagrams from now on. */
    public void setForger(DatagramForger observer) {
        forger = observer;
    }

    /** Delivers a datagram that no host of the day has sent. */
    public void inject(String to, byte[] datagram) {
        datagramSockets.values().stream()
                .filter(s -> s.host().name.equals(to))
                .findFirst()
                .ifPresent(s -> eventQueue.schedule(eventQueue.now(), 0, () -> {
                    if (s.host().reachable && s.isOpen()) {
                        s.receive(FORGED_SOURCE, datagram);
                    }
                }));
    }

    /** Sends a datagram to the socket now bound to the address; drops it if there is none. */
    void sendDatagram(MemoryDatagramChannel from, InetSocketAddress source, InetSocketAddress to, byte[] bytes) {
        if (forger != null) {
            forger.observe(bytes);
        }
        MemoryDatagramChannel destination = datagramSockets.get(to);
        if (destination != null) {
            datagrams(from.host().name, destination.host().name)
                    .send(bytes, datagramRandom, (ns, d) -> scheduleArrival(from.host(), source, destination, ns, d));
        }
    }

    private void scheduleArrival(
            Host from, InetSocketAddress source, MemoryDatagramChannel to, long addedNs, byte[] bytes) {
        eventQueue.schedule(eventQueue.now() + link(from.name, to.host().name).delayNs + addedNs, 0, () -> {
            if (from.reachable && to.host().reachable && to.isOpen()) {
                to.receive(source, bytes);
            }
        });
    }

    /** Cuts or restores a link: data sent meanwhile is held until it is restored, without any notice. */
    public void cut(String from, String to, boolean on) {
        link(from, to).cut = on;
        if (!on) {
            retryHeld();
        }
    }

    /** Makes a host unreachable, or reachable again; on its return it resets its earlier connections. */
    public void setUnreachable(Host host, boolean unreachable) {
        host.reachable = !unreachable;
        if (!unreachable) {
            List.copyOf(host.openConnections).forEach(MemoryChannel::reset);
            retryHeld();
        }
    }

    /** Closes all sockets of a host whose process has ended: connections are reset, listeners removed. */
    public void closeSockets(Host host) {
        host.listeners.clear();
        List.copyOf(datagramSockets.values()).stream()
                .filter(s -> s.host() == host)
                .forEach(MemoryDatagramChannel::doClose);
        List<MemoryChannel> open = List.copyOf(host.openConnections);
        host.openConnections.clear();
        open.forEach(MemoryChannel::abandon);
    }

    /** Resets the connections between two hosts, at both ends. */
    public void reset(Host a, Host b) {
        List.copyOf(a.openConnections).stream().filter(c -> c.isConnectedTo(b)).forEach(MemoryChannel::reset);
    }

    private void retryHeld() {
        List<Runnable> retries = new ArrayList<>(heldRetries);
        heldRetries.clear();
        retries.forEach(r -> eventQueue.schedule(eventQueue.now() + MIN_RETRANSMIT_NS, 0, r));
    }

    /** Runs the retry after a link or host is next restored. */
    void holdUntilRestored(Runnable retry) {
        heldRetries.add(retry);
    }

    boolean canReach(Host from, Host to) {
        return from.reachable && to.reachable && !link(from.name, to.name).cut;
    }

    /** The time that a segment sent now takes, including its retransmissions. */
    long travelTimeNs(Host from, Host to) {
        Link link = link(from.name, to.name);
        long ns = link.delayNs + link.extraDelayNs + (link.jitterNs > 0 ? random.nextLong(link.jitterNs) : 0);
        if (link.loss > 0) {
            for (long wait = MIN_RETRANSMIT_NS;
                    random.nextDouble() < link.loss && wait <= 16 * MIN_RETRANSMIT_NS;
                    wait *= 2) {
                ns += wait; // the time-out doubles each time (RFC 6298, section 5.5)
            }
        }
        return ns;
    }

    /** The listener bound to an address, or null. */
    MemoryServerChannel listener(InetSocketAddress address) {
        Host h = addresses.get(address);
        if (h != null) {
            for (MemoryServerChannel l : h.listeners) {
                if (l.localAddress().equals(address)) {
                    return l;
                }
            }
        }
        return null;
    }

    Host hostAt(InetSocketAddress address) {
        return addresses.get(address);
    }

    int nextChannelNumber() {
        return ++lastChannelNumber;
    }

    InetSocketAddress nextEphemeralAddress() {
        lastPort = lastPort >= 60_000 ? 30_001 : lastPort + 1;
        return new InetSocketAddress("127.0.0.1", lastPort);
    }

    /** The transport that creates the sockets of a host. */
    public Transport transport(Host host) {
        return new Transport() {
            @Override
            public Bootstrap clientBootstrap(InetSocketAddress address) {
                // Netty never releases its name resolver of a loop, which would keep each day played in memory.
                return new Bootstrap()
                        .group(host.loop)
                        .disableResolver()
                        .channelFactory(() -> new MemoryChannel(Network.this, host))
                        .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                        .remoteAddress(address);
            }

            @Override
            public ServerBootstrap serverBootstrap(InetSocketAddress address) {
                return new ServerBootstrap()
                        .group(host.loop)
                        .channelFactory(() -> new MemoryServerChannel(Network.this, host))
                        .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                        .localAddress(address);
            }

            @Override
            public Bootstrap datagramBootstrap(InetSocketAddress address) {
                return new Bootstrap()
                        .group(host.loop)
                        .channelFactory(() -> new MemoryDatagramChannel(Network.this, host))
                        .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
                        .localAddress(address);
            }
        };
    }
}
