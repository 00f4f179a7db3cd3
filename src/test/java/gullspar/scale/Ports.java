package gullspar.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds free ports for processes to be started. They are on a loopback address that follows from the process id,
 * so that nothing else is given the port before the process binds it.
 */
final class Ports {
    private Ports() {}

    static List<String> free(int count) throws IOException {
        long pid = ProcessHandle.current().pid();
        String address = "127." + (2 + pid % 90) + "." + pid / 90 % 250 + ".1";
        List<ServerSocket> sockets = new ArrayList<>();
        List<String> ports = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(address));
                sockets.add(s);
                ports.add(address + ":" + s.getLocalPort());
            }
        } finally {
            for (ServerSocket s : sockets) {
                s.close();
            }
        }
        return ports;
    }
}
