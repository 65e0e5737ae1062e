import type {
  AttemptId,
  CrashEvidence,
  NodeRole,
  Rule,
  StageEnd,
  StageRequest,
  StagePart,
  TargetReport,
} from '@galenatiller/types';

/** Identity of a node, sent in the `hello` frame of a link. */
export interface NodeIdentity {
  readonly nodeName: string;
  readonly role: NodeRole;
  readonly availabilityZone: string;
  /** Differs for each start of the process. */
  readonly incarnation: string;
}

/** First frame in both directions; `nonce` is random hex. */
export interface HelloFrame extends NodeIdentity {
  readonly kind: 'hello';
  readonly protocolVersion: number;
  readonly nonce: string;
}

/** Second frame in both directions: one proof (HMAC-SHA-256 in hex) for each key of the sender. */
export interface ProofFrame {
  readonly kind: 'proof';
  readonly proofs: readonly string[];
}

/** Entry to gate: run a stage. */
export interface StageRunFrame {
  readonly kind: 'stage-run';
  readonly order: StageRequest;
}

/** Entry to gate: the result is no longer needed. */
export interface StageCancelFrame {
  readonly kind: 'stage-cancel';
  readonly attempt: AttemptId;
}

/** Gate to entry: streamed text. */
export interface StagePartFrame {
  readonly kind: 'stage-part';
  readonly attempt: AttemptId;
  readonly part: StagePart;
}

/** Gate to entry: the attempt has ended; no frame of the attempt follows. */
export interface StageEndFrame {
  readonly kind: 'stage-end';
  readonly attempt: AttemptId;
  readonly end: StageEnd;
}

/** Gate to entry: the targets of the gate, and whether the gate is leaving. */
export interface TargetsFrame {
  readonly kind: 'targets';
  readonly reports: readonly TargetReport[];
  readonly leaving: boolean;
}

/** Both directions: checks that the peer is alive; answered by `pong`. */
export interface PingFrame {
  readonly kind: 'ping' | 'pong';
  /** Configuration revision that is active at the sender. */
  readonly revision: number;
}

/** A target crash while running a request content, as exchanged between nodes. */
export interface CrashNotice {
  readonly fingerprint: string;
  readonly targetName: string;
  /** Unix time of the crash in milliseconds. */
  readonly atWallMs: number;
}

/**
 * Both directions: crashes that the receiver may not know; a node forwards those that are new to
 * it.
 */
export interface CrashesFrame {
  readonly kind: 'crashes';
  readonly records: readonly CrashNotice[];
  /** What was seen of the beginnings of prompts. */
  readonly evidence: readonly CrashEvidence[];
}

/** A version that was stopped because it misbehaves, as exchanged between nodes. */
export interface StoppedVersionNotice {
  readonly targetGroup: string;
  readonly version: string;
  /** Description of the evidence. */
  readonly reason: string;
  /** Unix time of the detection in milliseconds. */
  readonly atWallMs: number;
}

/** Both directions: stopped versions that the receiver may not know; forwarded like crashes. */
export interface VersionsStoppedFrame {
  readonly kind: 'versions-stopped';
  readonly notices: readonly StoppedVersionNotice[];
}

/** Identifies one shard of a configuration; the key contains a digest of the content. */
export interface ShardReference {
  readonly index: number;
  readonly key: string;
}

/** One shard with its rules. */
export interface RuleShard extends ShardReference {
  readonly rules: readonly Rule[];
}

/** Both directions: requests the active configuration of the peer. */
export interface OfferAskFrame {
  readonly kind: 'offer-ask';
}

/** The active configuration of the sender. */
export interface OfferFrame {
  readonly kind: 'offer';
  readonly revision: number;
  readonly shards: readonly ShardReference[];
}

/** Both directions: requests one shard. */
export interface ShardAskFrame {
  readonly kind: 'shard-ask';
  readonly shard: ShardReference;
}

/** One shard; undefined if the sender no longer has it. */
export interface ShardFrame {
  readonly kind: 'shard';
  readonly shard: RuleShard | undefined;
}

/** Any frame on a link between nodes. */
export type NodeFrame =
  | HelloFrame
  | ProofFrame
  | StageRunFrame
  | StageCancelFrame
  | StagePartFrame
  | StageEndFrame
  | TargetsFrame
  | CrashesFrame
  | VersionsStoppedFrame
  | OfferAskFrame
  | OfferFrame
  | ShardAskFrame
  | ShardFrame
  | PingFrame;
