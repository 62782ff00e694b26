package dev.kumquatweir.program.operator;

import dev.kumquatweir.core.failure.Failure;
import dev.kumquatweir.program.control.ControlFailure;
import dev.kumquatweir.settings.ConfigurationDifference;
import dev.kumquatweir.settings.SettingsFailure;
import java.util.Optional;

/** Why an operator's request was not carried out. Immutable. */
public sealed interface OperatorFailure extends Failure {
    /** Returns the HTTP status. */
    int status();

    /** The key belongs to no operator. */
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
            return "the Authorization header names no operator of this instance";
        }
    }

    /**
     * The request can't be read.
     *
     * @param location where the fault is
     * @param problem what is wrong
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
     * A name is not known.
     *
     * @param kind what it should name
     * @param name the name
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
            return "no " + kind + " is known as '" + name + "'";
        }
    }

    /**
     * Somebody else changed the configuration first.
     *
     * @param baseVersion version that the change was made from
     * @param currentVersion present version
     * @param changedBy who made it
     * @param changedAtMillis when, by the leader's wall clock
     * @param difference from the base to the present document, empty if the base is not kept
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
            return "the change was made from version "
                    + baseVersion
                    + ", but "
                    + (changedBy.isEmpty() ? "somebody" : changedBy)
                    + " has made version "
                    + currentVersion;
        }
    }

    /**
     * The configuration is not valid.
     *
     * @param cause all its faults
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
     * @param limitBytes largest size
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
            return "more than " + limitBytes + " bytes are not allowed";
        }
    }

    /**
     * The agreed state could not be asked or changed.
     *
     * @param cause why
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
     * An instance did not tell its store id.
     *
     * @param instance the instance
     * @param problem why
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
                    + " did not tell the id of its store ("
                    + problem
                    + "); it has to run with a data folder and stand in the settings of the"
                    + " instance that was asked";
        }
    }

    /** Too many operators' requests run at once. */
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
            return "too many operators' requests run on this instance";
        }
    }
}
