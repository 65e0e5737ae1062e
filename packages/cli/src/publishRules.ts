import { GalenatillerError } from '@galenatiller/error';
import { diffRules } from '@galenatiller/operator';
import type { Rule } from '@galenatiller/types';
import type { Result } from 'true-myth';

import { waitForActivation } from './waitForActivation.js';
import { type CommandFailure, fail, failOnStoreError } from './commandFailure.js';
import type { ApplyReport, OnProgress } from './commandReport.js';
import { formatChanges } from './formatChanges.js';
import type { Platform, StoredConfiguration } from './platform.js';

/** Options of all commands that change rules. */
export interface RuleChangeOptions {
  readonly platform: Platform;
  readonly author: string;
  /** Maximum time to wait until the change is active at every live node. */
  readonly waitMs: number;
  readonly onProgress: OnProgress;
}

/** Options of {@link publishRules}. */
export interface PublishRulesOptions extends RuleChangeOptions {
  /** The accepted rules that the change is based on. */
  readonly before: StoredConfiguration;
  readonly rules: readonly Rule[];
}

/** Publishes rules unless others changed them since they were read, and waits until they are active. */
export async function publishRules(
  opts: PublishRulesOptions,
): Promise<Result<ApplyReport, CommandFailure>> {
  const { platform, before, rules, author } = opts;
  const changes = diffRules({ before: before.rules, after: rules });
  if (changes.length === 0) {
    return waitAndReport(opts, before.revision, []);
  }
  const published = await platform.publishConfiguration({
    author,
    baseRevision: before.revision,
    rules,
  });
  if (published.isErr) {
    return failOnStoreError(published.error, describeMissingInformation(published.error));
  }
  if (published.value.kind === 'conflict') {
    return failOnConflict(before, published.value.current);
  }
  return waitAndReport(opts, published.value.revision, changes);
}

/** Creates the error result of a change that conflicts with a newer revision. */
export function failOnConflict(
  before: StoredConfiguration,
  current: StoredConfiguration,
): Result<never, CommandFailure> {
  const detail = `revision ${current.revision} by ${current.author} came after revision ${before.revision}; nothing was changed`;
  const changes = diffRules({ before: before.rules, after: current.rules });
  const error = GalenatillerError.create({ name: 'revision-conflict', detail });
  return fail(error, formatChanges(changes));
}

async function waitAndReport(
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

function describeMissingInformation(error: GalenatillerError): string {
  return error.outcome === 'not-run'
    ? 'whether others changed the rules meanwhile; this change was not made'
    : 'whether the change was accepted; check with diff before applying it again';
}
