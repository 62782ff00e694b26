package dev.kumquatweir.bench;

import dev.kumquatweir.core.configuration.ConfigurationDocument;
import dev.kumquatweir.core.failure.Executed;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.RequestId;
import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.dispatch.AttemptEvent;
import dev.kumquatweir.policy.dispatch.DispatchAction;
import dev.kumquatweir.policy.dispatch.Dispatcher;
import dev.kumquatweir.policy.dispatch.WorkRequest;
import dev.kumquatweir.policy.registry.Announcement;
import dev.kumquatweir.policy.registry.CacheEvents;
import dev.kumquatweir.policy.registry.LoadReport;
import dev.kumquatweir.policy.registry.UpstreamRegistry;
import dev.kumquatweir.policy.registry.UpstreamState;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;

/**
 * A dispatcher that sends each request at once by a simple rule, without admission or queues. It
 * knows which upstreams are alive and allowed, resumes broken streams and splits prompts that do
 * not fit one engine, so that only the choice of the upstream is compared.
 */
final class BaselineDispatcher implements Dispatcher {
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long SCAN_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

    private static final class Open {
        private final WorkRequest mRequest;
        private @Nullable AttemptId mAttempt;
        private @Nullable UpstreamId mUpstream;
        private long mTokens;
        private long mNotBeforeNanos;

        private Open(WorkRequest request) {
            mRequest = request;
        }
    }

    private final String mPrefix;
    private final Baseline mRule;
    private final UpstreamRegistry mRegistry = new UpstreamRegistry();
    private final Map<RequestId, Open> mOpen = new LinkedHashMap<>();
    private final Map<AttemptId, Open> mCurrent = new HashMap<>();
    private final Map<UpstreamId, Integer> mOutstanding = new HashMap<>();
    private final Map<UpstreamId, Integer> mSinceReport = new HashMap<>();
    private final List<DispatchAction> mOutbox = new ArrayList<>();
    private ConfigurationDocument mDocument = ConfigurationDocument.EMPTY;
    private long mAttempts;
    private long mScannedNanos;
    private boolean mChanged;
    private int mTurn;

    BaselineDispatcher(String prefix, Baseline rule) {
        mPrefix = prefix;
        mRule = rule;
    }

    @Override
    public void configure(ConfigurationDocument document, long nowNanos) {
        mDocument = document;
    }

    @Override
    public void upstreamAnnounced(Announcement announcement, long nowNanos) {
        if (mRegistry.announce(announcement, nowNanos)) {
            List<Open> lost =
                    mCurrent.values().stream()
                            .filter(open -> announcement.id().equals(open.mUpstream))
                            .toList();
            lost.forEach(this::broken);
        }
    }

    @Override
    public boolean loadReported(LoadReport load, long nowNanos) {
        mSinceReport.remove(load.id());
        return mRegistry.report(load, nowNanos);
    }

    @Override
    public boolean cacheChanged(CacheEvents events, long nowNanos) {
        return true;
    }

    @Override
    public void upstreamLeft(UpstreamId upstream, long incarnation, long nowNanos) {
        mRegistry.leave(upstream, incarnation);
    }

    @Override
    public Either<RequestFailure, Void> admit(WorkRequest request, long nowNanos) {
        mOpen.put(request.id(), new Open(request));
        mChanged = true;
        return Either.right(null);
    }

    @Override
    public void handleEvent(AttemptEvent event, long nowNanos) {
        switch (event) {
            case AttemptEvent.Accepted accepted -> {}
            case AttemptEvent.Progress progress -> {
                Open open = mCurrent.get(progress.attempt());
                if (open != null) {
                    open.mTokens = progress.tokens();
                }
            }
            case AttemptEvent.Refused refused -> {
                Open open = mCurrent.get(refused.attempt());
                if (open != null) {
                    release(open);
                    open.mNotBeforeNanos = nowNanos + RETRY_NANOS;
                }
            }
            case AttemptEvent.Broken broken -> {
                Open open = mCurrent.get(broken.attempt());
                if (open != null) {
                    broken(open);
                    mChanged = true;
                }
            }
            case AttemptEvent.Finished finished -> {
                Open open = mCurrent.get(finished.attempt());
                if (open != null) {
                    release(open);
                    mOpen.remove(open.mRequest.id());
                }
            }
            case AttemptEvent.CallerDisconnected gone -> mOpen.remove(gone.request());
        }
    }

    @Override
    public List<DispatchAction> pollActions(long nowNanos) {
        if (nowNanos - mScannedNanos >= SCAN_NANOS || mChanged) {
            mScannedNanos = nowNanos;
            mChanged = false;
            scan(nowNanos);
        }
        List<DispatchAction> actions = List.copyOf(mOutbox);
        mOutbox.clear();
        return actions;
    }

    private void scan(long nowNanos) {
        mRegistry.expire(nowNanos);
        for (Open open : List.copyOf(mOpen.values())) {
            if (nowNanos >= open.mRequest.deadlineNanos() - MARGIN_NANOS) {
                fail(open, new RequestFailure.DeadlineExceeded(Executed.UNKNOWN));
            } else if (open.mAttempt == null && nowNanos >= open.mNotBeforeNanos) {
                start(open, nowNanos);
            }
        }
    }

    private void start(Open open, long nowNanos) {
        List<UpstreamState> live =
                mRegistry.live(open.mRequest.profile().service(), nowNanos).stream()
                        .filter(
                                state ->
                                        mDocument.mayReceiveWork(
                                                state.announcement().id(),
                                                state.announcement().domain()))
                        .sorted(Comparator.comparing(state -> state.announcement().id()))
                        .toList();
        if (live.isEmpty()) {
            return;
        }
        int place = choose(live, open.mRequest);
        Announcement first = live.get(place).announcement();
        List<UpstreamId> partners = new ArrayList<>();
        long memory = open.mRequest.promptTokens() + open.mRequest.maximumOutputTokens();
        long capacity = Math.max(1, first.memoryTokens());
        for (int part = 1; open.mRequest.model() != null && part * capacity < memory; part++) {
            partners.add(live.get((place + part) % live.size()).announcement().id());
        }
        AttemptId attempt = new AttemptId(mPrefix + "." + ++mAttempts);
        open.mAttempt = attempt;
        open.mUpstream = first.id();
        mCurrent.put(attempt, open);
        mOutstanding.merge(first.id(), 1, Integer::sum);
        mSinceReport.merge(first.id(), 1, Integer::sum);
        mOutbox.add(
                new DispatchAction.Start(
                        open.mRequest.id(),
                        attempt,
                        first.id(),
                        first.incarnation(),
                        open.mTokens,
                        open.mRequest.profile().priority(),
                        partners));
    }

    private int choose(List<UpstreamState> live, WorkRequest request) {
        return switch (mRule) {
            case ROUND_ROBIN -> mTurn++ % live.size();
            case LEAST_OUTSTANDING -> least(live, this::outstanding);
            case SHORTEST_QUEUE -> least(live, this::queued);
            case PREFIX_HASH -> {
                long hash =
                        request.prefixHashes().isEmpty()
                                ? request.id().hashCode()
                                : request.prefixHashes().getFirst();
                yield Math.floorMod(Long.hashCode(hash), live.size());
            }
        };
    }

    private static int least(List<UpstreamState> live, ToIntFunction<UpstreamState> count) {
        int best = 0;
        for (int place = 1; place < live.size(); place++) {
            if (count.applyAsInt(live.get(place)) < count.applyAsInt(live.get(best))) {
                best = place;
            }
        }
        return best;
    }

    private int outstanding(UpstreamState state) {
        return mOutstanding.getOrDefault(state.announcement().id(), 0);
    }

    private int queued(UpstreamState state) {
        LoadReport load = state.load();
        int reported = load == null ? 0 : load.running() + load.queued();
        return reported + mSinceReport.getOrDefault(state.announcement().id(), 0);
    }

    private void broken(Open open) {
        UpstreamId upstream = open.mUpstream;
        release(open);
        if (!open.mRequest.repeatable() && upstream != null) {
            fail(open, new RequestFailure.UpstreamFailed(upstream, "broken", Executed.UNKNOWN));
        }
    }

    private void fail(Open open, RequestFailure failure) {
        AttemptId attempt = open.mAttempt;
        UpstreamId upstream = open.mUpstream;
        if (attempt != null && upstream != null) {
            mOutbox.add(new DispatchAction.Cancel(open.mRequest.id(), attempt, upstream));
            release(open);
        }
        mOpen.remove(open.mRequest.id());
        mOutbox.add(new DispatchAction.Fail(open.mRequest.id(), failure));
    }

    private void release(Open open) {
        if (open.mAttempt != null && open.mUpstream != null) {
            mCurrent.remove(open.mAttempt);
            mOutstanding.merge(open.mUpstream, -1, Integer::sum);
        }
        open.mAttempt = null;
        open.mUpstream = null;
    }
}
