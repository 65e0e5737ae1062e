import { sortRules } from '@galenatiller/operator';
import { Result } from 'true-myth';
import { Unit } from 'true-myth/unit';

import { applyRulesFile } from './applyRulesFile.js';
import { checkAgainstActive } from './checkRulesFile.js';
import { startRollout, revertRollout } from './changeRollout.js';
import type { CliCommand, TopCommand } from './cliCommand.js';
import { type CommandFailure, failOnStoreError } from './commandFailure.js';
import type { CommandReport, OnProgress } from './commandReport.js';
import { diffRulesFile } from './diffRulesFile.js';
import { readExplanation } from './readExplanation.js';
import { followTimelines } from './followTimelines.js';
import type { ReadText } from './loadRules.js';
import type { Platform } from './platform.js';
import { readLoad } from './readLoad.js';
import { readRollouts } from './readRollouts.js';
import { readStatus } from './readStatus.js';
import { readTimelines } from './readTimelines.js';
import { setZoneState } from './setZoneState.js';

/** A command that needs the platform or its nodes. */
export type PlatformCommand = Exclude<CliCommand, { kind: 'check' | 'completion' }>;

/** Options of {@link runCommand}. */
export interface RunCommandOptions {
  readonly platform: Platform;
  readonly author: string;
  readonly readText: ReadText;
  /** Stops commands that run until they are interrupted. */
  readonly stop: AbortSignal;
  readonly emit: (report: CommandReport) => void;
  readonly onProgress: OnProgress;
}

/** Runs a command and emits its reports; most commands emit one. */
export async function runCommand(
  opts: RunCommandOptions,
  command: PlatformCommand,
): Promise<Result<Unit, CommandFailure>> {
  switch (command.kind) {
    case 'top':
      return reportLoadRepeatedly(opts, command);
    case 'timeline':
      if (command.follow) {
        return followTimelines({ ...opts, ...command });
      }
      break;
    default:
  }
  const report = await createReport(opts, command);
  return report.map((value) => {
    opts.emit(value);
    return Unit;
  });
}

function createReport(
  opts: RunCommandOptions,
  command: Exclude<PlatformCommand, TopCommand>,
): Promise<Result<CommandReport, CommandFailure>> {
  switch (command.kind) {
    case 'apply':
      return applyRulesFile({ ...opts, ...command });
    case 'check-against-active':
      return checkAgainstActive({ ...opts, ...command });
    case 'diff':
      return diffRulesFile({ ...opts, ...command });
    case 'explain':
      return readExplanation({ ...opts, ...command });
    case 'rollout-start':
      return startRollout({ ...opts, ...command });
    case 'rollout-status':
      return readRollouts(opts).then(toSuccess);
    case 'rollout-take-back':
      return revertRollout({ ...opts, ...command });
    case 'show':
      return createRulesReport(opts);
    case 'status':
      return readStatus(opts).then(toSuccess);
    case 'timeline':
      return readTimelines({ ...opts, ...command, lastTimestamps: new Map() });
    default:
      return setZoneState({ ...opts, ...command });
  }
}

function toSuccess(report: CommandReport): Result<CommandReport, CommandFailure> {
  return Result.ok(report);
}

async function createRulesReport(
  opts: RunCommandOptions,
): Promise<Result<CommandReport, CommandFailure>> {
  const stored = await opts.platform.readConfiguration();
  return stored.isErr
    ? failOnStoreError(stored.error, 'which rules are accepted; status queries the nodes')
    : Result.ok({
        ...stored.value,
        command: 'show',
        unknown: [],
        rules: sortRules(stored.value.rules),
      });
}

async function reportLoadRepeatedly(
  opts: RunCommandOptions,
  command: TopCommand,
): Promise<Result<Unit, CommandFailure>> {
  for (let round = 1; !opts.stop.aborted; round += 1) {
    opts.emit(await readLoad(opts));
    if (round === command.rounds) {
      break;
    }
    await opts.platform.timer.sleep({ delayMs: command.intervalMs, signal: opts.stop });
  }
  return Result.ok();
}
