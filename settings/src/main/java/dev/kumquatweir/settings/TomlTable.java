package dev.kumquatweir.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.kumquatweir.core.identity.InvalidIdentifierException;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;
import org.jspecify.annotations.Nullable;

/**
 * One table of a settings file. Each reading method returns a usable value and notes a fault if the
 * file's value is missing or not allowed, so that all faults are found in one pass. Not
 * thread-safe.
 */
final class TomlTable {
    private final String mPath;
    private final ObjectNode mNode;
    private final LineIndex mLines;
    private final List<SettingsFault> mFaults;
    private final Set<String> mKnownKeys = new HashSet<>();

    TomlTable(String path, ObjectNode node, LineIndex lines, List<SettingsFault> faults) {
        mPath = path;
        mNode = node;
        mLines = lines;
        mFaults = faults;
    }

    boolean has(String key) {
        mKnownKeys.add(key);
        return mNode.has(key);
    }

    /** Returns the text of a key that has to be there. */
    String text(String key) {
        JsonNode value = value(key);
        if (value == null) {
            fault(key, "is missing; a text is needed");
            return "missing";
        }
        return textOf(key, value);
    }

    String text(String key, String otherwise) {
        JsonNode value = value(key);
        return value == null ? otherwise : textOf(key, value);
    }

    /**
     * Returns the text of a key that may be missing or empty; rendered settings have such texts.
     */
    String textOrEmpty(String key) {
        JsonNode value = value(key);
        if (value == null) {
            return "";
        }
        if (!value.isTextual()) {
            fault(key, "a text is allowed");
            return "";
        }
        return value.textValue().strip();
    }

    long wholeNumber(String key, long lowest, long highest, long otherwise) {
        JsonNode value = value(key);
        if (value == null) {
            return otherwise;
        }
        if (!value.canConvertToExactIntegral()
                || value.longValue() < lowest
                || value.longValue() > highest) {
            fault(key, "a whole number from " + lowest + " to " + highest + " is allowed");
            return otherwise;
        }
        return value.longValue();
    }

    double fraction(String key, double otherwise) {
        JsonNode value = value(key);
        if (value == null) {
            return otherwise;
        }
        if (!value.isNumber() || !(value.doubleValue() >= 0 && value.doubleValue() <= 1)) {
            fault(key, "a number from 0 to 1 is allowed");
            return otherwise;
        }
        return value.doubleValue();
    }

    /**
     * Returns a number that may have decimals. A text that holds a number is allowed too, and an
     * empty text counts as a missing key: rendered settings have one where a value is absent.
     */
    double decimal(String key, double lowest, double highest, double otherwise) {
        JsonNode value = value(key);
        if (value == null || (value.isTextual() && value.textValue().isBlank())) {
            return otherwise;
        }
        double number = value.isNumber() ? value.doubleValue() : parsed(value.asText());
        if (!(number >= lowest && number <= highest)) {
            fault(key, "a number from " + plain(lowest) + " to " + plain(highest) + " is allowed");
            return otherwise;
        }
        return number;
    }

    private static double parsed(String text) {
        try {
            return Double.parseDouble(text.strip());
        } catch (NumberFormatException invalid) {
            return Double.NaN;
        }
    }

    private static String plain(double number) {
        return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
    }

    boolean flag(String key, boolean otherwise) {
        JsonNode value = value(key);
        if (value == null) {
            return otherwise;
        }
        if (!value.isBoolean()) {
            fault(key, "true or false is allowed");
            return otherwise;
        }
        return value.booleanValue();
    }

    <E extends Enum<E>> E choice(String key, Class<E> type, E otherwise) {
        JsonNode value = value(key);
        if (value == null) {
            return otherwise;
        }
        return Arrays.stream(type.getEnumConstants())
                .filter(constant -> wireName(constant).equals(value.asText()))
                .findFirst()
                .orElseGet(
                        () -> {
                            fault(key, "one of " + choices(type) + " is allowed");
                            return otherwise;
                        });
    }

    /** Returns an identifier made from the text of a key that has to be there. */
    <T> T identifier(String key, Function<String, T> constructor, T otherwise) {
        String text = text(key);
        return identifierOf(key, text, constructor).orElse(otherwise);
    }

    <T> Set<T> identifiers(String key, Function<String, T> constructor) {
        JsonNode value = value(key);
        if (value == null) {
            return Set.of();
        }
        if (!(value instanceof ArrayNode array)) {
            fault(key, "a list of texts is allowed");
            return Set.of();
        }
        return StreamSupport.stream(array.spliterator(), false)
                .map(element -> identifierOf(key, element.asText(), constructor))
                .flatMap(Optional::stream)
                .collect(Collectors.toSet());
    }

    /** Returns the table of a key; an empty one if the file has none. */
    TomlTable table(String key) {
        JsonNode value = value(key);
        if (value == null) {
            return child(key, mNode.objectNode());
        }
        if (!(value instanceof ObjectNode object)) {
            fault(key, "a table is allowed");
            return child(key, mNode.objectNode());
        }
        return child(key, object);
    }

    List<TomlTable> tables(String key) {
        JsonNode value = value(key);
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof ArrayNode array)) {
            fault(key, "a list of tables is allowed");
            return List.of();
        }
        List<TomlTable> tables = new ArrayList<>();
        IntStream.range(0, array.size())
                .forEach(
                        position -> {
                            String name = key + "[" + position + "]";
                            if (array.get(position) instanceof ObjectNode object) {
                                tables.add(child(name, object));
                            } else {
                                fault(name, "a table is allowed");
                            }
                        });
        return tables;
    }

    void fault(String key, String problem) {
        String path = mPath.isEmpty() ? key : mPath + "." + key;
        mFaults.add(new SettingsFault(path, mLines.lineOf(path), problem));
    }

    /** Notes a fault for each key that nothing has asked for. Call after all keys were read. */
    void refuseUnknownKeys() {
        mNode.fieldNames()
                .forEachRemaining(
                        key -> {
                            if (!mKnownKeys.contains(key)) {
                                String known =
                                        mKnownKeys.stream()
                                                .sorted()
                                                .collect(Collectors.joining(", "));
                                fault(key, "is not known here; known are " + known);
                            }
                        });
    }

    static String wireName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private <T> Optional<T> identifierOf(String key, String text, Function<String, T> constructor) {
        try {
            return Optional.of(constructor.apply(text));
        } catch (InvalidIdentifierException exception) {
            fault(key, String.valueOf(exception.getMessage()));
            return Optional.empty();
        }
    }

    private String textOf(String key, JsonNode value) {
        if (!value.isTextual() || value.textValue().isBlank()) {
            fault(key, "a text that is not empty is allowed");
            return "invalid";
        }
        return value.textValue();
    }

    private @Nullable JsonNode value(String key) {
        mKnownKeys.add(key);
        return mNode.get(key);
    }

    private TomlTable child(String key, ObjectNode node) {
        String path = mPath.isEmpty() ? key : mPath + "." + key;
        return new TomlTable(path, node, mLines, mFaults);
    }

    private static <E extends Enum<E>> String choices(Class<E> type) {
        return Arrays.stream(type.getEnumConstants())
                .map(TomlTable::wireName)
                .collect(Collectors.joining(", "));
    }
}
