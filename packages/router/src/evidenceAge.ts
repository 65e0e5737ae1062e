/**
 * Age from which on evidence of the store is stale: a watch returns every second, so that older evidence
 * means that the store is unreachable, and that others may have replaced this node without its knowledge.
 */
export const STALE_EVIDENCE_MS = 2_500;
