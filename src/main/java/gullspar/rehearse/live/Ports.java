package gullspar.rehearse.live;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds free ports for processes that have not started yet. Between the search and the bind, the kernel could assign
 * such a port to an outgoing connection, which it binds to 127.0.0.1. Where possible the ports therefore use other
 * addresses of the loopback interface. These are specific to this process, so that rehearsals running at the same
 * time do not compete for ports.
 */
final class Ports {
    private static final String DEFAULT_ADDRESS = "127.0.0.1";

    private Ports() {}

    /** This process's loopback address of that number if it can be bound, else the default address. */
    private static InetAddress processAddress(int number) throws IOException {
        long pid = ProcessHandle.current().pid();
        String address = "127." + (2 + pid % 250) + "." + pid / 250 % 250 + "." + number;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
            return socket.getInetAddress();
        } catch (IOException e) {
            return InetAddress.getByName(DEFAULT_ADDRESS);
        }
    }

    /** Returns distinct free TCP ports at this process's address of that number. */
    static List<InetSocketAddress> freeTcp(int number, int count) throws IOException {
        InetAddress address = processAddress(number);
        List<Closeable> sockets = new ArrayList<>();
        List<InetSocketAddress> ports = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                ServerSocket socket = new ServerSocket(0, 1, address);
                sockets.add(socket);
                ports.add((InetSocketAddress) socket.getLocalSocketAddress());
            }
        } finally {
            close(sockets);
        }
        return ports;
    }

    /** Returns distinct free UDP ports at this process's address of that number. */
    static List<InetSocketAddress> freeUdp(int number, int count) throws IOException {
        InetAddress address = processAddress(number);
        List<Closeable> sockets = new ArrayList<>();
        List<InetSocketAddress> ports = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                DatagramSocket socket = new DatagramSocket(0, address);
                sockets.add(socket);
                ports.add((InetSocketAddress) socket.getLocalSocketAddress());
            }
        } finally {
            close(sockets);
        }
        return ports;
    }

    private static void close(List<Closeable> sockets) throws IOException {
        for (Closeable c : sockets) {
            c.close();
        }
    }
}
