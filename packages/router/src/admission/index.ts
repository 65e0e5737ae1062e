/** Decides whether a call with stages may begin, and whether it goes on. */
export { CallAdmission, type CallAdmissionOptions, type StartingStage } from './callAdmission.js';
export {
  type CallAdmissionDecision,
  decideAdmission,
  type DecideAdmissionOptions,
} from './decideAdmission.js';
export {
  decideStageStart,
  type EstimateInputs,
  estimateNewCall,
  type StageStartOptions,
} from './decideStageStart.js';
export {
  decideStart,
  type DecideStartOptions,
  findOthersOldestMs,
  type StageStartDecision,
} from './decideStart.js';
export { type CallEstimate, estimateCall, type FindWaits } from './estimateCall.js';
export { LoopLag } from './loopLag.js';
