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
 * Reads a sequence of JSON values into trees, also from input split at any byte. Uses Jackson's non-blocking
 * parser and nodes without ObjectMapper, whose setup of dates, zones and locales takes a fifth of a second of
 * startup on half a core. The parser limits depth and lengths.
 */
public final class Json {
    private static final JsonFactory JSON_FACTORY = new JsonFactory();
    private static final JsonNodeFactory NODE_FACTORY = JsonNodeFactory.instance;

    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    /** The objects and arrays that are not yet complete, the innermost first. */
    private final Deque<JsonNode> open = new ArrayDeque<>();
    /** The names of the fields whose values are not yet complete, the innermost first. */
    private final Deque<String> names = new ArrayDeque<>();

    private int pendingBytes;

    /** For incremental input. */
    public Json() {
        try {
            parser = JSON_FACTORY.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException(e); // cannot happen: nothing is read here
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** Reads one complete value; a missing node if the input is blank. */
    public static JsonNode read(byte[] bytes) throws IOException {
        Json json = new Json();
        json.add(bytes);
        JsonNode value = json.next();
        if (value == null) {
            json.feeder.endOfInput(); // makes truncated input an error
            value = json.next();
        }
        return value == null ? NODE_FACTORY.missingNode() : value;
    }

    /** Adds input; all values of earlier input must have been read with {@link #next}. */
    public void add(byte[] bytes) throws IOException {
        pendingBytes += bytes.length;
        feeder.feedInput(bytes, 0, bytes.length);
    }

    /** True if no object or array is incomplete. */
    public boolean isBetweenValues() {
        return open.isEmpty();
    }

    /** An upper bound on the input bytes of the current incomplete object or array. */
    public int pendingBytes() {
        return pendingBytes;
    }

    /** The next complete value; null if there is none yet. Throws an IOException on invalid JSON. */
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

    /** Processes a token; returns the value that it completes, null if none. */
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

    /** Adds a value to the innermost incomplete object or array. */
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
