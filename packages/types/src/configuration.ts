import type { Priority, StageKind } from './stage.js';

/** Who asked for a rule, from the comment at the end of its line. */
interface RuleOrigin {
  readonly askedBy: string;
}

/** An organisation that may call; `keyHashes` are hex SHA-256 digests of its bearer keys. */
export interface OrganisationRule extends RuleOrigin {
  readonly kind: 'organisation';
  readonly name: string;
  readonly keyHashes: readonly string[];
  /** Share of contended capacity relative to other organisations. */
  readonly weight: number;
}

/** A route: the stages that a request walks under one deadline. */
export interface RouteRule extends RuleOrigin {
  readonly kind: 'route';
  readonly name: string;
  readonly stages: readonly string[];
  readonly deadlineMs: number;
  readonly priority: Priority;
}

/** One kind of work on one group of targets. */
export interface StageRule extends RuleOrigin {
  readonly kind: 'stage';
  readonly name: string;
  readonly work: StageKind;
  readonly targetGroup: string;
  readonly idempotent: boolean;
  readonly maxTokens: number;
}

/** A limit for an organisation over all entries together. */
export interface LimitRule extends RuleOrigin {
  readonly kind: 'limit';
  readonly organisation: string;
  readonly requestsPerSecond: number;
  readonly inFlight: number;
}

/** Whether an availability zone takes new work. */
export interface ZoneRule extends RuleOrigin {
  readonly kind: 'zone';
  readonly name: string;
  readonly state: 'in' | 'out';
}

/** A version move: traffic of a group goes from one version to another by a set time. */
export interface MoveRule extends RuleOrigin {
  readonly kind: 'move';
  readonly targetGroup: string;
  readonly fromVersion: string;
  readonly toVersion: string;
  /** Unix time by which the move must be done. */
  readonly byWallMs: number;
  /** Share of traffic, from 0 to 1, for the new version while unproven. */
  readonly unprovenShare: number;
}

/** One line of the rules file. */
export type Rule = OrganisationRule | RouteRule | StageRule | LimitRule | ZoneRule | MoveRule;

/** The kinds of rules. */
export type RuleKind = Rule['kind'];

/** Every rule in force at one revision, indexed by name. */
export interface Configuration {
  /** Grows by one with each accepted change; 0 before the first. */
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
