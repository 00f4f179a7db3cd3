package gullspar.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.peers.net.KeyFile;
import gullspar.toml.ProblemsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The operators' file of any process, and the key file that it names. */
class OperatorsFileTest {
    @TempDir
    Path folder;

    private static String problemsOf(String text) {
        return assertThrows(ProblemsException.class, () -> OperatorsFile.parse(text, "o.toml"))
                .getMessage();
    }

    @Test
    void readsEverySetting() throws Exception {
        OperatorsFile f = OperatorsFile.parse(
                """
                [operator]
                address = "127.0.0.1:9901"
                [fleet]
                name = "p7"
                bind = "0.0.0.0:7946"
                advertise = "10.0.0.7:7946"
                seeds = ["10.0.0.1:7946", "[::1]:7946"]
                key_file = "/etc/key"
                zone = "north"
                interval_ms = 200
                window_s = 20
                bytes_per_second = 9000
                """,
                "o.toml");
        assertEquals(9901, f.operatorAddress().getPort());
        assertEquals("p7", f.fleet().name());
        assertEquals(2, f.fleet().seeds().size());
        assertEquals(200_000_000L, f.fleet().probeIntervalNs());
        assertEquals(9000, f.fleet().maxBytesPerSecond());
        assertNull(OperatorsFile.parse("", "o.toml").fleet());
    }

    @Test
    void reportsAllProblemsWithTheirPositions() {
        assertEquals(
                """
                o.toml:2:1: name must be 1 to 32 characters: letters, digits and . _ + -
                o.toml:3:1: bind is the wildcard address: advertise must give an address that other members can reach
                o.toml:4:1: seeds holds 'there:1', not an IP address and a port
                o.toml:5:1: interval_ms is 3, not 50 to 86400000
                o.toml:6:1: fleet: unknown key 'intervall'
                o.toml:1:1: fleet: key_file is missing"""
                        .lines()
                        .sorted()
                        .toList(),
                problemsOf(
                                """
                [fleet]
                name = "p 7"
                bind = "0.0.0.0:7946"
                seeds = ["there:1"]
                interval_ms = 3
                intervall = 3
                """)
                        .lines()
                        .sorted()
                        .toList());
        assertTrue(problemsOf("[fleet]\nbind = \"127.0.0.1:1\"\nadvertise = \"127.0.0.1:0\"\nkey_file = \"k\"")
                .contains("advertise is not an address that other members can reach"));
        assertTrue(problemsOf("[operatr]").contains("o.toml:1:2: unknown key 'operatr'")
                || problemsOf("[operatr]").contains("unknown key 'operatr'"));
    }

    @Test
    void detectsFilesThatHoldOnlyProcessTables() {
        assertTrue(OperatorsFile.hasOnlyProcessTables("[fleet]\nbind = \"x\""));
        assertFalse(OperatorsFile.hasOnlyProcessTables("[fleet]\n[[listener]]"));
        assertFalse(OperatorsFile.hasOnlyProcessTables("[fleet"));
    }

    private String keyFileError(String text) throws IOException {
        Path f = Files.writeString(folder.resolve("k"), text);
        return assertThrows(IOException.class, () -> KeyFile.read(f))
                .getMessage()
                .replace(f.toString(), "k");
    }

    @Test
    void readsKeyFilesAndReportsInvalidKeys() throws IOException {
        String good = "ab".repeat(32);
        Path f = Files.writeString(folder.resolve("good"), "# new\n" + good + "\n\n  " + "cd".repeat(40) + "\n");
        assertEquals(2, KeyFile.read(f).size());
        assertEquals("k: contains no key", keyFileError("# nothing\n"));
        assertEquals("k:2:3: not a hexadecimal digit", keyFileError("# a\nabx"));
        assertEquals(
                "k:1:1: key has 10 hexadecimal digits, expected at least 64, an even number",
                keyFileError("abababababab".substring(2)));
        assertEquals(
                "k:3:1: too many keys, at most 2 are allowed (the new and the old one)",
                keyFileError(good + "\n" + good + "\n" + good));
        assertTrue(assertThrows(IOException.class, () -> KeyFile.read(folder.resolve("none")))
                .getMessage()
                .endsWith("there is no such file"));
    }
}
