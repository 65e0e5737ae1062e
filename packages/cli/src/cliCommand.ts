/** A parsed command with its arguments. */
export type CliCommand =
  | { readonly kind: 'check'; readonly fileName: string }
  | { readonly kind: 'check-against-active'; readonly fileName: string }
  | { readonly kind: 'diff'; readonly fileName: string }
  | { readonly kind: 'show' }
  | { readonly kind: 'status' }
  | { readonly kind: 'rollout-status' }
  | { readonly kind: 'completion' }
  | ApplyCommand
  | ZoneCommand
  | RolloutStartCommand
  | RolloutTakeBackCommand
  | TimelineCommand
  | { readonly kind: 'explain'; readonly requestId: string }
  | TopCommand;

/** `apply FILE`. */
export interface ApplyCommand {
  readonly kind: 'apply';
  readonly fileName: string;
  readonly baseRevision: number;
  readonly waitMs: number;
}

/** `zone in|out NAME`. */
export interface ZoneCommand {
  readonly kind: 'zone';
  readonly state: 'in' | 'out';
  readonly zone: string;
  readonly askedBy: string;
  readonly waitMs: number;
}

/** `rollout start GROUP`; values are written as in the rules file. */
export interface RolloutStartCommand {
  readonly kind: 'rollout-start';
  readonly targetGroup: string;
  readonly from: string;
  readonly to: string;
  readonly by: string;
  readonly unprovenShare: string;
  readonly askedBy: string;
  readonly waitMs: number;
}

/** `rollout take-back GROUP`. */
export interface RolloutTakeBackCommand {
  readonly kind: 'rollout-take-back';
  readonly targetGroup: string;
  readonly askedBy: string;
  readonly waitMs: number;
}

/** `timeline`; empty strings match all. */
export interface TimelineCommand {
  readonly kind: 'timeline';
  readonly requestId: string;
  readonly target: string;
  readonly zone: string;
  readonly follow: boolean;
}

/** `top`; with 0 rounds it runs until it is stopped. */
export interface TopCommand {
  readonly kind: 'top';
  readonly intervalMs: number;
  readonly rounds: number;
}

/** A command with the global options. */
export interface Invocation {
  readonly command: CliCommand;
  readonly settingsFile: string;
  readonly json: boolean;
}
