/** Talks to encoder, retriever and reranker pools. */
export {};
