import type {
  AttemptId,
  NodeRole,
  Rule,
  StageEnd,
  StageRequest,
  StagePart,
  TargetReport,
} from '@galenatiller/types';

/** Who a node is, as it says in the greeting of a link. */
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

/** Second frame in both directions: one proof (hex HMAC-SHA-256) for each key of the sender. */
export interface ProofFrame {
  readonly kind: 'proof';
  readonly proofs: readonly string[];
}

/** Entry to gate: run a stage. */
export interface StageRunFrame {
  readonly kind: 'stage-run';
  readonly order: StageRequest;
}

/** Entry to gate: the result is not wanted any more. */
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

/** Gate to entry: the targets of the gate, and whether it is leaving. */
export interface TargetsFrame {
  readonly kind: 'targets';
  readonly reports: readonly TargetReport[];
  readonly leaving: boolean;
}

/** Both directions: shows that the peer runs; answered by `pong`. */
export interface PingFrame {
  readonly kind: 'ping' | 'pong';
  /** Highest configuration revision in force at the sender. */
  readonly revision: number;
}

/** A target that crashed while it ran a content, as nodes tell each other. */
export interface CrashNotice {
  readonly fingerprint: string;
  readonly targetName: string;
  /** Unix time of the crash. */
  readonly atWallMs: number;
}

/** Both directions: crashes that the receiver may not know; a node passes on what is new to it. */
export interface CrashesFrame {
  readonly kind: 'crashes';
  readonly records: readonly CrashNotice[];
}

/** A version that was found bad, as nodes tell each other. */
export interface StoppedVersionNotice {
  readonly targetGroup: string;
  readonly version: string;
  /** The evidence in words. */
  readonly reason: string;
  /** Unix time of the finding. */
  readonly atWallMs: number;
}

/** Both directions: bad versions that the receiver may not know; passed on like crashes. */
export interface VersionsStoppedFrame {
  readonly kind: 'versions-stopped';
  readonly notices: readonly StoppedVersionNotice[];
}

/** Names one shard of a configuration; the key holds a digest of its content. */
export interface ShardReference {
  readonly index: number;
  readonly key: string;
}

/** One shard with its rules. */
export interface RuleShard extends ShardReference {
  readonly rules: readonly Rule[];
}

/** Both directions: asks for the configuration that the peer has in force. */
export interface OfferAskFrame {
  readonly kind: 'offer-ask';
}

/** The configuration that the sender has in force. */
export interface OfferFrame {
  readonly kind: 'offer';
  readonly revision: number;
  readonly shards: readonly ShardReference[];
}

/** Both directions: asks for one shard. */
export interface ShardAskFrame {
  readonly kind: 'shard-ask';
  readonly shard: ShardReference;
}

/** One shard; without content when the sender no longer has it. */
export interface ShardFrame {
  readonly kind: 'shard';
  readonly shard: RuleShard | undefined;
}

/** Every frame on a link between nodes. */
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
