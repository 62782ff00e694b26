package dev.kumquatweir.transport;

/** Why a peer refused a request that it received. */
public enum RefusalReason {
    /** The peer has no handler for the type. */
    NO_HANDLER(1),
    /** The peer's handler threw an exception. */
    HANDLER_FAILED(2);

    private final int mCode;

    RefusalReason(int code) {
        mCode = code;
    }

    int code() {
        return mCode;
    }

    static RefusalReason ofCode(int code) {
        return code == NO_HANDLER.mCode ? NO_HANDLER : HANDLER_FAILED;
    }
}
