package dev.kumquatweir.settings;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Reads a TOML text and collects the faults that its reader notes. Thread-safe: holds no state. */
final class TomlDocument {
    private static final TomlMapper MAPPER = new TomlMapper();

    private TomlDocument() {}

    static Either<SettingsFailure, String> load(Path file) {
        try {
            return Either.right(Files.readString(file, StandardCharsets.UTF_8));
        } catch (IOException exception) {
            String problem = exception.getClass().getSimpleName() + " " + exception.getMessage();
            return Either.left(new SettingsFailure.Unreadable(file.toString(), problem));
        }
    }

    /** Parses a text and reads it; a value is returned only if the reader noted no fault. */
    static <T> Either<SettingsFailure, T> read(
            String file, String text, Function<TomlTable, T> reader) {
        return parse(file, text).flatMap(root -> readTree(file, root, LineIndex.of(text), reader));
    }

    /** Parses a text without reading it; an empty text gives an empty tree. */
    static Either<SettingsFailure, ObjectNode> parse(String file, String text) {
        try {
            JsonNode tree = MAPPER.readTree(text);
            return Either.right(
                    tree instanceof ObjectNode object ? object : MAPPER.createObjectNode());
        } catch (JacksonException exception) {
            JsonLocation location = exception.getLocation();
            int line = location == null ? 0 : location.getLineNr();
            return Either.left(
                    new SettingsFailure.NotToml(file, line, exception.getOriginalMessage()));
        }
    }

    static <T> Either<SettingsFailure, T> readTree(
            String file, ObjectNode root, LineIndex lines, Function<TomlTable, T> reader) {
        List<SettingsFault> faults = new ArrayList<>();
        TomlTable table = new TomlTable("", root, lines, faults);
        T value = reader.apply(table);
        table.refuseUnknownKeys();
        return faults.isEmpty()
                ? Either.right(value)
                : Either.left(new SettingsFailure.Invalid(file, faults));
    }
}
