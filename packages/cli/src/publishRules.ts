import { GalenatillerError } from '@galenatiller/error';
import { diffRules } from '@galenatiller/operator';
import type { Rule } from '@galenatiller/types';
import type { Result } from 'true-myth';

import { waitForActivation } from './waitForActivation.js';
import { type CommandFailure, fail, failOnStoreError } from './commandFailure.js';
import type { ApplyReport, OnProgress } from './commandReport.js';
import { formatChanges } from './formatChanges.js';
import type { Platform, StoredConfiguration } from './platform.js';

/** What every command that changes rules is given. */
export interface RuleChangeOptions {
  readonly platform: Platform;
  readonly author: string;
  /** Longest wait until the change is in force everywhere. */
  readonly waitMs: number;
  readonly onProgress: OnProgress;
}

/** Options of {@link publishRules}. */
export interface PublishRulesOptions extends RuleChangeOptions {
  /** The accepted rules that the change was made from. */
  readonly before: StoredConfiguration;
  readonly rules: readonly Rule[];
}

/** Publishes rules if nobody else did since they were read, and waits until they are in force. */
export async function publishRules(
  opts: PublishRulesOptions,
): Promise<Result<ApplyReport, CommandFailure>> {
  const { platform, before, rules, author } = opts;
  const changes = diffRules({ before: before.rules, after: rules });
  if (changes.length === 0) {
    return awaitReport(opts, before.revision, []);
  }
  const answer = await platform.publishConfiguration({
    author,
    baseRevision: before.revision,
    rules,
  });
  if (answer.isErr) {
    return failOnStoreError(answer.error, unknownAfter(answer.error));
  }
  if (answer.value.kind === 'conflict') {
    return failOnConflict(before, answer.value.current);
  }
  return awaitReport(opts, answer.value.revision, changes);
}

/** The failure of a change that another one came before. */
export function failOnConflict(
  before: StoredConfiguration,
  current: StoredConfiguration,
): Result<never, CommandFailure> {
  const detail = `revision ${current.revision} by ${current.author} came after revision ${before.revision}; nothing was changed`;
  const changes = diffRules({ before: before.rules, after: current.rules });
  const error = GalenatillerError.create({ name: 'revision-conflict', detail });
  return fail(error, formatChanges(changes));
}

async function awaitReport(
  opts: PublishRulesOptions,
  revision: number,
  changes: ApplyReport['changes'],
): Promise<Result<ApplyReport, CommandFailure>> {
  const nodes = await waitForActivation({ ...opts, revision });
  return nodes.map((count) => ({
    command: 'apply',
    unknown: [],
    revision,
    changes,
    nodes: count,
  }));
}

function unknownAfter(error: GalenatillerError): string {
  return error.outcome === 'not-run'
    ? 'whether others changed the rules meanwhile; this change was not made'
    : 'whether the change was accepted; look with diff before it is applied again';
}
