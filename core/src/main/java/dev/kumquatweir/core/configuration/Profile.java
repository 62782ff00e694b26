package dev.kumquatweir.core.configuration;

import dev.kumquatweir.core.identity.ModelName;
import dev.kumquatweir.core.identity.ProfileName;
import dev.kumquatweir.core.identity.ServiceName;
import java.util.Set;

/**
 * Settings for a class of requests: time limit, priority, models and objective. Immutable; built by
 * {@link #builder}.
 *
 * @param name name of the profile
 * @param service service whose upstreams execute the requests
 * @param requestClass class of the requests
 * @param timeLimitMillis time limit from admission to the complete response
 * @param priority from 0 (least urgent) to 9
 * @param models models that callers may request; a request that names no profile gets the first
 *     profile, by name, that has its model
 * @param oversize what happens to a prompt that does not fit the KV cache of one engine
 * @param repeatable false if a request may be executed at most once
 * @param callerDisconnect what happens when the caller closes its connection
 * @param teamShare largest share of the service that one team may use while others wait, 0 to 1
 * @param objective service-level objective
 */
public record Profile(
        ProfileName name,
        ServiceName service,
        RequestClass requestClass,
        long timeLimitMillis,
        int priority,
        Set<ModelName> models,
        OversizePolicy oversize,
        boolean repeatable,
        CallerDisconnectPolicy callerDisconnect,
        double teamShare,
        ServiceLevelObjective objective) {

    /** Copies the set of models, so that the record is immutable. */
    public Profile {
        models = Set.copyOf(models);
    }

    /** Returns a copy with another policy for prompts that do not fit one engine. */
    public Profile withOversize(OversizePolicy newPolicy) {
        return new Profile(
                name,
                service,
                requestClass,
                timeLimitMillis,
                priority,
                models,
                newPolicy,
                repeatable,
                callerDisconnect,
                teamShare,
                objective);
    }

    /** Returns a copy whose requests are executed by another service. */
    public Profile withService(ServiceName newService) {
        return new Profile(
                name,
                newService,
                requestClass,
                timeLimitMillis,
                priority,
                models,
                oversize,
                repeatable,
                callerDisconnect,
                teamShare,
                objective);
    }

    /**
     * Returns a builder with the defaults of the request class: short 30 s at priority 6, long 30
     * min at priority 3, action 60 s at priority 8 and not repeatable.
     */
    public static Builder builder(
            ProfileName name, ServiceName service, RequestClass requestClass) {
        return new Builder(name, service, requestClass);
    }

    /** Builds a {@link Profile}. Not thread-safe. */
    public static final class Builder {
        private static final long SHORT_LIMIT_MILLIS = 30_000;
        private static final long LONG_LIMIT_MILLIS = 1_800_000;
        private static final long ACTION_LIMIT_MILLIS = 60_000;

        private final ProfileName mName;
        private final ServiceName mService;
        private final RequestClass mRequestClass;
        private long mTimeLimitMillis;
        private int mPriority;
        private Set<ModelName> mModels = Set.of();
        private OversizePolicy mOversize;
        private boolean mRepeatable;
        private CallerDisconnectPolicy mCallerLoss;
        private double mTeamShare = 0.5;
        private ServiceLevelObjective mObjective = ServiceLevelObjective.DEFAULT;

        private Builder(ProfileName name, ServiceName service, RequestClass requestClass) {
            mName = name;
            mService = service;
            mRequestClass = requestClass;
            mTimeLimitMillis =
                    switch (requestClass) {
                        case SHORT -> SHORT_LIMIT_MILLIS;
                        case LONG -> LONG_LIMIT_MILLIS;
                        case ACTION -> ACTION_LIMIT_MILLIS;
                    };
            mPriority =
                    switch (requestClass) {
                        case SHORT -> 6;
                        case LONG -> 3;
                        case ACTION -> 8;
                    };
            mOversize =
                    requestClass == RequestClass.LONG
                            ? OversizePolicy.SPLIT
                            : OversizePolicy.REFUSE;
            mRepeatable = requestClass != RequestClass.ACTION;
            mCallerLoss =
                    requestClass == RequestClass.SHORT
                            ? CallerDisconnectPolicy.CANCEL
                            : CallerDisconnectPolicy.FINISH;
        }

        /** Sets the time limit from admission to the complete response, in milliseconds. */
        public Builder timeLimitMillis(long value) {
            mTimeLimitMillis = value;
            return this;
        }

        /** Sets the priority, from 0 (least urgent) to 9. */
        public Builder priority(int value) {
            mPriority = value;
            return this;
        }

        /** Sets the models that callers may request. */
        public Builder models(Set<ModelName> value) {
            mModels = value;
            return this;
        }

        /** Sets what happens to a prompt that does not fit the KV cache of one engine. */
        public Builder oversize(OversizePolicy value) {
            mOversize = value;
            return this;
        }

        /** Sets whether a request may be executed more than once. */
        public Builder repeatable(boolean value) {
            mRepeatable = value;
            return this;
        }

        /** Sets what happens when the caller closes its connection. */
        public Builder callerDisconnect(CallerDisconnectPolicy value) {
            mCallerLoss = value;
            return this;
        }

        /**
         * Sets the largest share of the service that one team may use while others wait, 0 to 1.
         */
        public Builder teamShare(double value) {
            mTeamShare = value;
            return this;
        }

        /** Sets the service-level objective. */
        public Builder objective(ServiceLevelObjective value) {
            mObjective = value;
            return this;
        }

        /** Returns the profile. */
        public Profile build() {
            return new Profile(
                    mName,
                    mService,
                    mRequestClass,
                    mTimeLimitMillis,
                    mPriority,
                    mModels,
                    mOversize,
                    mRepeatable,
                    mCallerLoss,
                    mTeamShare,
                    mObjective);
        }
    }
}
