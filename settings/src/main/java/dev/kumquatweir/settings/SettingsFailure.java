package dev.kumquatweir.settings;

import dev.kumquatweir.core.failure.Failure;
import java.util.List;
import java.util.stream.Collectors;

/** Why a settings file was not taken. */
public sealed interface SettingsFailure extends Failure {
    /**
     * The file can't be read.
     *
     * @param file name of the file
     * @param problem reason given by the system
     */
    record Unreadable(String file, String problem) implements SettingsFailure {
        @Override
        public String code() {
            return "settings_unreadable";
        }

        @Override
        public String message() {
            return file + ": " + problem;
        }
    }

    /**
     * The file is no TOML.
     *
     * @param file name of the file
     * @param line line of the fault, from 1; 0 if unknown
     * @param problem what the parser found
     */
    record NotToml(String file, int line, String problem) implements SettingsFailure {
        @Override
        public String code() {
            return "settings_not_toml";
        }

        @Override
        public String message() {
            return file + ":" + line + ": " + problem;
        }
    }

    /**
     * Keys are missing, unknown or have values that are not allowed.
     *
     * @param file name of the file
     * @param faults all faults, in the order of the file's sections
     */
    record Invalid(String file, List<SettingsFault> faults) implements SettingsFailure {
        /** Copies the list, so that the record is immutable. */
        public Invalid {
            faults = List.copyOf(faults);
        }

        @Override
        public String code() {
            return "settings_invalid";
        }

        @Override
        public String message() {
            return faults.stream()
                    .map(fault -> file + ": " + fault.describe())
                    .collect(Collectors.joining("\n"));
        }
    }
}
