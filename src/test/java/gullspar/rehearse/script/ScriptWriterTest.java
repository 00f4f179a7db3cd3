package gullspar.rehearse.script;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gullspar.rehearse.TestScripts;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A written script reads back as the same script. */
class ScriptWriterTest {
    @ParameterizedTest
    @MethodSource("gullspar.rehearse.script.ScriptReaderTest#examples")
    void writtenExamplesReadBackEqual(Path example) throws Exception {
        Script script = ScriptReader.read(example);
        assertEquals(script, ScriptReader.parse(ScriptWriter.write(script), "written.toml"));
    }

    @Test
    void faultsAndEscapedTitlesReadBackEqual() {
        Script script = TestScripts.parse("title = \"a \\\"quote\\\", a \\\\ and a \\u0007\"\n"
                + TestScripts.smallText(
                        9,
                        TestScripts.fault("crash", 1, "nodes = [\"n1\", \"n3\"]\ndown_s = 0.25")
                                + TestScripts.fault("pause", 2.5, "for = 0.125\nproxies = 2")
                                + TestScripts.fault("heavy", 3, "for = 1\nclass = \"pay\"")
                                + TestScripts.fault("cut-link", 4, "for = 1\nfrom = \"discovery\"\nto = \"p2\"")
                                + TestScripts.fault("old-list", 5, "for = 1")
                                + "[expect]\nservice = 0.5\n[search]\nkinds = [\"crash\"]\nbelow = 0.25\n"));
        assertEquals(script, TestScripts.parse(ScriptWriter.write(script)));
    }
}
