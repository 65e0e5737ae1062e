import { findResultCodeByNumber } from '@galenatiller/error';
import { computeStartAllowanceMs, type RunStart, type VersionRun } from '@galenatiller/target';
import type { StageEnd, StageRequest, StageRule } from '@galenatiller/types';

import type { CallContext } from './callContext.js';
import type { AttemptEnd } from './runAttempt.js';

/** Options of {@link observeVersion}. */
export interface ObserveVersionOptions {
  readonly context: Pick<CallContext, 'configuration' | 'route' | 'versions'>;
  readonly stage: StageRule;
  readonly targetVersion: string;
  readonly request: StageRequest;
  readonly attempt: AttemptEnd;
}

/** Result codes of attempts that show nothing about the version that ran them. */
const ENDS_WITHOUT_EVIDENCE: ReadonlySet<string> = new Set(['link-lost', 'stop-limit-exceeded']);

/** Records an attempt as evidence on its version while the target group moves to another one. */
export function observeVersion(opts: ObserveVersionOptions): void {
  const { context, stage, targetVersion, request, attempt } = opts;
  const { end } = attempt;
  const move = context.configuration.moves.get(stage.targetGroup);
  const { name } = findResultCodeByNumber(end.code);
  if (!move || end.outcome === 'not-run' || ENDS_WITHOUT_EVIDENCE.has(name)) {
    return;
  }
  context.versions.observe({
    move,
    route: context.route.name,
    targetVersion,
    ending: findEnding(end, name),
    runMs: end.runMs / Math.max(1, countTokensToGenerate(request)),
    start: findStart(opts),
  });
}

/** A run that its caller left unfinished is lost: callers leave a slow version more often than a good one. */
function findEnding({ code }: StageEnd, name: string): VersionRun['ending'] {
  if (code === 0) {
    return 'good';
  }
  return name === 'cancelled' ? 'lost' : 'failed';
}

/** The time to the first token without the wait at the gate, which only an end from the gate states. */
function findStart({ context, attempt }: ObserveVersionOptions): RunStart | undefined {
  const { end, firstPartMs } = attempt;
  if (end.code !== 0 || firstPartMs === undefined) {
    return undefined;
  }
  const allowanceMs = computeStartAllowanceMs(context.route.deadlineMs);
  return { tookMs: Math.max(0, firstPartMs - end.queueMs), allowanceMs };
}

function countTokensToGenerate({ input }: StageRequest): number {
  return input.kind === 'generate' ? input.maxTokens - input.deliveredTokens : 1;
}
