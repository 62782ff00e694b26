package dev.kumquatweir.gateway.dispatch;

import dev.kumquatweir.core.control.RecordedResponse;
import dev.kumquatweir.core.failure.RequestFailure;
import dev.kumquatweir.core.time.Clocks;
import dev.kumquatweir.policy.dispatch.WorkRequest;

/**
 * Passes a request's course on to an observer. Calls come one at a time, but admission is told on
 * another thread than the end.
 */
final class ObservedExchange implements Exchange {
    private final WorkRequest mRequest;
    private final Exchange mExchange;
    private final RequestObserver mObserver;
    private final Clocks mClocks;
    private volatile boolean mAdmitted;
    private volatile boolean mBegun;
    private volatile long mFirstTokenNanos;
    private volatile long mLastTokenNanos;

    ObservedExchange(
            WorkRequest request, Exchange exchange, RequestObserver observer, Clocks clocks) {
        mRequest = request;
        mExchange = exchange;
        mObserver = observer;
        mClocks = clocks;
    }

    /** The policy has admitted the request; called before any other call. */
    void admitted() {
        mAdmitted = true;
        mObserver.admitted(mRequest);
    }

    @Override
    public void token(String text) {
        long nowNanos = mClocks.nowNanos();
        if (mBegun) {
            mObserver.tokenGap(mRequest, nowNanos - mLastTokenNanos);
        } else {
            mBegun = true;
            mFirstTokenNanos = nowNanos;
        }
        mLastTokenNanos = nowNanos;
        mExchange.token(text);
    }

    @Override
    public void finished(GenerationSummary summary, String text) {
        mExchange.finished(summary, text);
        finish();
    }

    @Override
    public void answered(RecordedResponse answer) {
        mExchange.answered(answer);
        finish();
    }

    @Override
    public void failed(RequestFailure failure) {
        mExchange.failed(failure);
        if (mAdmitted) {
            mObserver.failed(mRequest, failure);
        } else {
            mObserver.refused(mRequest, failure);
        }
    }

    private void finish() {
        long nowNanos = mClocks.nowNanos();
        mObserver.finished(mRequest, mBegun ? mFirstTokenNanos : nowNanos, nowNanos);
    }
}
