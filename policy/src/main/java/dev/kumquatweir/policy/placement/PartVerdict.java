package dev.kumquatweir.policy.placement;

/** Whether a request may run by the parts of its prompt. */
enum PartVerdict {
    /** None of its parts is quarantined. */
    SOUND,
    /** It may run to show whether a part is sound. */
    PROBE,
    /** Another request is running to show that. */
    WAIT,
    /** It must not run. */
    QUARANTINED
}
