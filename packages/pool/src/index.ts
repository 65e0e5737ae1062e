/** Talks to encoder, retriever and reranker pools. */
export { runPoolStage, type RunPoolStageOptions } from './runPoolStage.js';
