package dev.kumquatweir.standin.model;

import org.jspecify.annotations.Nullable;

/**
 * An order to an engine. Immutable.
 *
 * @param fencing grows with each holder of the right to give orders
 * @param order what to do
 * @param model model to load, null for {@link Kind#SET_ROLE}
 * @param version version of the model, only for {@link Kind#LOAD_VERSION}
 * @param adapter adapter of the model, only for {@link Kind#LOAD_ADAPTER}
 * @param role new role, only for {@link Kind#SET_ROLE}
 */
public record EngineOrder(
        long fencing,
        Kind order,
        @Nullable String model,
        @Nullable String version,
        @Nullable String adapter,
        @Nullable String role) {

    /** Kinds of orders, named on the wire in lower case. */
    public enum Kind {
        /** Loads a model under its name. */
        LOAD_MODEL,
        /** Loads an adapter, served as {@code model+adapter}. */
        LOAD_ADAPTER,
        /** Loads a version, served as {@code model@version}. */
        LOAD_VERSION,
        /** Changes the role. */
        SET_ROLE
    }

    /** Returns the name under which the engine will serve, null if the order lacks a field. */
    @Nullable String servedName() {
        return switch (order) {
            case LOAD_MODEL -> model;
            case LOAD_ADAPTER -> model == null || adapter == null ? null : model + "+" + adapter;
            case LOAD_VERSION -> model == null || version == null ? null : model + "@" + version;
            case SET_ROLE -> role;
        };
    }
}
