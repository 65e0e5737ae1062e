/** What commands report; the text and JSON output say the same. */
import type { GalenatillerError } from '@galenatiller/error';
import type { MoveStatus, NodeStatus, RuleChange } from '@galenatiller/operator';
import type { Host, MoveRule, Rule, TimelineEvent } from '@galenatiller/types';

interface CommonReport {
  /** What could not be found out; the first decides the exit code. */
  readonly unknown: readonly GalenatillerError[];
}

/** Report of `check`. */
export interface CheckReport extends CommonReport {
  readonly command: 'check';
  readonly fileName: string;
  readonly rules: number;
}

/** Report of `diff`: the changes that `apply` would make. */
export interface DiffReport extends CommonReport {
  readonly command: 'diff';
  readonly revision: number;
  readonly author: string;
  readonly changes: readonly RuleChange[];
}

/** Report of `show`. */
export interface ShowReport extends CommonReport {
  readonly command: 'show';
  readonly revision: number;
  readonly author: string;
  readonly rules: readonly Rule[];
}

/** Report of each command that changes rules. */
export interface ApplyReport extends CommonReport {
  readonly command: 'apply';
  /** Revision that is in force at every live node. */
  readonly revision: number;
  readonly changes: readonly RuleChange[];
  /** Number of live nodes that have it. */
  readonly nodes: number;
}

/** What a node of the host list answered. */
export interface NodeReport {
  readonly host: Host;
  /** Absent when the node did not answer. */
  readonly status?: NodeStatus;
}

/** Report of `status`. */
export interface StatusReport extends CommonReport {
  readonly command: 'status';
  /** Newest revision; -1 when the store does not say. */
  readonly revision: number;
  readonly nodes: readonly NodeReport[];
}

/** How far one version move is at one node. */
export interface NodeMoveStatus {
  readonly nodeName: string;
  readonly move: MoveStatus;
}

/** One version move over all nodes. */
export interface Rollout {
  readonly targetGroup: string;
  readonly fromVersion: string;
  readonly toVersion: string;
  /** The accepted rule; absent when it is not known or there is none any more. */
  readonly rule?: MoveRule;
  readonly nodes: readonly NodeMoveStatus[];
}

/** Report of `rollout status`. */
export interface RolloutReport extends CommonReport {
  readonly command: 'rollout';
  readonly rollouts: readonly Rollout[];
}

/** Report of `timeline`; with `--follow` one for each round. */
export interface TimelineReport extends CommonReport {
  readonly command: 'timeline';
  readonly events: readonly TimelineEvent[];
}

/** Report of `explain`. */
export interface ExplainReport extends CommonReport {
  readonly command: 'explain';
  readonly requestId: string;
  readonly sentences: readonly string[];
}

/** Load of one target group over all gates. */
export interface GroupLoad {
  readonly group: string;
  readonly version: string;
  readonly ready: number;
  readonly cold: number;
  readonly away: number;
  readonly inFlight: number;
  readonly queued: number;
  readonly inFlightLimit: number;
}

/** Report of `top`. */
export interface TopReport extends CommonReport {
  readonly command: 'top';
  readonly groups: readonly GroupLoad[];
}

/** Report of `completion`. */
export interface CompletionReport extends CommonReport {
  readonly command: 'completion';
  readonly script: string;
}

/** Report of any command. */
export type CommandReport =
  | ApplyReport
  | CheckReport
  | CompletionReport
  | DiffReport
  | ExplainReport
  | RolloutReport
  | ShowReport
  | StatusReport
  | TimelineReport
  | TopReport;

/** Tells the operator how a long command comes along. */
export type OnProgress = (message: string) => void;
