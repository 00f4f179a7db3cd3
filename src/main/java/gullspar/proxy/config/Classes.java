package gullspar.proxy.config;

import gullspar.decide.Balancer.Profile;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The classes that requests may be of, as the configuration last named them. A name keeps its number for as
 * long as the proxy lives, also while no configuration names it, so that what is counted and what the module
 * has learnt of it hold; what a class allows may change, for requests that come from then on.
 */
public final class Classes {
    /** A class: its number, and what the module is told of it. attempts: so many at the most. */
    public record RequestClass(int index, String name, Profile profile, int maxAttempts) {}

    private final List<String> names = new ArrayList<>();
    private final List<Profile> profiles = new ArrayList<>();
    private final Map<String, RequestClass> current = new HashMap<>();

    public Classes(Config config) {
        update(config);
    }

    /** Takes over the classes of a configuration; returns all there ever were, by number, for the module. */
    public List<Profile> update(Config config) {
        current.clear();
        int attempts = config.settings().maxAttempts();
        for (int i = 0; i < config.classes().size(); i++) {
            String name = config.classes().get(i);
            Profile p = config.settings().profiles().get(i).withAttempts(attempts);
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

    /** The class of a name; null if the configuration has none. */
    public RequestClass find(String name) {
        return current.get(name);
    }

    /** The names of all there ever were, by number. */
    public List<String> names() {
        return names;
    }
}
