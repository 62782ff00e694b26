package dev.kumquatweir.program.burn;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Keeps counters over a restart. A new file is synced under another name before it takes the place
 * of the old one, so that a crash leaves one of them whole. One thread at a time.
 */
public final class BurnFile {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String MINUTES = "minutes";
    private static final String RUNNING = "running";
    private static final String FILE_NAME = "counters.json";
    private static final String TEMPORARY_FILE_NAME = "counters.json.new";

    private final Path mFolder;

    /**
     * @param folder folder for the file; made when it is missing
     */
    public BurnFile(Path folder) {
        mFolder = folder;
    }

    /**
     * Saves the counters.
     *
     * @param running admitted requests that have not ended, by profile
     * @return the failure, if there was one
     */
    public Option<BurnFailure> save(
            BurnCounters counters, Map<String, Long> running, long nowMillis) {
        ObjectNode root = JSON.createObjectNode();
        ObjectNode profiles = root.putObject(MINUTES);
        counters.minutes(BurnCounters.RETENTION_MINUTES, nowMillis)
                .forEach(
                        (profile, minutes) -> {
                            ObjectNode node = profiles.putObject(profile);
                            minutes.forEach(
                                    (minute, counts) -> write(node.putArray("" + minute), counts));
                        });
        ObjectNode open = root.putObject(RUNNING);
        running.forEach(open::put);
        try {
            replaceFile(root.toString().getBytes(StandardCharsets.UTF_8));
            return Option.none();
        } catch (IOException exception) {
            return Option.some(new BurnFailure.Unusable(filePath(), exception.toString()));
        }
    }

    /** Adds the saved counters; what still ran when they were saved counts as lost. */
    public Either<BurnFailure, Boolean> load(BurnCounters counters, long nowMillis) {
        Path file = mFolder.resolve(FILE_NAME);
        if (!Files.exists(file)) {
            return Either.right(false);
        }
        try {
            JsonNode root = JSON.readTree(Files.readAllBytes(file));
            if (!root.isObject()) {
                return Either.left(new BurnFailure.Damaged(filePath(), "is no JSON object"));
            }
            long nowMinute = nowMillis / BurnCounters.MINUTE_MILLIS;
            List<Runnable> additions = new ArrayList<>();
            for (Map.Entry<String, JsonNode> profile : root.path(MINUTES).properties()) {
                for (Map.Entry<String, JsonNode> minute : profile.getValue().properties()) {
                    long number = Long.parseLong(minute.getKey());
                    BurnCounts counts = read(minute.getValue());
                    if (number > nowMinute - BurnCounters.RETENTION_MINUTES
                            && number <= nowMinute) {
                        additions.add(() -> counters.add(profile.getKey(), number, counts));
                    }
                }
            }
            for (Map.Entry<String, JsonNode> open : root.path(RUNNING).properties()) {
                BurnCounts lost = lostRequests(open.getValue().asLong());
                additions.add(() -> counters.add(open.getKey(), nowMinute, lost));
            }
            additions.forEach(Runnable::run);
            return Either.right(true);
        } catch (JacksonException | IllegalArgumentException exception) {
            return Either.left(new BurnFailure.Damaged(filePath(), exception.toString()));
        } catch (IOException exception) {
            return Either.left(new BurnFailure.Unusable(filePath(), exception.toString()));
        }
    }

    private void replaceFile(byte[] content) throws IOException {
        Files.createDirectories(mFolder);
        Path temporaryFile = mFolder.resolve(TEMPORARY_FILE_NAME);
        try (FileChannel channel =
                FileChannel.open(
                        temporaryFile,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer buffer = ByteBuffer.wrap(content);
            while (buffer.hasRemaining()) {
                channel.write(buffer);
            }
            channel.force(true);
        }
        Files.move(
                temporaryFile,
                mFolder.resolve(FILE_NAME),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel folder = FileChannel.open(mFolder, StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    private String filePath() {
        return mFolder.resolve(FILE_NAME).toString();
    }

    private static void write(ArrayNode array, BurnCounts counts) {
        counts.values().forEach(array::add);
    }

    private static BurnCounts read(JsonNode array) {
        List<Long> numbers = new ArrayList<>();
        for (JsonNode number : array) {
            if (!number.canConvertToLong() || number.asLong() < 0) {
                throw new IllegalArgumentException("not a count: " + number);
            }
            numbers.add(number.asLong());
        }
        return new BurnCounts(
                numbers.subList(0, Math.min(numbers.size(), BurnCount.values().length)));
    }

    private static BurnCounts lostRequests(long number) {
        List<Long> numbers = new ArrayList<>(BurnCounts.NONE.values());
        numbers.set(BurnCount.LOST.position(), number);
        return new BurnCounts(numbers);
    }
}
