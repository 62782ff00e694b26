package dev.kumquatweir.policy.cost;

/**
 * What is known of the cost of a request before it runs.
 *
 * @param route name of the route, empty if it is not known
 * @param team name of the caller's team, empty if it is not known
 * @param subject last shared part of the prompt, empty if there is none
 * @param publishedTokens expected output by the published cost model
 * @param hintTokens the caller's own estimate of the output, 0 if it gives none
 * @param limitTokens most output that the caller allows, 0 if it names no limit
 */
public record CostOrigin(
        String route,
        String team,
        String subject,
        long publishedTokens,
        long hintTokens,
        long limitTokens) {}
