package dev.kumquatweir.policy.oversize;

import dev.kumquatweir.core.identity.AttemptId;
import dev.kumquatweir.core.identity.UpstreamId;

/**
 * Part of a prompt that one engine prefills and whose KV cache it keeps. Immutable.
 *
 * @param index position of the part in the prompt, from 0
 * @param upstream the engine
 * @param incarnation incarnation of the engine
 * @param attempt the attempt on this engine
 * @param fromToken first token of the part (inclusive)
 * @param toToken end of the part (exclusive)
 * @param reservedTokens reserved memory in tokens, on the last engine including the answer
 */
public record PromptPart(
        int index,
        UpstreamId upstream,
        long incarnation,
        AttemptId attempt,
        long fromToken,
        long toToken,
        long reservedTokens) {}
