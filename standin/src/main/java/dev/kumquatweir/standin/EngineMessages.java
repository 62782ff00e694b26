package dev.kumquatweir.standin;

import com.fasterxml.jackson.databind.JsonNode;
import dev.kumquatweir.standin.model.EngineLoad;
import dev.kumquatweir.standin.model.KvHandle;
import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Bodies of the calls to engines and their answers, beside those of the model. */
final class EngineMessages {
    private EngineMessages() {}

    record AttemptName(String attempt) {
        AttemptName {
            Objects.requireNonNull(attempt, "attempt");
        }
    }

    record Cancelled(boolean cancelled) {}

    record RequestMemory(String attempt, long memoryTokens) {}

    record Requests(List<RequestMemory> requests, List<KvHandle> exports) {}

    record Import(String handle, String source) {
        Import {
            Objects.requireNonNull(handle, "handle");
            Objects.requireNonNull(source, "source");
        }
    }

    record HandleName(String handle) {
        HandleName {
            Objects.requireNonNull(handle, "handle");
        }
    }

    record Released(boolean released) {}

    record OrderTaken(long readyInMs) {}

    record FaultOrder(String fault, @Nullable JsonNode value) {
        FaultOrder {
            Objects.requireNonNull(fault, "fault");
        }
    }

    record FaultSwitched(String fault) {}

    record State(
            String id,
            long incarnation,
            EngineLoad load,
            EngineRuntime.Counts counts,
            List<String> models,
            String role) {}
}
