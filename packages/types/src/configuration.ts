import type { Priority, StageKind } from './stage.js';

/** The requester of a rule, taken from the comment at the end of its line. */
interface RuleOrigin {
  readonly askedBy: string;
}

/** An organisation that may send requests; `keyHashes` are hex SHA-256 digests of its bearer keys. */
export interface OrganisationRule extends RuleOrigin {
  readonly kind: 'organisation';
  readonly name: string;
  readonly keyHashes: readonly string[];
  /** Share of the capacity under contention, relative to other organisations. */
  readonly weight: number;
}

/** A route: the stages that a request runs through, in order, under one deadline. */
export interface RouteRule extends RuleOrigin {
  readonly kind: 'route';
  readonly name: string;
  readonly stages: readonly string[];
  readonly deadlineMs: number;
  readonly priority: Priority;
}

/** A stage: one kind of work on one group of targets. */
export interface StageRule extends RuleOrigin {
  readonly kind: 'stage';
  readonly name: string;
  readonly work: StageKind;
  readonly targetGroup: string;
  readonly idempotent: boolean;
  readonly maxTokens: number;
}

/** Limits of an organisation, summed over all entries. */
export interface LimitRule extends RuleOrigin {
  readonly kind: 'limit';
  readonly organisation: string;
  readonly requestsPerSecond: number;
  readonly inFlight: number;
}

/** Whether an availability zone accepts new work. */
export interface ZoneRule extends RuleOrigin {
  readonly kind: 'zone';
  readonly name: string;
  readonly state: 'in' | 'out';
}

/**
 * A version move: the traffic of a target group is shifted from one version to another by a set
 * time.
 */
export interface MoveRule extends RuleOrigin {
  readonly kind: 'move';
  readonly targetGroup: string;
  readonly fromVersion: string;
  readonly toVersion: string;
  /** Unix time by which the move must be complete. */
  readonly byWallMs: number;
  /** Share of traffic, from 0 to 1, that the new version gets until it has proved healthy. */
  readonly unprovenShare: number;
}

/** One line of the rules file. */
export type Rule = OrganisationRule | RouteRule | StageRule | LimitRule | ZoneRule | MoveRule;

/** The kinds of rules. */
export type RuleKind = Rule['kind'];

/** Every active rule at one revision, indexed by name. */
export interface Configuration {
  /** Incremented by each accepted change; 0 before the first one. */
  readonly revision: number;
  readonly organisations: ReadonlyMap<string, OrganisationRule>;
  readonly routes: ReadonlyMap<string, RouteRule>;
  readonly stages: ReadonlyMap<string, StageRule>;
  /** Indexed by organisation. */
  readonly limits: ReadonlyMap<string, LimitRule>;
  readonly zones: ReadonlyMap<string, ZoneRule>;
  /** Indexed by target group. */
  readonly moves: ReadonlyMap<string, MoveRule>;
}
