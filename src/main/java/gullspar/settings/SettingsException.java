package gullspar.settings;

/** Settings that cannot be used; the message says which and why. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public SettingsException(String message) {
        super(message);
    }
}
