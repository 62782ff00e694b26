package dev.kumquatweir.program.fleet;

import dev.kumquatweir.core.identity.UpstreamId;
import dev.kumquatweir.policy.placement.QuarantinedPart;
import dev.kumquatweir.policy.placement.RecordedCrash;

/**
 * Names a crash of one upstream on one content as the subject of a {@link QuarantineVerdict}, so
 * that crashes of different upstreams add up wherever verdicts meet. Holds no state.
 */
final class CrashSubject {
    /** Occurs in no part of a prompt: requests list their parts with it. */
    private static final char SEPARATOR = ',';

    private CrashSubject() {}

    static QuarantinedPart of(RecordedCrash crash) {
        return new QuarantinedPart(
                crash.contentHash() + SEPARATOR + crash.upstream().value(), crash.ageMillis());
    }

    static boolean matches(String subject) {
        return subject.indexOf(SEPARATOR) >= 0;
    }

    static String contentHash(String subject) {
        return subject.substring(0, subject.indexOf(SEPARATOR));
    }

    static RecordedCrash crash(String subject, long ageMillis) {
        UpstreamId upstream = new UpstreamId(subject.substring(subject.indexOf(SEPARATOR) + 1));
        return new RecordedCrash(contentHash(subject), upstream, ageMillis);
    }
}
