/** Decides on arrival whether a call with stages may begin. */
export { CallAdmission, type CallAdmissionOptions } from './callAdmission.js';
export {
  type CallAdmissionDecision,
  decideAdmission,
  type DecideAdmissionOptions,
} from './decideAdmission.js';
export { type CallEstimate, estimateCall, type FindWaits } from './estimateCall.js';
export { LoopLag } from './loopLag.js';
