package dev.kumquatweir.policy.oversize;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.UpstreamId;

/**
 * The part of a prompt that one engine processes and whose KV cache stays there. Immutable.
 *
 * @param index position of the part, from 0
 * @param upstream the engine
 * @param incarnation incarnation of the engine
 * @param attempt the attempt on this engine
 * @param fromToken first token of the part
 * @param toToken token after its last one
 * @param reservedTokens memory reserved, the answer's included on the last engine
 */
public record PromptPart(
        int index,
        UpstreamId upstream,
        long incarnation,
        AttemptId attempt,
        long fromToken,
        long toToken,
        long reservedTokens) {}
