package gullspar.proxy.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Reads JSON into trees, one value after the other, also where it comes in pieces cut at any byte. Jackson's
 * non-blocking parser and its nodes do the work; its ObjectMapper is left out, since making one sets up
 * dates, zones and locales, a fifth of a second of a start on half a core. The parser limits depth and
 * lengths.
 */
public final class Json {
    private static final JsonFactory JSON_FACTORY = new JsonFactory();
    private static final JsonNodeFactory NODE_FACTORY = JsonNodeFactory.instance;

    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    /** The objects and lists that have begun and not ended, the innermost first. */
    private final Deque<JsonNode> open = new ArrayDeque<>();
    /** The names of the fields that wait for their values, the innermost first. */
    private final Deque<String> names = new ArrayDeque<>();

    private int pendingBytes;

    /** For what comes in pieces. */
    public Json() {
        try {
            parser = JSON_FACTORY.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException(e); // nothing is read here
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** Reads one value that is there whole; a missing node if there is none. */
    public static JsonNode read(byte[] bytes) throws IOException {
        Json json = new Json();
        json.add(bytes);
        JsonNode value = json.next();
        if (value == null) {
            json.feeder.endOfInput(); // what was cut off is an error from now on
            value = json.next();
        }
        return value == null ? NODE_FACTORY.missingNode() : value;
    }

    /** Adds what has come; all that came before has been asked for by {@link #next}. */
    public void add(byte[] bytes) throws IOException {
        pendingBytes += bytes.length;
        feeder.feedInput(bytes, 0, bytes.length);
    }

    /** Has no object or list begun that has not ended? */
    public boolean isBetweenValues() {
        return open.isEmpty();
    }

    /** So many bytes were added of an object or list that has begun and not ended, or a few more. */
    public int pendingBytes() {
        return pendingBytes;
    }

    /** The next value that is whole; null if there is none yet. An IOException if this is no JSON. */
    public JsonNode next() throws IOException {
        for (JsonToken t = parser.nextToken(); t != null; t = parser.nextToken()) {
            if (t == JsonToken.NOT_AVAILABLE) {
                pendingBytes = isBetweenValues() ? 0 : pendingBytes;
                return null;
            }
            JsonNode value = process(t);
            if (value != null && isBetweenValues()) {
                pendingBytes = 0;
                return value;
            }
        }
        return null;
    }

    /** Takes a token in; the value that ends with it, null if none does. */
    private JsonNode process(JsonToken token) throws IOException {
        switch (token) {
            case FIELD_NAME:
                names.push(parser.currentName());
                return null;
            case START_OBJECT:
                return begin(NODE_FACTORY.objectNode());
            case START_ARRAY:
                return begin(NODE_FACTORY.arrayNode());
            case END_OBJECT:
            case END_ARRAY:
                return open.pop();
            default:
                return attach(scalar(token));
        }
    }

    private JsonNode begin(JsonNode container) {
        attach(container);
        open.push(container);
        return null;
    }

    /** Puts a value into what it is part of. */
    private JsonNode attach(JsonNode value) {
        if (open.peek() instanceof ObjectNode object) {
            object.set(names.pop(), value);
        } else if (open.peek() instanceof ArrayNode array) {
            array.add(value);
        }
        return value;
    }

    private JsonNode scalar(JsonToken token) throws IOException {
        switch (token) {
            case VALUE_STRING:
                return NODE_FACTORY.textNode(parser.getText());
            case VALUE_NUMBER_INT:
                return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? NODE_FACTORY.numberNode(parser.getBigIntegerValue())
                        : NODE_FACTORY.numberNode(parser.getLongValue());
            case VALUE_NUMBER_FLOAT:
                return NODE_FACTORY.numberNode(parser.getDoubleValue());
            case VALUE_TRUE:
            case VALUE_FALSE:
                return NODE_FACTORY.booleanNode(token == JsonToken.VALUE_TRUE);
            default:
                return NODE_FACTORY.nullNode();
        }
    }
}
