package dev.kumquatweir.program.instance;

import com.codahale.metrics.MetricRegistry;
import dev.kumquatweir.core.event.EventLog;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.gateway.http.ConnectionGuard;
import dev.kumquatweir.gateway.http.ConnectionLimits;
import dev.kumquatweir.gateway.http.HttpListeners;
import dev.kumquatweir.gateway.http.HttpListeners.HttpListener;
import dev.kumquatweir.settings.ConnectionSettings;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.transport.api.IoExecutor;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Opens the listeners of a process with the limits of its settings and machine. Thread-safe. */
public final class ListenerFactory {
    private static final EventLog LOG = EventLog.of(ListenerFactory.class);
    private static final Path PROCESS_LIMITS = Path.of("/proc/self/limits");
    private static final Pattern OPEN_FILES = Pattern.compile("^Max open files +([0-9]{1,18}) ");

    /** The heap is this many times as large as the memory for all connections. */
    private static final int MEMORY_SHARE = 8;

    /** Callers get this part of the descriptors; their requests need as many to upstreams. */
    private static final int CALLER_SHARE = 2;

    /** Each other listener gets this part, so that none of them uses up what others need. */
    private static final int OTHER_SHARE = 16;

    /** Connections that a listener always may have, also with few descriptors. */
    private static final int MINIMUM_CONNECTIONS = 64;

    private static final long UNKNOWN_DESCRIPTORS = 4_096;

    private final ConnectionSettings mSettings;
    private final ConnectionGuard mGuard;
    private final HttpListeners mListeners;

    /**
     * @param idleMillis time after which a connection without traffic is closed
     * @param metrics gets the counters of the limits
     */
    public ListenerFactory(
            ConnectionSettings settings,
            long idleMillis,
            MetricRegistry metrics,
            Clocks clocks,
            IoExecutor executor) {
        mSettings = settings;
        ConnectionLimits limits =
                ConnectionLimits.builder()
                        .headBytes(settings.headBytes())
                        .headFields(settings.headFields())
                        .headMillis(settings.headMillis())
                        .bodyStallMillis(settings.bodyStallMillis())
                        .unreadMillis(settings.unreadMillis())
                        .pipelinedRequests(settings.pipelinedRequests())
                        .build();
        long memory =
                settings.memoryBytes() > 0
                        ? settings.memoryBytes()
                        : Runtime.getRuntime().maxMemory() / MEMORY_SHARE;
        mGuard = new ConnectionGuard(limits, memory, metrics, clocks);
        mListeners = new HttpListeners(mGuard, executor, idleMillis);
    }

    /** Returns the bytes that connections hold: heads, waiting requests, unread responses. */
    public long connectionBytes() {
        return mGuard.usedBytes();
    }

    /**
     * Listens on an address.
     *
     * @param name name of the listener; those of callers get most of the connections
     * @throws Exception if the address can't be listened on
     */
    public HttpListener listen(String name, InetSocketAddress address, StreamingHttpService service)
            throws Exception {
        return mListeners.listen(name, address, maximumConnections(name), service);
    }

    private int maximumConnections(String name) {
        if (!name.startsWith("caller")) {
            return part(OTHER_SHARE);
        }
        return mSettings.callerConnections() > 0
                ? mSettings.callerConnections()
                : part(CALLER_SHARE);
    }

    private static int part(int share) {
        long part = maximumDescriptors() / share;
        return (int) Math.clamp(part, MINIMUM_CONNECTIONS, Integer.MAX_VALUE);
    }

    /** Reads the limit of this process; the runtime image lacks the module that knows it. */
    private static long maximumDescriptors() {
        try (Stream<String> lines = Files.lines(PROCESS_LIMITS)) {
            return lines.map(OPEN_FILES::matcher)
                    .filter(Matcher::find)
                    .mapToLong(matcher -> Long.parseLong(matcher.group(1)))
                    .findFirst()
                    .orElse(UNKNOWN_DESCRIPTORS);
        } catch (IOException | UncheckedIOException failure) {
            LOG.warn("descriptor_limit_unknown", "problem", String.valueOf(failure.getMessage()));
            return UNKNOWN_DESCRIPTORS;
        }
    }
}
