package gullspar.drill;

import gullspar.decide.Balancer;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The reply to one batch: action records of a fixed size, then the tail that they reference by offset and length. */
final class Reply {
    static final int RECORD_BYTES = 24;

    private ByteBuffer records = ByteBuffer.allocate(1 << 14).order(ByteOrder.LITTLE_ENDIAN);
    private byte[] tail = new byte[1 << 10];
    private int tailLength;

    /** The actions of one instance, each recorded with the instance's number. */
    Balancer.Actions actionsOf(int proxy) {
        return new Balancer.Actions() {
            @Override
            public void send(int ticket, int server, long timeoutNs) {
                padRecord(beginRecord(65, proxy).putInt(ticket).putInt(server).putLong(timeoutNs));
            }

            @Override
            public void refuse(int ticket, long retryAfterNs) {
                padRecord(beginRecord(66, proxy).putInt(ticket).putLong(retryAfterNs));
            }

            @Override
            public void fail(int ticket) {
                padRecord(beginRecord(67, proxy).putInt(ticket));
            }

            @Override
            public void cancel(int ticket, int attempt) {
                padRecord(beginRecord(68, proxy).putInt(ticket).putShort((short) attempt));
            }

            @Override
            public void setTimer(long atNs, long token) {
                padRecord(beginRecord(69, proxy).putLong(atNs).putLong(token));
            }

            @Override
            public void probe(int server) {
                padRecord(beginRecord(70, proxy).putInt(server));
            }

            @Override
            public void closeIdleConnections(int server) {
                padRecord(beginRecord(71, proxy).putInt(server));
            }

            @Override
            public void sendToPeer(int peer, byte[] message) {
                padRecord(appendTail(beginRecord(72, proxy).putInt(peer), message));
            }

            @Override
            public void log(String line) {
                padRecord(appendTail(beginRecord(73, proxy), line.getBytes(StandardCharsets.UTF_8)));
            }

            @Override
            public void subscribe(boolean on) {
                padRecord(beginRecord(75, proxy).put((byte) (on ? 1 : 0)));
            }

            @Override
            public void requestList() {
                padRecord(beginRecord(76, proxy));
            }
        };
    }

    /** Adds a record that the module of an instance has thrown an exception. */
    void reportException(int proxy, String text) {
        padRecord(appendTail(beginRecord(74, proxy), text.getBytes(StandardCharsets.UTF_8)));
    }

    private ByteBuffer beginRecord(int code, int proxy) {
        if (records.remaining() < RECORD_BYTES) {
            records = ByteBuffer.wrap(Arrays.copyOf(records.array(), records.capacity() * 2))
                    .order(ByteOrder.LITTLE_ENDIAN)
                    .position(records.position());
        }
        return records.put((byte) code).putInt(proxy);
    }

    private ByteBuffer appendTail(ByteBuffer record, byte[] text) {
        if (tail.length - tailLength < text.length) {
            tail = Arrays.copyOf(tail, Math.max(tail.length * 2, tailLength + text.length));
        }
        System.arraycopy(text, 0, tail, tailLength, text.length);
        record.putInt(tailLength).putInt(text.length);
        tailLength += text.length;
        return record;
    }

    /** Fills the rest of a record with zeros. */
    private void padRecord(ByteBuffer record) {
        while (record.position() % RECORD_BYTES != 0) {
            record.put((byte) 0);
        }
    }

    /** Writes the frame, flushes the output, and clears the reply for the next batch. */
    void writeTo(OutputStream out) throws IOException {
        ByteBuffer header = ByteBuffer.allocate(8).order(ByteOrder.LITTLE_ENDIAN);
        header.putInt(records.position() / RECORD_BYTES).putInt(records.position() + tailLength);
        out.write(header.array());
        out.write(records.array(), 0, records.position());
        out.write(tail, 0, tailLength);
        out.flush();
        records.clear();
        tailLength = 0;
    }
}
