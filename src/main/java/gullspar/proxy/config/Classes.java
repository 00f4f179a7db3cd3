package gullspar.proxy.config;

import gullspar.decide.Balancer.Profile;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The classes of requests in the current configuration. A name keeps its index for the lifetime of the proxy,
 * even while no configuration has it, so that counters and the module's statistics stay valid. The settings
 * of a class may change, for requests received from then on.
 */
public final class Classes {
    /** A class: its index, name and profile for the module, and its maximum number of attempts. */
    public record RequestClass(int index, String name, Profile profile, int maxAttempts) {}

    private final List<String> names = new ArrayList<>();
    private final List<Profile> profiles = new ArrayList<>();
    private final Map<String, RequestClass> current = new HashMap<>();

    public Classes(Config config) {
        update(config);
    }

    /**
     * Applies a configuration; returns the profiles of all classes ever configured, by index, for the module.
     */
    public List<Profile> update(Config config) {
        current.clear();
        int attempts = config.settings().maxAttempts();
        for (int i = 0; i < config.classes().size(); i++) {
            String name = config.classes().get(i);
            Profile p = config.settings().profiles().get(i).withMaxAttempts(attempts);
            int index = names.indexOf(name);
            if (index < 0) {
                index = names.size();
                names.add(name);
                profiles.add(p);
            } else {
                profiles.set(index, p);
            }
            current.put(name, new RequestClass(index, name, p, attempts));
        }
        return List.copyOf(profiles);
    }

    /** The class with this name; null if the current configuration has none. */
    public RequestClass find(String name) {
        return current.get(name);
    }

    /** The names of all classes ever configured, by index. */
    public List<String> names() {
        return names;
    }
}
