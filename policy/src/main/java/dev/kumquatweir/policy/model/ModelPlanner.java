package dev.kumquatweir.policy.model;

import dev.kumquatweir.core.identity.FailureDomain;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.registry.UpstreamRole;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides which models, versions and adapters the engines of a service load, and which role each
 * takes. A model is unloaded only if the remaining engines still meet its demand. Immutable and
 * thread-safe.
 */
public final class ModelPlanner {
    private static final Comparator<ModelVariant> BY_NAME =
            Comparator.comparing(ModelVariant::model)
                    .thenComparing(variant -> String.valueOf(variant.version()))
                    .thenComparing(variant -> String.valueOf(variant.adapter()));

    private final double mPrefillRate;
    private final double mDecodeRate;
    private final double mHeadroom;
    private final int mMinimumReplicas;
    private final int mMinimumEnginesForRoles;

    private ModelPlanner(Builder builder) {
        mPrefillRate = builder.mPrefillRate;
        mDecodeRate = builder.mDecodeRate;
        mHeadroom = builder.mHeadroom;
        mMinimumReplicas = builder.mMinimumReplicas;
        mMinimumEnginesForRoles = builder.mMinimumEnginesForRoles;
    }

    /**
     * Returns a builder for a planner that provides 1.3 times the measured demand and at least 2
     * engines per model, and separates the roles from 6 engines on.
     *
     * @param prefillTokensPerSecond prompt tokens that one engine processes per second
     * @param decodeTokensPerSecond tokens that one engine generates per second
     */
    public static Builder builder(double prefillTokensPerSecond, double decodeTokensPerSecond) {
        return new Builder(prefillTokensPerSecond, decodeTokensPerSecond);
    }

    /**
     * Returns the number of engines each variant needs. The demand of an adapter also counts for
     * its model.
     */
    public Map<ModelVariant, Integer> requiredEngines(Collection<ModelDemand> demands) {
        Map<ModelVariant, Double> engines = new TreeMap<>(BY_NAME);
        for (ModelDemand demand : demands) {
            engines.merge(demand.variant(), engineShare(demand), Double::sum);
            if (demand.variant().adapter() != null) {
                engines.merge(demand.variant().base(), engineShare(demand), Double::sum);
            }
        }
        Map<ModelVariant, Integer> needed = new TreeMap<>(BY_NAME);
        engines.forEach(
                (variant, share) ->
                        needed.put(
                                variant,
                                Math.max(mMinimumReplicas, (int) Math.ceil(share * mHeadroom))));
        return needed;
    }

    /**
     * Plans the orders for one service.
     *
     * @param demands measured demand of the profiles
     * @param engines the engines of the service
     * @param loadPermits loads from the weight store that may start now
     */
    public ModelPlan plan(
            Collection<ModelDemand> demands, Collection<EngineModels> engines, int loadPermits) {
        Map<ModelVariant, Integer> needed = requiredEngines(demands);
        Pool pool = new Pool(engines, needed);
        List<ModelOrder> orders = new ArrayList<>();
        // Models come before the adapters that depend on them; then the scarcest variant comes
        // first.
        Comparator<ModelVariant> scarcestFirst =
                Comparator.<ModelVariant>comparingInt(variant -> variant.adapter() == null ? 0 : 1)
                        .thenComparingDouble(variant -> pool.filled(variant))
                        .thenComparing(BY_NAME);
        boolean progress = true;
        while (progress && orders.size() < loadPermits) {
            progress = false;
            for (ModelVariant variant : needed.keySet().stream().sorted(scarcestFirst).toList()) {
                Optional<ModelOrder> order =
                        pool.missing(variant) > 0 ? pool.load(variant) : Optional.empty();
                if (order.isPresent()) {
                    orders.add(order.get());
                    progress = true;
                    break;
                }
            }
        }
        Map<ModelVariant, Integer> unmet = new HashMap<>();
        for (ModelVariant variant : needed.keySet()) {
            if (pool.missing(variant) > 0) {
                unmet.put(variant, pool.missing(variant));
            }
        }
        if (orders.isEmpty() && unmet.isEmpty()) {
            changeRole(demands, engines).ifPresent(orders::add);
        }
        return new ModelPlan(orders, unmet);
    }

    /**
     * Dedicates engines to prefill in proportion to the demand, so that long prompts do not slow
     * down the decoding of short answers. Changes one engine at a time, and only while the others
     * can meet the decode demand.
     */
    private Optional<ModelOrder> changeRole(
            Collection<ModelDemand> demands, Collection<EngineModels> engines) {
        List<EngineModels> usable =
                engines.stream()
                        .filter(engine -> engine.usable() && !engine.loading())
                        .sorted(Comparator.comparing(EngineModels::upstream))
                        .toList();
        List<EngineModels> prefill =
                usable.stream().filter(engine -> engine.role() == UpstreamRole.PREFILL).toList();
        List<EngineModels> mixed =
                usable.stream().filter(engine -> engine.role() == UpstreamRole.MIXED).toList();
        double prefillEngines =
                demands.stream().mapToDouble(demand -> demand.prefillTokensPerSecond()).sum()
                        / mPrefillRate;
        double decodeEngines =
                demands.stream().mapToDouble(demand -> demand.decodeTokensPerSecond()).sum()
                        / mDecodeRate;
        int wanted =
                usable.size() < mMinimumEnginesForRoles ? 0 : (int) Math.floor(prefillEngines / 2);
        boolean spare = mixed.size() - 1 >= Math.ceil(decodeEngines * mHeadroom);
        if (prefill.size() < wanted && spare && mixed.size() > usable.size() / 2) {
            return Optional.of(
                    new ModelOrder.SetRole(mixed.getLast().upstream(), UpstreamRole.PREFILL));
        }
        // A hysteresis of one engine prevents the role from alternating.
        if (prefill.size() > wanted + 1 || (wanted == 0 && !prefill.isEmpty())) {
            return Optional.of(
                    new ModelOrder.SetRole(prefill.getFirst().upstream(), UpstreamRole.MIXED));
        }
        return Optional.empty();
    }

    private double engineShare(ModelDemand demand) {
        return demand.prefillTokensPerSecond() / mPrefillRate
                + demand.decodeTokensPerSecond() / mDecodeRate;
    }

    /** State of the engines during planning, with the orders so far applied. */
    private static final class Pool {
        private final Map<ModelVariant, Integer> mNeeded;
        private final List<EngineModels> mEngines;
        private final Set<UpstreamId> mBusy = new HashSet<>();

        Pool(Collection<EngineModels> engines, Map<ModelVariant, Integer> needed) {
            mNeeded = needed;
            mEngines = new ArrayList<>(engines.stream().filter(EngineModels::usable).toList());
            for (EngineModels engine : mEngines) {
                if (engine.loading()) {
                    mBusy.add(engine.upstream());
                }
            }
        }

        int count(ModelVariant variant) {
            return (int)
                    mEngines.stream().filter(engine -> engine.loaded().contains(variant)).count();
        }

        double filled(ModelVariant variant) {
            return count(variant) / (double) mNeeded.getOrDefault(variant, 1);
        }

        int missing(ModelVariant variant) {
            return mNeeded.getOrDefault(variant, 0) - count(variant);
        }

        Optional<ModelOrder> load(ModelVariant variant) {
            Optional<Candidate> best =
                    mEngines.stream()
                            .filter(engine -> !mBusy.contains(engine.upstream()))
                            .flatMap(engine -> candidate(engine, variant).stream())
                            .min(
                                    Comparator.comparingInt(Candidate::cost)
                                            .thenComparingLong(
                                                    found -> replicas(found.domain(), variant))
                                            .thenComparing(found -> found.order().upstream()));
            best.ifPresent(candidate -> apply(candidate.order()));
            return best.map(Candidate::order);
        }

        private Optional<Candidate> candidate(EngineModels engine, ModelVariant variant) {
            Set<ModelVariant> loaded = engine.loaded();
            if (loaded.contains(variant)) {
                return Optional.empty();
            }
            UpstreamId upstream = engine.upstream();
            if (variant.adapter() != null) {
                return loaded.contains(variant.base())
                        ? Optional.of(
                                new Candidate(
                                        new ModelOrder.LoadAdapter(upstream, variant),
                                        engine.domain(),
                                        0))
                        : Optional.empty();
            }
            long models = loaded.stream().filter(held -> held.adapter() == null).count();
            if (models < engine.modelSlots()) {
                ModelOrder order = new ModelOrder.LoadModel(upstream, variant, null);
                return Optional.of(new Candidate(order, engine.domain(), 0));
            }
            return loaded.stream()
                    .filter(held -> held.adapter() == null && canSpare(engine, held))
                    .min(Comparator.comparingInt(this::missing).thenComparing(BY_NAME))
                    .map(held -> replace(engine, variant, held));
        }

        private Candidate replace(EngineModels engine, ModelVariant variant, ModelVariant held) {
            boolean version = held.model().equals(variant.model());
            ModelOrder order =
                    version
                            ? new ModelOrder.LoadVersion(engine.upstream(), variant, held)
                            : new ModelOrder.LoadModel(engine.upstream(), variant, held);
            return new Candidate(order, engine.domain(), mNeeded.containsKey(held) ? 2 : 1);
        }

        /** Unloading a model also unloads its adapters, so each of them must have spare engines. */
        private boolean canSpare(EngineModels engine, ModelVariant held) {
            return engine.loaded().stream()
                    .filter(variant -> variant.base().equals(held))
                    .allMatch(variant -> missing(variant) < 0 || !mNeeded.containsKey(variant));
        }

        private long replicas(FailureDomain domain, ModelVariant variant) {
            return mEngines.stream()
                    .filter(engine -> engine.domain().equals(domain))
                    .filter(engine -> engine.loaded().contains(variant))
                    .count();
        }

        private void apply(ModelOrder order) {
            mEngines.replaceAll(
                    engine ->
                            engine.upstream().equals(order.upstream())
                                    ? engine.withOrderApplied(order)
                                    : engine);
            mBusy.add(order.upstream());
        }
    }

    private record Candidate(ModelOrder order, FailureDomain domain, int cost) {}

    /** Builds a {@link ModelPlanner}. Not thread-safe. */
    public static final class Builder {
        private final double mPrefillRate;
        private final double mDecodeRate;
        private double mHeadroom = 1.3;
        private int mMinimumReplicas = 2;
        private int mMinimumEnginesForRoles = 6;

        private Builder(double prefillRate, double decodeRate) {
            mPrefillRate = prefillRate;
            mDecodeRate = decodeRate;
        }

        /** Sets the capacity to provide as a multiple of the measured demand, at least 1. */
        public Builder headroom(double value) {
            mHeadroom = value;
            return this;
        }

        /** Sets the minimum number of engines per requested model, at least 1. */
        public Builder minimumReplicas(int value) {
            mMinimumReplicas = value;
            return this;
        }

        /** Sets the minimum number of usable engines for dedicated prefill engines. */
        public Builder minimumEnginesForRoles(int value) {
            mMinimumEnginesForRoles = value;
            return this;
        }

        /** Builds the planner. */
        public ModelPlanner build() {
            return new ModelPlanner(this);
        }
    }
}
