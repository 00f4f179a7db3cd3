package gullspar.proxy.config;

/** A configuration that no proxy can start with; the message is one plain line. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    public ConfigException(String message) {
        super(message);
    }
}
