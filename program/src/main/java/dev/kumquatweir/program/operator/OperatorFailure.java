package dev.kumquatweir.program.operator;

import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.program.control.ControlFailure;
import dev.kumquatweir.settings.ConfigurationDifference;
import dev.kumquatweir.settings.SettingsFailure;
import java.util.Optional;

/** Reason why an operator's request failed, with its HTTP status. Immutable. */
public sealed interface OperatorFailure extends Failure {
    /** Returns the HTTP status of the response. */
    int status();

    /** The key in the request belongs to no operator. */
    record NotAuthenticated() implements OperatorFailure {
        @Override
        public int status() {
            return 401;
        }

        @Override
        public String code() {
            return "not_authenticated";
        }

        @Override
        public String message() {
            return "the Authorization header carries no operator key of this instance";
        }
    }

    /** The caller closed its connection before the change was made; nothing was changed. */
    record CallerLeft() implements OperatorFailure {
        @Override
        public int status() {
            return 503;
        }

        @Override
        public String code() {
            return "caller_left";
        }

        @Override
        public String message() {
            return "the caller no longer waits for this change";
        }
    }

    /**
     * The request can't be parsed.
     *
     * @param location key of the faulty value, or {@code body}
     * @param problem what is wrong with it
     */
    record Malformed(String location, String problem) implements OperatorFailure {
        @Override
        public int status() {
            return 400;
        }

        @Override
        public String code() {
            return "malformed";
        }

        @Override
        public String message() {
            return location + ": " + problem;
        }
    }

    /**
     * The request refers to an object that does not exist.
     *
     * @param kind kind of object
     * @param name name that was not found
     */
    record UnknownName(String kind, String name) implements OperatorFailure {
        @Override
        public int status() {
            return 404;
        }

        @Override
        public String code() {
            return "unknown_name";
        }

        @Override
        public String message() {
            return "no " + kind + " is named '" + name + "'";
        }
    }

    /**
     * The configuration was changed after the base version of the request.
     *
     * @param baseVersion version that the change was made from
     * @param currentVersion newest version
     * @param changedBy operator who made the newest version, empty if unknown
     * @param changedAtMillis time of that change by the leader's wall clock
     * @param difference from the base to the newest version, empty if the base is no longer stored
     */
    record Conflict(
            long baseVersion,
            long currentVersion,
            String changedBy,
            long changedAtMillis,
            Optional<ConfigurationDifference> difference)
            implements OperatorFailure {
        @Override
        public int status() {
            return 409;
        }

        @Override
        public String code() {
            return "version_conflict";
        }

        @Override
        public String message() {
            return "the change is based on version "
                    + baseVersion
                    + ", but "
                    + (changedBy.isEmpty() ? "somebody" : changedBy)
                    + " has made version "
                    + currentVersion;
        }
    }

    /**
     * The configuration would be invalid after the change.
     *
     * @param cause all validation errors
     */
    record Invalid(SettingsFailure cause) implements OperatorFailure {
        @Override
        public int status() {
            return 422;
        }

        @Override
        public String code() {
            return cause.code();
        }

        @Override
        public String message() {
            return cause.message();
        }
    }

    /**
     * A body or document is larger than allowed.
     *
     * @param limitBytes size limit
     */
    record TooLarge(long limitBytes) implements OperatorFailure {
        @Override
        public int status() {
            return 413;
        }

        @Override
        public String code() {
            return "too_large";
        }

        @Override
        public String message() {
            return "the request exceeds the limit of " + limitBytes + " bytes";
        }
    }

    /**
     * The control plane could not serve the request. A refusal gives status 409, anything else 503,
     * which makes the command line try the next instance.
     *
     * @param cause failure of the control plane
     */
    record Control(ControlFailure cause) implements OperatorFailure {
        @Override
        public int status() {
            return cause instanceof ControlFailure.Refused ? 409 : 503;
        }

        @Override
        public String code() {
            return cause.code();
        }

        @Override
        public String message() {
            return cause.message();
        }
    }

    /**
     * The store id of an instance could not be read.
     *
     * @param instance id of the instance
     * @param problem why the query failed
     */
    record StoreUnknown(String instance, String problem) implements OperatorFailure {
        @Override
        public int status() {
            return 502;
        }

        @Override
        public String code() {
            return "store_unknown";
        }

        @Override
        public String message() {
            return instance
                    + " did not return its store id ("
                    + problem
                    + "); it must run with a data folder and be listed in the settings of the"
                    + " instance that received this request";
        }
    }

    /** The instance is at its limit of concurrent operator requests. */
    record Overloaded() implements OperatorFailure {
        @Override
        public int status() {
            return 503;
        }

        @Override
        public String code() {
            return "overloaded";
        }

        @Override
        public String message() {
            return "this instance is at its limit of concurrent operator requests";
        }
    }
}
