package dev.kumquatweir.core.failure;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.IdempotencyKey;
import dev.kumquatweir.core.identity.UpstreamId;

/** Why a caller's request was refused or failed. */
public sealed interface RequestFailure extends Failure {

    /** The request carries no key, or one that no team has. */
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
     * The request can't be read.
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
     * @param limitBytes largest body that is taken
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
     * A name in the request is not known.
     *
     * @param kind what was named: profile, model or service
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
     * The key was used before with another request.
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
     * The first request with this key is still running; this one was not sent on.
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
     * Nobody can tell whether the request with this key was executed; it is not sent again.
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
     * The request with this key was executed, but its answer was too large to keep.
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
            return "the request with Idempotency-Key '" + key + "' ran; its answer was not kept";
        }

        @Override
        public Executed executed() {
            return Executed.YES;
        }
    }

    /**
     * The queue is too long for the request to end in its time.
     *
     * @param retryAfterMillis when a new try is likely to be admitted
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
     * The prompt needs more than the profile's time even on an idle engine.
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
     * The prompt does not fit the memory that the profile may use.
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
     * No upstream may take the request now.
     *
     * @param service what was asked for
     * @param retryAfterMillis when a new try is sensible
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

    /** The instance holds no configuration lease and gives out no new work. */
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

    /** The instance is stopping and takes no new requests. */
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

    /** The claim for a request that may not be repeated could not be agreed; it was not sent. */
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
     * The request crashed upstreams before and is refused until the mark expires.
     *
     * @param crashedUpstreams how many upstreams it crashed
     * @param executed what is known about its execution
     */
    record Quarantined(int crashedUpstreams, Executed executed) implements RequestFailure {
        /** Returns the same failure of a request about whose execution something else is known. */
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
     * The time of the request ended before its answer was whole.
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
     * The upstream failed and no safe retry is left.
     *
     * @param upstream the last upstream tried
     * @param problem what was seen
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
     * The failure domain was taken out before the request was sent.
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

    /** The caller closed its connection before the answer was whole. */
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
     * @param cause why it was refused
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
