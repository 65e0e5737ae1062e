/** Data types shared by several packages: string unions and records without behaviour. */
export type * from './callPhase.js';
export type * from './configuration.js';
export type * from './crashEvidence.js';
export type * from './duty.js';
export type * from './rollout.js';
export type * from './routerConfig.js';
export type * from './host.js';
export type * from './json.js';
export type * from './outcome.js';
export type * from './routedCall.js';
export type * from './sharedItems.js';
export type * from './stage.js';
export type * from './target.js';
export type * from './targetNotice.js';
export type * from './timelineEvent.js';
export type * from './usage.js';
