package gullspar.versions.net;

import gullspar.versions.Message;
import gullspar.versions.wire.Frames;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** Blocking client of a control process for operators' commands; throws IOException on a timeout. */
public final class ControlClient implements Closeable {
    private final Socket socket = new Socket();
    private final Frames.Assembler assembler = new Frames.Assembler(FollowerNode.MAX_UPDATE_BYTES);
    private final DataInputStream in;

    /** Connects; timeoutMs applies to connecting and to each response. */
    public ControlClient(InetSocketAddress at, int timeoutMs) throws IOException {
        try {
            socket.connect(at, timeoutMs);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            in = new DataInputStream(socket.getInputStream());
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Sends a message and waits for the next message of the given type. */
    public <T extends Message> T request(Message m, Class<T> type) throws IOException {
        for (byte[] f : Frames.of(m)) {
            socket.getOutputStream().write(f);
        }
        while (true) {
            int length;
            try {
                length = in.readInt();
            } catch (EOFException e) {
                throw new IOException("the control process closed the connection", e);
            }
            if (length < 2 || length > Frames.MAX_FRAME_BYTES) {
                throw new IOException("the peer does not speak the control protocol: a frame of " + length
                        + " bytes, expected 2 to " + Frames.MAX_FRAME_BYTES);
            }
            byte[] frame = new byte[length];
            in.readFully(frame);
            Message response = assembler.add(frame);
            if (type.isInstance(response)) {
                return type.cast(response);
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
