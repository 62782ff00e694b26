package dev.kumquatweir.bench;

/** Simple rules that the policy is compared with. */
enum Baseline {
    /** Each upstream in turn. */
    ROUND_ROBIN,
    /** The upstream with the fewest running requests of the instance. */
    LEAST_OUTSTANDING,
    /** The upstream with the fewest requests by its last report and own ones since. */
    SHORTEST_QUEUE,
    /** The upstream that the first block of the prompt hashes to. */
    PREFIX_HASH
}
