package gullspar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayInputStream;
import java.io.InputStream;
import org.junit.jupiter.api.Test;

/** Exit codes of the command line. */
class MainTest {
    private static int drill(byte... input) {
        InputStream in = System.in;
        try {
            System.setIn(new ByteArrayInputStream(input));
            return Main.run(new String[] {"drill"});
        } finally {
            System.setIn(in);
        }
    }

    @Test
    void aWrongCommandLineIsUsage() {
        assertEquals(2, Main.run(new String[] {}));
        assertEquals(2, Main.run(new String[] {"serve", "more"}));
        assertEquals(2, Main.run(new String[] {"drill", "more"}));
    }

    @Test
    void toServeWithNoConfigurationIsAnError() {
        assertEquals(1, Main.run(new String[] {"serve"}));
    }

    @Test
    void inputThatEndsBetweenFramesIsTheEnd() {
        assertEquals(0, drill());
    }

    @Test
    void aTruncatedFrameIsAnError() {
        assertEquals(1, drill((byte) 1, (byte) 2));
    }
}
