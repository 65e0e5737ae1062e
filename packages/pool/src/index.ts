/** Client of encoder, retriever and reranker pools, with the queue that batches their work. */
export { computeRefusedPauseMs, type RefusedPauseOptions } from './computeRefusedPauseMs.js';
export { NO_SUSPECTS, type PieceSuspects } from './pieceSuspects.js';
export { orderPieces } from './orderPieces.js';
export type { StageThroughput } from './stageThroughput.js';
export { SeenHandles } from './seenHandles.js';
export { toWorkerAddress, ResultMemory, type ResultMemoryOptions } from './resultMemory.js';
export { runPoolStage, type RunPoolStageOptions } from './runPoolStage.js';
export type { BatchEvent, BatchResponse, RunPieces } from './batchCall.js';
export { dispatchBatches, type DispatchBatchesOptions } from './dispatchBatches.js';
export {
  type AbandonedStageEvent,
  type FindInputZone,
  StageQueue,
  type StageQueueOptions,
  type UnevenEvent,
} from './stageQueue.js';
export { type FindWorkerLoad, isStatedSlow, toDurationFactor } from './workerLoad.js';
export { WorkerSpeed } from './workerSpeed.js';
export type { OrderedPieces, OrderPieces, QueuedPiece } from './queuedPiece.js';
