package gullspar.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Finding the virtual host of a name. */
class HostTableTest {
    private final HostTable<String> hosts = new HostTable<>();

    @BeforeEach
    void addHosts() {
        for (String name : new String[] {
            "shop.example.org", "*.example.org", "*.b.example.org", ".both.net", "shop.*", "shop.example.*", "localhost"
        }) {
            assertTrue(hosts.add(name, name));
        }
        hosts.add(Pattern.compile("^node\\d+\\."), "numbered");
        hosts.add(Pattern.compile("\\.com$"), "com");
        hosts.defaultHost("default");
    }

    @ParameterizedTest
    @CsvSource({
        "shop.example.org, shop.example.org",
        "SHOP.Example.ORG, shop.example.org",
        "shop.example.org:8080, shop.example.org",
        "shop.example.org., shop.example.org",
        "x.example.org, *.example.org",
        "x.y.example.org, *.example.org",
        "x.b.example.org, *.b.example.org",
        "b.example.org, *.example.org",
        "example.org, default",
        ".example.org, default",
        "both.net, .both.net",
        "x.both.net, .both.net",
        "shop.example.com, shop.example.*",
        "shop.other.com, shop.*",
        "node7.example.com, numbered",
        "x.com, com",
        "[::1]:80, default",
        "localhost, localhost",
        "'', default"
    })
    void findsTheHostOfAName(String name, String expected) {
        assertEquals(expected, hosts.find(name).host(), hosts.find(name).reason());
    }

    @Test
    void fallsBackToTheDefaultHostIfThereIsOne() {
        assertEquals("default", hosts.find(null).host());
        assertNull(new HostTable<String>().find("x"));
    }

    @Test
    void addReturnsFalseForADuplicateName() {
        assertFalse(hosts.add("SHOP.example.org", "again"));
        assertFalse(hosts.add("*.example.org", "again"));
        assertFalse(hosts.add(".both.net", "again"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"a.*.org", "*", "*.", "a*.org", "*.*", ".*"})
    void rejectsMisplacedWildcards(String name) {
        assertThrows(IllegalArgumentException.class, () -> hosts.add(name, "x"));
    }
}
