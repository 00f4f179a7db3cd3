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
 * Ports for processes that are still to start. Between the asking and the binding another connection may
 * get one, since the kernel gives its own ends ports at 127.0.0.1; so these lie at other addresses of the
 * loopback interface, where it has them: of this process alone, so that two rehearsals at one time take
 * nothing from each other.
 */
final class Ports {
    private static final String DEFAULT_ADDRESS = "127.0.0.1";

    private Ports() {}

    /** This process's address of that number if something can be bound there, else the usual one. */
    private static InetAddress processAddress(int number) throws IOException {
        long pid = ProcessHandle.current().pid();
        String address = "127." + (2 + pid % 250) + "." + pid / 250 % 250 + "." + number;
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(address))) {
            return s.getInetAddress();
        } catch (IOException e) {
            return InetAddress.getByName(DEFAULT_ADDRESS);
        }
    }

    /** So many free ports for connections at this process's address of that number, none twice. */
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

    /** So many free ports for datagrams at this process's address of that number, none twice. */
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
