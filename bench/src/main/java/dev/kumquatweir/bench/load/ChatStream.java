package dev.kumquatweir.bench.load;

import java.util.concurrent.Flow;
import org.jspecify.annotations.Nullable;

/**
 * Reads the lines of one streamed answer. Lines come on one thread at a time; the result is read
 * after the end.
 */
final class ChatStream implements Flow.Subscriber<String> {
    private static final int STATUS_OK = 200;
    private static final String DATA = "data:";
    private static final String EVENT = "event:";

    private final AnswerVerifier mVerifier;
    private final TokenObserver mObserver;
    private final StringBuilder mErrorBody = new StringBuilder();
    private volatile int mStatus;
    private String mEvent = "";
    private @Nullable ErrorAnswer mError;

    /** Is told of each part of the answer. */
    interface TokenObserver {
        void tokens(long count);
    }

    ChatStream(AnswerVerifier verifier, TokenObserver observer) {
        mVerifier = verifier;
        mObserver = observer;
    }

    void status(int status) {
        mStatus = status;
    }

    /** Returns whether a response began. */
    boolean began() {
        return mStatus != 0;
    }

    AnswerVerifier verifier() {
        return mVerifier;
    }

    /** Returns the refusal or failure that the stream ended with, null if there was none. */
    @Nullable ErrorAnswer error() {
        boolean refused = began() && mStatus != STATUS_OK;
        return refused ? ErrorAnswer.of(mErrorBody.toString()) : mError;
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
        if (mStatus != STATUS_OK) {
            mErrorBody.append(line);
        } else if (line.startsWith(EVENT)) {
            mEvent = line.substring(EVENT.length()).strip();
        } else if (line.startsWith(DATA)) {
            data(line.substring(DATA.length()).strip());
        } else if (line.isEmpty()) {
            mEvent = "";
        }
    }

    @Override
    public void onError(Throwable failure) {
        // The future of the response carries the failure.
    }

    @Override
    public void onComplete() {
        // The future of the response completes.
    }

    private void data(String data) {
        if (mEvent.equals("error")) {
            mError = ErrorAnswer.of(data);
        } else if (data.equals("[DONE]")) {
            mVerifier.done();
        } else {
            String text =
                    ErrorAnswer.json(data)
                            .path("choices")
                            .path(0)
                            .path("delta")
                            .path("content")
                            .asText("");
            if (!text.isEmpty()) {
                long before = mVerifier.tokens();
                mVerifier.text(text);
                mObserver.tokens(mVerifier.tokens() - before);
            }
        }
    }
}
