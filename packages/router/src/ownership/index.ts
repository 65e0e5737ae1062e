/** Which router fills the workers of a stage service, and how pieces get to it. */
export { chooseShard } from './chooseShard.js';
export { OwnerCredit } from './ownerCredit.js';
export { MAX_CANDIDATES, ServiceOwners } from './serviceOwners.js';
export { ServiceShards, type Shard } from './serviceShards.js';
export { StageSubmitter, type SubmitPieceLocally } from './stageSubmitter.js';
