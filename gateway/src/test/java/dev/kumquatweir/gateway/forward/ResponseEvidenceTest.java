package dev.kumquatweir.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import dev.kumquatweir.gateway.forward.ResponseEvidence.Verdict;
import dev.kumquatweir.policy.placement.LimitNotice;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class ResponseEvidenceTest {
    private static final String ID = "request-2";
    private static final List<Integer> STATUSES = List.of(200, 400, 408, 421, 429, 500, 503, 504);

    /** Guards against a refusal of an earlier request that is taken for the next one's. */
    @Test
    void responseWithoutIdProvesNothingOnReusedConnection() {
        for (int status : STATUSES) {
            for (boolean notExecuted : List.of(true, false)) {
                UpstreamResponseHead head = head(status, Optional.empty(), notExecuted);
                assertThat(ResponseEvidence.of(head, ID, true), is(Verdict.UNPROVEN));
            }
        }
    }

    /** Guards against an answer of another request that is passed on. */
    @Test
    void responseOfAnotherRequestProvesNothing() {
        for (int status : STATUSES) {
            for (boolean reused : List.of(true, false)) {
                UpstreamResponseHead head = head(status, Optional.of("request-1"), true);
                assertThat(ResponseEvidence.of(head, ID, reused), is(Verdict.UNPROVEN));
            }
        }
    }

    /** Guards against a status that is taken for a guarantee which the upstream did not give. */
    @Test
    void onlyTheHeaderGuaranteesThatRequestWasNotExecuted() {
        for (boolean reused : List.of(true, false)) {
            for (int status : List.of(408, 421, 429, 503)) {
                assertThat(
                        ResponseEvidence.of(head(status, Optional.of(ID), false), ID, reused),
                        is(Verdict.UNPROVEN));
                assertThat(
                        ResponseEvidence.of(head(status, Optional.of(ID), true), ID, reused),
                        is(Verdict.NOT_EXECUTED));
            }
        }
    }

    /** Guards against sound responses that are no longer passed on. */
    @Test
    void ownResponseIsBelieved() {
        for (int status : List.of(200, 400, 404, 500, 504)) {
            for (boolean reused : List.of(true, false)) {
                assertThat(
                        ResponseEvidence.of(head(status, Optional.of(ID), false), ID, reused),
                        is(Verdict.EXECUTED));
            }
        }
        for (int status : List.of(400, 404, 500, 504)) {
            assertThat(
                    ResponseEvidence.of(head(status, Optional.empty(), false), ID, false),
                    is(Verdict.EXECUTED));
            assertThat(
                    ResponseEvidence.of(head(status, Optional.empty(), true), ID, false),
                    is(Verdict.NOT_EXECUTED));
        }
    }

    /** Guards against a success that names no request, also on a new connection. */
    @Test
    void successWithoutIdProvesNothing() {
        for (boolean reused : List.of(true, false)) {
            assertThat(
                    ResponseEvidence.of(head(200, Optional.empty(), false), ID, reused),
                    is(Verdict.UNPROVEN));
        }
    }

    /** Guards against a repeated refusal that has the id of the request sent once more. */
    @Test
    void secondSendToAnUpstreamNeedsNewConnection() {
        assertThat(ResponseEvidence.needsNewConnection(ID, false, true), is(true));
        assertThat(ResponseEvidence.needsNewConnection(ID, true, false), is(true));
        assertThat(ResponseEvidence.needsNewConnection("", false, false), is(true));
        assertThat(ResponseEvidence.needsNewConnection(ID, false, false), is(false));
    }

    private static UpstreamResponseHead head(
            int status, Optional<String> requestId, boolean notExecuted) {
        return new UpstreamResponseHead(
                status, requestId, notExecuted, false, "", false, 0, new LimitNotice.None());
    }
}
