/** Duties that one router performs at a time: leader election with fencing tokens. */
export { Duties } from './duties.js';
export type { DutiesOptions, DutyChange, DutyEvent } from './dutyTypes.js';
