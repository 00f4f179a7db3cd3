package gullspar.proxy.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Reads JSON into a tree. Jackson's parser and nodes do the work; its ObjectMapper is left out, since making
 * one sets up dates, zones and locales, a fifth of a second of a start on half a core. The parser limits
 * depth and lengths.
 */
public final class Json {
    private static final JsonFactory PARSERS = new JsonFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private Json() { }

    public static JsonNode read(byte[] bytes) throws IOException {
        try (JsonParser parser = PARSERS.createParser(bytes)) {
            parser.nextToken();
            return value(parser);
        }
    }

    /** The value that begins with the current token; leaves the parser at its last. */
    private static JsonNode value(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == null) {
            return NODES.missingNode();
        }
        switch (token) {
            case START_OBJECT:
                ObjectNode object = NODES.objectNode();
                for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
                    parser.nextToken();
                    object.set(name, value(parser));
                }
                return object;
            case START_ARRAY:
                ArrayNode array = NODES.arrayNode();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    array.add(value(parser));
                }
                return array;
            case VALUE_STRING:
                return NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT:
                return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? NODES.numberNode(parser.getBigIntegerValue())
                        : NODES.numberNode(parser.getLongValue());
            case VALUE_NUMBER_FLOAT:
                return NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE:
            case VALUE_FALSE:
                return NODES.booleanNode(token == JsonToken.VALUE_TRUE);
            default:
                return NODES.nullNode();
        }
    }
}
