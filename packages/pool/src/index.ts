/** Talks to encoder, retriever and reranker pools. */
export { comparePieces } from './comparePieces.js';
export type { StageThroughput } from './findUnreachable.js';
export { SeenHandles } from './seenHandles.js';
export { makerOf, ResultRoom, type ResultRoomOptions } from './resultRoom.js';
export { runPoolStage, type RunPoolStageOptions } from './runPoolStage.js';
export {
  type BatchAnswer,
  type BatchEvent,
  type RunPieces,
  serveStageTarget,
  type ServeStageTargetOptions,
} from './serveStageTarget.js';
export {
  type GivenUpEvent,
  type InputZone,
  StageQueue,
  type StageQueueOptions,
} from './stageQueue.js';
export { TargetSpeed } from './targetSpeed.js';
export type { ComparePieces, WaitingPiece } from './waitingPiece.js';
