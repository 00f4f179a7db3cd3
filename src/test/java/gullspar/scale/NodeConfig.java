package gullspar.scale;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gullspar.proxy.config.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Creates a proxy's configuration as the platform would write it, with the sizes of a run. */
final class NodeConfig {
    private NodeConfig() {}

    /** proxies: total number of proxies; initialList: the list to start with, null for none. */
    static ObjectNode create(int proxies, int tenants, byte[] initialList) throws IOException {
        ObjectNode root = (ObjectNode) Json.read(Files.readAllBytes(Path.of("deploy/warm.json")));
        root.put("listen", "127.0.0.1:0").remove("operator");
        ((ObjectNode) root.get("limits")).put("memory_mb", 192).put("sockets", 1024);
        if (initialList == null) {
            root.remove("known");
        } else {
            root.set("known", Json.read(initialList));
        }
        ObjectNode settings = (ObjectNode) root.get("settings");
        settings.put("balancers", proxies);
        ArrayNode zones = settings.putArray("zones");
        for (int z = 0; z < BackendList.ZONES; z++) {
            zones.add("z" + z);
        }
        ArrayNode names = settings.putArray("tenants");
        for (int t = 0; t < tenants; t++) {
            names.add("tenant-" + t);
        }
        return root;
    }

    /** Sets what differs from proxy to proxy: name, seed, number and zone. */
    static void setNumber(ObjectNode root, int number) {
        root.put("name", "p" + number).put("seed", Integer.toHexString(0x10000 + number));
        ((ObjectNode) root.get("settings")).put("me", number).put("zone", number % BackendList.ZONES);
    }
}
