package gullspar.settings;

/** Invalid settings; the message names the setting and the reason. */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public SettingsException(String message) {
        super(message);
    }
}
