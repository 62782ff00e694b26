package dev.kumquatweir.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.bytes.Bytes;
import dev.kumquatweir.core.configuration.ConfigurationDocument;
import io.vavr.control.Either;
import java.util.List;

/**
 * Puts one profile, written as a TOML text with a single {@code [[profiles]]} table, into a
 * document. The profile replaces the one of its name as a whole: keys that it leaves out get their
 * defaults. Thread-safe: holds no state.
 */
public final class ProfileMerge {
    private static final String PROFILES = "profiles";
    private static final String NAME = "name";

    private ProfileMerge() {}

    /**
     * Returns the document with the profile.
     *
     * @param present the document that the profile goes into
     * @param file name used in failures
     * @param text the profile in TOML
     */
    public static Either<SettingsFailure, ConfigurationDocument> merge(
            ConfigurationDocument present, String file, String text) {
        return TomlDocument.parse(file, text)
                .flatMap(tree -> onlyProfile(file, tree))
                .flatMap(profile -> replace(present, profile));
    }

    private static Either<SettingsFailure, ObjectNode> onlyProfile(String file, ObjectNode tree) {
        boolean single = tree.size() == 1 && tree.path(PROFILES).size() == 1;
        return single && tree.path(PROFILES).path(0) instanceof ObjectNode profile
                ? Either.right(profile)
                : Either.left(
                        new SettingsFailure.Invalid(
                                file,
                                List.of(
                                        new SettingsFault(
                                                PROFILES,
                                                1,
                                                "exactly one [[profiles]] table and nothing else"
                                                        + " is allowed"))));
    }

    private static Either<SettingsFailure, ConfigurationDocument> replace(
            ConfigurationDocument present, ObjectNode profile) {
        ObjectNode tree = ConfigurationWriter.toTree(present);
        ArrayNode others = tree.arrayNode();
        for (JsonNode known : tree.path(PROFILES)) {
            if (!known.path(NAME).equals(profile.path(NAME))) {
                others.add(known);
            }
        }
        tree.set(PROFILES, others.add(profile));
        return ConfigurationReader.readStored(Bytes.ofText(tree.toString()));
    }
}
