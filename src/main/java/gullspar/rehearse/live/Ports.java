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
 * loopback interface, where it has them.
 */
final class Ports {
    private static final String USUAL = "127.0.0.1";

    private Ports() { }

    /** That address if something can be bound there, else the usual one. */
    private static InetAddress at(String address) throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(address))) {
            return s.getInetAddress();
        } catch (IOException e) {
            return InetAddress.getByName(USUAL);
        }
    }

    /** So many free ports for connections there, none twice. */
    static List<InetSocketAddress> tcp(String address, int count) throws IOException {
        InetAddress at = at(address);
        List<Closeable> held = new ArrayList<>();
        List<InetSocketAddress> ports = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                ServerSocket s = new ServerSocket(0, 1, at);
                held.add(s);
                ports.add((InetSocketAddress) s.getLocalSocketAddress());
            }
        } finally {
            close(held);
        }
        return ports;
    }

    /** So many free ports for datagrams there, none twice. */
    static List<InetSocketAddress> udp(String address, int count) throws IOException {
        InetAddress at = at(address);
        List<Closeable> held = new ArrayList<>();
        List<InetSocketAddress> ports = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                DatagramSocket s = new DatagramSocket(0, at);
                held.add(s);
                ports.add((InetSocketAddress) s.getLocalSocketAddress());
            }
        } finally {
            close(held);
        }
        return ports;
    }

    private static void close(List<Closeable> held) throws IOException {
        for (Closeable c : held) {
            c.close();
        }
    }
}
