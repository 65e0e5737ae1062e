/** Reports of commands, from which both text and JSON output are produced. */
import type { GalenatillerError } from '@galenatiller/error';
import type { MoveStatus, NodeStatus, RuleChange, RuleFinding } from '@galenatiller/operator';
import type { Host, MoveRule, Rule, TimelineEvent } from '@galenatiller/types';

interface CommonReport {
  /** Errors for information that could not be obtained; the first one sets the exit code. */
  readonly unknown: readonly GalenatillerError[];
}

/** Report of `check`. */
export interface CheckReport extends CommonReport {
  readonly command: 'check';
  readonly fileName: string;
  readonly rules: number;
  readonly findings: readonly RuleFinding[];
  /** The accepted change that the file was compared with; absent when it was not compared. */
  readonly active?: AcceptedChange;
}

/** The newest accepted change of the rules. */
export interface AcceptedChange {
  /** 0 before the first change. */
  readonly revision: number;
  readonly author: string;
}

/** Report of `diff`: the changes that `apply` would publish. */
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

/** Report of every command that changes rules. */
export interface ApplyReport extends CommonReport {
  readonly command: 'apply';
  /** Revision that is active at every live node. */
  readonly revision: number;
  readonly changes: readonly RuleChange[];
  /** Number of live nodes. */
  readonly nodes: number;
}

/** Status of one node in the host list. */
export interface NodeReport {
  readonly host: Host;
  /** Absent when the node did not respond. */
  readonly status?: NodeStatus;
}

/** Report of `status`. */
export interface StatusReport extends CommonReport {
  readonly command: 'status';
  /** Newest revision; -1 when the store could not be read. */
  readonly revision: number;
  readonly nodes: readonly NodeReport[];
}

/** Progress of one version move at one node. */
export interface NodeMoveStatus {
  readonly nodeName: string;
  readonly move: MoveStatus;
}

/** Progress of one version move at all nodes. */
export interface Rollout {
  readonly targetGroup: string;
  readonly fromVersion: string;
  readonly toVersion: string;
  /** The accepted rule; absent when it is unknown or has been removed. */
  readonly rule?: MoveRule;
  readonly nodes: readonly NodeMoveStatus[];
}

/** Report of `rollout status`. */
export interface RolloutReport extends CommonReport {
  readonly command: 'rollout';
  readonly rollouts: readonly Rollout[];
}

/** Report of `timeline`; with `--follow`, one for each poll that finds new events. */
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

/** Load of one version of a target group, summed over all gates. */
export interface GroupLoad {
  readonly group: string;
  readonly version: string;
  readonly ready: number;
  readonly cold: number;
  /** Number of targets that are down or leaving. */
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

/** Reports the progress of a long-running command to the operator. */
export type OnProgress = (message: string) => void;
