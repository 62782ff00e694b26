package dev.kumquatweir.program.command;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import com.github.rvesse.airline.annotations.restrictions.MinOccurrences;
import dev.kumquatweir.program.log.LoggedEvent;
import dev.kumquatweir.program.log.RequestTrace;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Collects the log events of one request from the log files of several processes. */
@Command(name = "trace", description = "Show the history of a request from log files")
@Examples(
        examples = "kumquatweir trace 5b45bc62d30db65d entry-1.log entry-2.log control-1.log",
        descriptions = "Shows the log events of a request and the changes around it, by time")
public final class TraceCommand implements Callable<Integer> {
    private static final Set<String> EXCLUDED_KEYS =
            Set.of("time", "level", "logger", "thread", "event");

    @Arguments(
            title = {"REQUEST", "FILE"},
            description = "The request id, then log files of processes")
    @MinOccurrences(occurrences = 2)
    private List<String> mArguments = new ArrayList<>();

    @Option(name = "--output", title = "FORM", description = "table (the default) or json")
    @AllowedRawValues(allowedValues = {"table", "json"})
    private String mOutput = "table";

    @Override
    public Integer call() {
        String request = mArguments.get(0);
        List<LoggedEvent> events = new ArrayList<>();
        for (String name : mArguments.subList(1, mArguments.size())) {
            Path file = Path.of(name);
            try (Stream<String> lines = Files.lines(file)) {
                lines.map(line -> LoggedEvent.parse(String.valueOf(file.getFileName()), line))
                        .flatMap(Optional::stream)
                        .forEach(events::add);
            } catch (IOException exception) {
                System.err.println("failed: can't read " + file + ": " + exception.getMessage());
                return ExitStatus.BAD_INPUT.code();
            }
        }
        List<LoggedEvent> trace = RequestTrace.of(request, events);
        if (trace.isEmpty()) {
            System.err.println("failed: no log event names request " + request);
            System.err.println("next: pass the log files of all entry instances for that time");
            return ExitStatus.FAILED.code();
        }
        formatTrace(trace).forEach(System.out::println);
        return ExitStatus.SUCCESS.code();
    }

    private List<String> formatTrace(List<LoggedEvent> trace) {
        if (mOutput.equals("json")) {
            return trace.stream().map(TraceCommand::toJson).toList();
        }
        List<List<String>> rows = new ArrayList<>();
        rows.add(List.of("TIME", "SOURCE", "EVENT", "VALUES"));
        trace.forEach(
                event ->
                        rows.add(
                                List.of(
                                        event.time().toString(),
                                        event.source(),
                                        event.event(),
                                        formatValues(event))));
        return TextTable.lines(rows);
    }

    private static String formatValues(LoggedEvent event) {
        return event.values().entrySet().stream()
                .filter(pair -> !EXCLUDED_KEYS.contains(pair.getKey()))
                .map(pair -> pair.getKey() + "=" + pair.getValue())
                .collect(Collectors.joining(" "));
    }

    private static String toJson(LoggedEvent event) {
        ObjectNode node = new ObjectMapper().createObjectNode();
        node.put("source", event.source());
        event.values().forEach(node::put);
        return node.toString();
    }
}
