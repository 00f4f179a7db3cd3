package gullspar.rehearse.net;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Queue;

/** One direction of a connection: the segments in flight, in order. */
final class HalfConnection {
    private enum Kind {
        BYTES,
        FIN,
        RST
    }

    private record Segment(Kind kind, ByteBuf bytes, long sentAtNs, long arrivesAtNs) {}

    private final Network network;
    private final Host from;
    private final Host to;
    private final int source;
    private final Queue<Segment> segments = new ArrayDeque<>();
    private MemoryChannel sender;
    private MemoryChannel receiver;
    private long lastArrivalNs;
    private int bytesInFlight;
    private boolean retryScheduled;

    HalfConnection(Network network, MemoryChannel sender, Host from, Host to) {
        this.network = network;
        this.sender = sender;
        this.from = from;
        this.to = to;
        this.source = network.eventQueue.newSource();
    }

    void setReceiver(MemoryChannel channel) {
        receiver = channel;
    }

    /** Number of bytes that the sender may still send before the window is full. */
    int remainingWindowBytes() {
        return Network.WINDOW_BYTES - bytesInFlight;
    }

    void sendBytes(ByteBuf bytes) {
        bytesInFlight += bytes.readableBytes();
        enqueue(Kind.BYTES, bytes);
    }

    void sendFin() {
        enqueue(Kind.FIN, null);
    }

    /** Queues a reset; it does not overtake segments sent before it. */
    void sendRst() {
        enqueue(Kind.RST, null);
    }

    private void enqueue(Kind kind, ByteBuf bytes) {
        long now = network.eventQueue.now();
        lastArrivalNs = Math.max(lastArrivalNs, now + network.travelTimeNs(from, to));
        segments.add(new Segment(kind, bytes, now, lastArrivalNs));
        network.eventQueue.schedule(lastArrivalNs, source, this::deliverDue);
    }

    /** Delivers all segments that are due as one input: bytes that arrive together are read together. */
    private void deliverDue() {
        if (segments.isEmpty() || segments.peek().arrivesAtNs > network.eventQueue.now()) {
            return; // already delivered with an earlier segment
        }
        if (!network.canReach(from, to)) {
            if (!retryScheduled) {
                retryScheduled = true;
                network.holdUntilRestored(() -> {
                    retryScheduled = false;
                    deliverDue();
                });
            }
            return;
        }
        if (receiver != null && to.loop != null) {
            MemoryChannel r = receiver;
            to.loop.addInput(() -> deliver(r));
        }
    }

    private void deliver(MemoryChannel channel) {
        boolean delivered = false;
        for (Segment segment = segments.peek();
                segment != null && segment.arrivesAtNs <= network.eventQueue.now();
                segment = segments.peek()) {
            segments.remove();
            if (segment.kind == Kind.BYTES) {
                bytesInFlight -= segment.bytes.readableBytes();
                delivered |= channel.receive(segment.bytes, segment.sentAtNs);
            } else {
                if (delivered) {
                    channel.readComplete();
                    delivered = false;
                }
                channel.handlePeerEnd(segment.kind == Kind.RST);
            }
        }
        if (delivered) {
            channel.readComplete();
        }
        sender.resumeWriting();
    }

    /** Discards the segments in flight and removes the receiver. */
    void discard() {
        for (Segment segment : segments) {
            if (segment.bytes != null) {
                segment.bytes.release();
            }
        }
        segments.clear();
        receiver = null;
    }
}
