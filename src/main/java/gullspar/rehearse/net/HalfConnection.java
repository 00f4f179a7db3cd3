package gullspar.rehearse.net;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Queue;

/** One way of a connection: what is on it, in order. */
final class HalfConnection {
    private enum Kind {
        BYTES,
        FIN,
        RST
    }

    private record Segment(Kind kind, ByteBuf bytes, long sentAt, long arrivesAt) {}

    private final Network network;
    private final Host from;
    private final Host to;
    private final int source;
    private final Queue<Segment> segments = new ArrayDeque<>();
    private MemoryChannel sender;
    private MemoryChannel receiver;
    private long lastArrival;
    private int bytes;
    private boolean held;

    HalfConnection(Network network, MemoryChannel sender, Host from, Host to) {
        this.network = network;
        this.sender = sender;
        this.from = from;
        this.to = to;
        this.source = network.agenda.source();
    }

    void leadsTo(MemoryChannel c) {
        receiver = c;
    }

    /** How many more bytes the sender may put on it. */
    int room() {
        return Network.WINDOW_BYTES - bytes;
    }

    void bytes(ByteBuf b) {
        bytes += b.readableBytes();
        add(Kind.BYTES, b);
    }

    void fin() {
        add(Kind.FIN, null);
    }

    /** A reset overtakes nothing, but nobody needs what was on the way before it. */
    void rst() {
        add(Kind.RST, null);
    }

    private void add(Kind kind, ByteBuf b) {
        long now = network.agenda.now();
        lastArrival = Math.max(lastArrival, now + network.travel(from, to));
        segments.add(new Segment(kind, b, now, lastArrival));
        network.agenda.at(lastArrival, source, this::arrive);
    }

    /** Everything that is due, in one go: what came together is read together. */
    private void arrive() {
        if (segments.isEmpty() || segments.peek().arrivesAt > network.agenda.now()) {
            return; // an earlier entry took it along
        }
        if (!network.passes(from, to)) {
            if (!held) {
                held = true;
                network.hold(() -> {
                    held = false;
                    arrive();
                });
            }
            return;
        }
        if (receiver != null && to.loop != null) {
            MemoryChannel r = receiver;
            to.loop.input(() -> deliver(r));
        }
    }

    private void deliver(MemoryChannel r) {
        boolean any = false;
        for (Segment s = segments.peek(); s != null && s.arrivesAt <= network.agenda.now(); s = segments.peek()) {
            segments.remove();
            if (s.kind == Kind.BYTES) {
                bytes -= s.bytes.readableBytes();
                any |= r.received(s.bytes, s.sentAt);
            } else {
                if (any) {
                    r.readComplete();
                    any = false;
                }
                r.peerEnded(s.kind == Kind.RST);
            }
        }
        if (any) {
            r.readComplete();
        }
        sender.roomAgain();
    }

    /** Nobody will read what is on it. */
    void drop() {
        for (Segment s : segments) {
            if (s.bytes != null) {
                s.bytes.release();
            }
        }
        segments.clear();
        receiver = null;
    }
}
