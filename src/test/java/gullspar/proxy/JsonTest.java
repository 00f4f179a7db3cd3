package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import gullspar.proxy.config.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The parsed tree equals the one of Jackson's ObjectMapper. */
class JsonTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void allKindsOfValuesAreRead() throws Exception {
        String text = "{\"a\":[1,-2.5,true,false,null,\"x\\u00e9\",[],{}],\"b\":{\"c\":12345678901},"
                + "\"d\":123456789012345678901234567890,\"a2\":\"\"}";
        assertEquals(
                new ObjectMapper().readTree(text).toString(),
                Json.read(bytes(text)).toString());
        assertTrue(Json.read(bytes("{\"generation\":41}")).path("generation").canConvertToLong());
    }

    @ParameterizedTest
    @ValueSource(strings = {"{\"a\":", "[1,", "{\"a\":1", "{a:1}", "nonsense"})
    void invalidJsonIsRejected(String text) {
        assertThrows(IOException.class, () -> Json.read(bytes(text)));
    }

    @Test
    void excessiveDepthIsRejected() {
        assertThrows(IOException.class, () -> Json.read(bytes("[".repeat(100_000))));
    }

    @Test
    void blankInputIsMissingNode() throws Exception {
        assertTrue(Json.read(bytes(" ")).isMissingNode());
    }
}
