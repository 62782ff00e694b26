package dev.kumquatweir.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.configuration.ConfigurationDocument;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * What one configuration document has that another has not. A whole profile, team or service that
 * was added or removed is one entry; a changed one has an entry for each key. Immutable.
 *
 * @param entries the differences, ordered by section and path
 */
public record ConfigurationDifference(List<DifferenceEntry> entries) {
    private static final String NAME = "name";
    private static final List<String> NAMED_SECTIONS = List.of("services", "profiles", "teams");
    private static final List<String> NAME_SECTIONS = List.of("domains_out", "retired_upstreams");

    /** Copies the list, so that the record is immutable. */
    public ConfigurationDifference {
        entries = List.copyOf(entries);
    }

    /** Compares two documents. */
    public static ConfigurationDifference between(
            ConfigurationDocument before, ConfigurationDocument after) {
        ObjectNode earlier = ConfigurationWriter.toTree(before);
        ObjectNode later = ConfigurationWriter.toTree(after);
        Stream<DifferenceEntry> named =
                NAMED_SECTIONS.stream()
                        .flatMap(
                                section ->
                                        section(
                                                section,
                                                byName(earlier.path(section)),
                                                byName(later.path(section))));
        Stream<DifferenceEntry> names =
                NAME_SECTIONS.stream()
                        .flatMap(
                                section ->
                                        section(
                                                section,
                                                bySelf(earlier.path(section)),
                                                bySelf(later.path(section))));
        return new ConfigurationDifference(Stream.concat(named, names).toList());
    }

    /** Returns whether the documents say the same. */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    private static Stream<DifferenceEntry> section(
            String section, Map<String, JsonNode> before, Map<String, JsonNode> after) {
        SortedSet<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        return names.stream()
                .flatMap(
                        name ->
                                entry(
                                        section + "." + name,
                                        Optional.ofNullable(before.get(name)),
                                        Optional.ofNullable(after.get(name))));
    }

    private static Stream<DifferenceEntry> entry(
            String path, Optional<JsonNode> before, Optional<JsonNode> after) {
        if (before.equals(after)) {
            return Stream.empty();
        }
        if (before.isPresent()
                && after.isPresent()
                && before.get().isObject()
                && after.get().isObject()) {
            return section(path, byKey(before.get()), byKey(after.get()));
        }
        DifferenceEntry.Kind kind =
                before.isEmpty()
                        ? DifferenceEntry.Kind.ADDED
                        : after.isEmpty()
                                ? DifferenceEntry.Kind.REMOVED
                                : DifferenceEntry.Kind.CHANGED;
        return Stream.of(new DifferenceEntry(kind, path, text(before), text(after)));
    }

    private static String text(Optional<JsonNode> value) {
        return value.map(JsonNode::toString).orElse("");
    }

    private static Map<String, JsonNode> byName(JsonNode tables) {
        Map<String, JsonNode> named = new TreeMap<>();
        tables.forEach(table -> named.put(table.path(NAME).asText(), table));
        return named;
    }

    private static Map<String, JsonNode> bySelf(JsonNode names) {
        Map<String, JsonNode> named = new TreeMap<>();
        names.forEach(name -> named.put(name.asText(), name));
        return named;
    }

    private static Map<String, JsonNode> byKey(JsonNode table) {
        Map<String, JsonNode> keys = new TreeMap<>();
        table.properties().forEach(entry -> keys.put(entry.getKey(), entry.getValue()));
        return keys;
    }
}
