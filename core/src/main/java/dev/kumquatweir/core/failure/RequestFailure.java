package dev.kumquatweir.core.failure;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.IdempotencyKey;
import dev.kumquatweir.core.identity.UpstreamId;

/** Why a caller's request was refused or failed. */
public sealed interface RequestFailure extends Failure {

    /** The request has no API key, or one that belongs to no team. */
    record NotAuthenticated() implements RequestFailure {
        @Override
        public String code() {
            return "not_authenticated";
        }

        @Override
        public String message() {
            return "the Authorization header names no known team";
        }
    }

    /**
     * The request can't be parsed.
     *
     * @param location header, body path or byte offset of the fault
     * @param problem what is wrong there
     */
    record Malformed(String location, String problem) implements RequestFailure {
        @Override
        public String code() {
            return "malformed_request";
        }

        @Override
        public String message() {
            return location + ": " + problem;
        }
    }

    /**
     * The body exceeds the limit.
     *
     * @param limitBytes largest body that is accepted
     */
    record BodyTooLarge(long limitBytes) implements RequestFailure {
        @Override
        public String code() {
            return "body_too_large";
        }

        @Override
        public String message() {
            return "the body is larger than " + limitBytes + " bytes";
        }
    }

    /**
     * The request refers to a profile, model or service that does not exist.
     *
     * @param kind what the name refers to: profile, model or service
     * @param name the unknown name
     */
    record UnknownName(String kind, String name) implements RequestFailure {
        @Override
        public String code() {
            return "unknown_" + kind;
        }

        @Override
        public String message() {
            return "there is no " + kind + " '" + name + "'";
        }
    }

    /** The profile or route needs an idempotency key and the request has none. */
    record IdempotencyKeyMissing() implements RequestFailure {
        @Override
        public String code() {
            return "idempotency_key_missing";
        }

        @Override
        public String message() {
            return "this request may not be repeated and needs an Idempotency-Key header";
        }
    }

    /**
     * The idempotency key was used before with a different request.
     *
     * @param key the key in question
     */
    record IdempotencyKeyReused(IdempotencyKey key) implements RequestFailure {
        @Override
        public String code() {
            return "idempotency_key_reused";
        }

        @Override
        public String message() {
            return "Idempotency-Key '" + key + "' was used with another request";
        }
    }

    /**
     * The first request with this key is still running; this one was not sent to an upstream.
     *
     * @param key the key in question
     */
    record InProgress(IdempotencyKey key) implements RequestFailure {
        @Override
        public String code() {
            return "in_progress";
        }

        @Override
        public String message() {
            return "a request with Idempotency-Key '" + key + "' is still running";
        }

        @Override
        public Executed executed() {
            return Executed.UNKNOWN;
        }
    }

    /**
     * It is unknown whether the request with this key was executed; it is not sent again.
     *
     * @param key the key in question
     */
    record OutcomeUnknown(IdempotencyKey key) implements RequestFailure {
        @Override
        public String code() {
            return "outcome_unknown";
        }

        @Override
        public String message() {
            return "the outcome of the request with Idempotency-Key '" + key + "' is not known";
        }

        @Override
        public Executed executed() {
            return Executed.UNKNOWN;
        }
    }

    /**
     * The request with this key was executed, but its response was too large to store.
     *
     * @param key the key in question
     */
    record ResponseNotStored(IdempotencyKey key) implements RequestFailure {
        @Override
        public String code() {
            return "answer_not_kept";
        }

        @Override
        public String message() {
            return "the request with Idempotency-Key '"
                    + key
                    + "' ran; its response was not stored";
        }

        @Override
        public Executed executed() {
            return Executed.YES;
        }
    }

    /**
     * Rejected by admission control: the queue is too long for the request to meet its deadline.
     *
     * @param retryAfterMillis time after which a retry is likely to be admitted
     */
    record Overloaded(long retryAfterMillis) implements RequestFailure {
        @Override
        public String code() {
            return "overloaded";
        }

        @Override
        public String message() {
            return "the request can't end in its time; retry in " + retryAfterMillis + " ms";
        }
    }

    /**
     * The bodies of other requests use up the memory for bodies.
     *
     * @param retryAfterMillis time after which memory is likely to be free again
     */
    record BodyMemoryFull(long retryAfterMillis) implements RequestFailure {
        @Override
        public String code() {
            return "body_memory_full";
        }

        @Override
        public String message() {
            return "no memory is free for the body; retry in " + retryAfterMillis + " ms";
        }
    }

    /**
     * The estimated time exceeds the time limit of the request even on an idle engine.
     *
     * @param neededMillis estimated time on an idle engine
     * @param limitMillis time limit of the request
     */
    record DeadlineTooShort(long neededMillis, long limitMillis) implements RequestFailure {
        @Override
        public String code() {
            return "deadline_too_short";
        }

        @Override
        public String message() {
            return "needs about " + neededMillis + " ms, limit is " + limitMillis + " ms";
        }
    }

    /**
     * The prompt does not fit the KV cache that the profile may use.
     *
     * @param promptTokens estimated length of the prompt
     * @param limitTokens longest prompt that fits
     */
    record PromptTooLong(long promptTokens, long limitTokens) implements RequestFailure {
        @Override
        public String code() {
            return "prompt_too_long";
        }

        @Override
        public String message() {
            return "the prompt has about " + promptTokens + " tokens, limit is " + limitTokens;
        }
    }

    /**
     * No upstream of the service accepts requests at present.
     *
     * @param service the service that was requested
     * @param retryAfterMillis time after which a retry is sensible
     */
    record NoUpstream(String service, long retryAfterMillis) implements RequestFailure {
        @Override
        public String code() {
            return "no_upstream";
        }

        @Override
        public String message() {
            return "no upstream of '" + service + "' takes work now";
        }
    }

    /** The instance has no valid configuration lease and sends no new requests to upstreams. */
    record NoConfigurationLease() implements RequestFailure {
        @Override
        public String code() {
            return "no_configuration_lease";
        }

        @Override
        public String message() {
            return "this instance can't confirm its configuration; use another instance";
        }
    }

    /** The instance is shutting down and accepts no new requests. */
    record Draining() implements RequestFailure {
        @Override
        public String code() {
            return "draining";
        }

        @Override
        public String message() {
            return "this instance is stopping; use another instance";
        }
    }

    /**
     * The instance stopped before the response was complete.
     *
     * @param executed what is known about its execution
     */
    record InstanceStopped(Executed executed) implements RequestFailure {
        @Override
        public String code() {
            return "instance_stopped";
        }

        @Override
        public String message() {
            return "this instance stopped before the response was complete";
        }
    }

    /** No quorum decided the claim on a non-repeatable request; the request was not sent. */
    record NoQuorum() implements RequestFailure {
        @Override
        public String code() {
            return "no_quorum";
        }

        @Override
        public String message() {
            return "no quorum of control instances can be reached; the request was not sent";
        }
    }

    /**
     * The request crashed upstreams before and is refused until its quarantine expires.
     *
     * @param crashedUpstreams number of upstreams that it crashed
     * @param executed what is known about its execution
     */
    record Quarantined(int crashedUpstreams, Executed executed) implements RequestFailure {
        /** Returns a copy with this knowledge about the execution of the request. */
        public Quarantined withExecuted(Executed known) {
            return new Quarantined(crashedUpstreams, known);
        }

        @Override
        public String code() {
            return "quarantined";
        }

        @Override
        public String message() {
            return "this request crashed " + crashedUpstreams + " upstreams and is not run again";
        }
    }

    /**
     * The deadline passed before the response was complete.
     *
     * @param executed what is known about its execution
     */
    record DeadlineExceeded(Executed executed) implements RequestFailure {
        @Override
        public String code() {
            return "deadline_exceeded";
        }

        @Override
        public String message() {
            return "the request did not end in its time";
        }
    }

    /**
     * The upstream failed and the request can't be retried safely.
     *
     * @param upstream upstream of the last attempt
     * @param problem error that was observed
     * @param executed what is known about its execution
     */
    record UpstreamFailed(UpstreamId upstream, String problem, Executed executed)
            implements RequestFailure {
        @Override
        public String code() {
            return "upstream_failed";
        }

        @Override
        public String message() {
            return "upstream " + upstream + ": " + problem;
        }
    }

    /**
     * The failure domain was taken out of service before the request was sent.
     *
     * @param domain the failure domain
     */
    record FailureDomainOut(FailureDomain domain) implements RequestFailure {
        @Override
        public String code() {
            return "failure_domain_out";
        }

        @Override
        public String message() {
            return "failure domain " + domain + " is out of service";
        }
    }

    /** The caller closed its connection before the response was complete. */
    record CallerDisconnected() implements RequestFailure {
        @Override
        public String code() {
            return "caller_gone";
        }

        @Override
        public String message() {
            return "the caller closed its connection";
        }

        @Override
        public Executed executed() {
            return Executed.UNKNOWN;
        }
    }

    /**
     * A request with an idempotency key was refused before its claim was decided. It was not sent,
     * but an earlier request with the same key may have been executed.
     *
     * @param cause reason for the refusal
     */
    record RefusedBeforeClaim(RequestFailure cause) implements RequestFailure {
        @Override
        public String code() {
            return cause.code();
        }

        @Override
        public String message() {
            return cause.message();
        }

        @Override
        public Executed executed() {
            return Executed.UNKNOWN;
        }
    }
}
