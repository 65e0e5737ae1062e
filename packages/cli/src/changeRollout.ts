import { GalenatillerError } from '@galenatiller/error';
import { formatInstant } from '@galenatiller/operator';
import type { MoveRule } from '@galenatiller/types';
import { Result } from 'true-myth';

import { type CommandFailure, fail } from './commandFailure.js';
import type { ApplyReport } from './commandReport.js';
import { upsertRule } from './upsertRule.js';
import type { StoredConfiguration } from './platform.js';
import type { RuleChangeOptions } from './publishRules.js';

/** Options of {@link startRollout}; values are as in the rules file. */
export interface StartRolloutOptions extends RuleChangeOptions {
  readonly targetGroup: string;
  readonly from: string;
  readonly to: string;
  readonly by: string;
  readonly unprovenShare: string;
  readonly askedBy: string;
}

/** Starts to move a target group to a version. */
export function startRollout(
  opts: StartRolloutOptions,
): Promise<Result<ApplyReport, CommandFailure>> {
  const { targetGroup, from, to, by, unprovenShare, askedBy } = opts;
  const line = `move ${targetGroup} from=${from} to=${to} by=${by} unproven-share=${unprovenShare} # asked by ${askedBy}`;
  return upsertRule({ ...opts, createRuleLine: () => Result.ok(line) });
}

/** Options of {@link revertRollout}. */
export interface RevertRolloutOptions extends RuleChangeOptions {
  readonly targetGroup: string;
  readonly askedBy: string;
}

const MS_PER_SECOND = 1_000;

/** Moves a target group back at once: the old version is known, so it takes all traffic. */
export function revertRollout(
  opts: RevertRolloutOptions,
): Promise<Result<ApplyReport, CommandFailure>> {
  const { targetGroup, askedBy, platform } = opts;
  const nowMs = Math.floor(platform.timer.wallMs() / MS_PER_SECOND) * MS_PER_SECOND;
  return upsertRule({
    ...opts,
    createRuleLine: (before) => {
      const move = findMove(before, targetGroup);
      if (!move) {
        const detail = `found no move of ${targetGroup} in revision ${before.revision}, expected one to take back`;
        return fail(GalenatillerError.create({ name: 'rules-invalid', detail }));
      }
      const versions = `from=${move.toVersion} to=${move.fromVersion}`;
      return Result.ok(
        `move ${targetGroup} ${versions} by=${formatInstant(nowMs)} unproven-share=100% # asked by ${askedBy}`,
      );
    },
  });
}

function findMove(before: StoredConfiguration, targetGroup: string): MoveRule | undefined {
  return before.rules.find(
    (rule): rule is MoveRule => rule.kind === 'move' && rule.targetGroup === targetGroup,
  );
}
