package dev.kumquatweir.settings;

/**
 * One fault in a settings file. Immutable.
 *
 * @param key path of the key, such as {@code listen.caller} or {@code teams[2].name}
 * @param line line in the file, from 1; 0 if the key is missing altogether
 * @param problem what is wrong and what is allowed
 */
public record SettingsFault(String key, int line, String problem) {
    /** Returns the fault as one line for people. */
    public String describe() {
        return (line > 0 ? "line " + line + ": " : "") + key + ": " + problem;
    }
}
