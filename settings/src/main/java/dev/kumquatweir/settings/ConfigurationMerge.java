package dev.kumquatweir.settings;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.configuration.ConfigurationDocument;
import io.vavr.control.Either;

/**
 * Replaces a document by a TOML text. The text says nothing of failure domains out of service or of
 * retired upstreams unless it has their keys: a file that was written before a domain went out must
 * not return it. Thread-safe: holds no state.
 */
public final class ConfigurationMerge {
    private ConfigurationMerge() {}

    /**
     * Returns the new document.
     *
     * @param present the document that is replaced
     * @param file name used in failures
     * @param text the new document in TOML
     */
    public static Either<SettingsFailure, ConfigurationDocument> replace(
            ConfigurationDocument present, String file, String text) {
        return TomlDocument.parse(file, text)
                .flatMap(
                        tree ->
                                ConfigurationReader.readToml(file, text)
                                        .map(document -> keep(present, document, tree)));
    }

    private static ConfigurationDocument keep(
            ConfigurationDocument present, ConfigurationDocument document, ObjectNode tree) {
        return document.withDomainsOutOfService(
                        tree.has("domains_out")
                                ? document.domainsOutOfService()
                                : present.domainsOutOfService())
                .withRetiredUpstreams(
                        tree.has("retired_upstreams")
                                ? document.retiredUpstreams()
                                : present.retiredUpstreams());
    }
}
