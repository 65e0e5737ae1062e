import type { EventLog } from '@galenatiller/logger';
import type { RouterSettings } from '@galenatiller/settings';
import type { TimerService } from '@galenatiller/timer';

import type { RolloutStatusEntries } from './entryDecoders.js';
import { STALE_EVIDENCE_MS } from './evidenceAge.js';
import { logRollout, logRolloutWrite, logStoppedVersions } from './logEvents.js';
import { Rollouts } from './rollouts.js';
import { RolloutStatuses } from './rolloutStatuses.js';
import type { RunRolloutsOptions } from './runRollouts.js';

/** Options of {@link createRollouts}. */
export interface CreateRolloutsOptions {
  readonly settings: Pick<RouterSettings, 'unprovedShare'>;
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly random: () => number;
  readonly rolloutStatusEntries: RolloutStatusEntries;
  /** Time since the store last proved what this node knows. */
  readonly evidenceAgeMs: () => number;
}

/** The rollouts, their states in the store, and the log of writes to it. */
export type RolloutParts = Pick<RunRolloutsOptions, 'rollouts' | 'statuses' | 'onWritten'>;

/** Creates the parts of a router that handle rollouts. */
export function createRollouts(opts: CreateRolloutsOptions): RolloutParts {
  const { settings, timer, log, random, rolloutStatusEntries: entries } = opts;
  const rollouts = Rollouts.create({
    timer,
    random,
    unprovedShare: settings.unprovedShare,
    isInTouch: () => opts.evidenceAgeMs() <= STALE_EVIDENCE_MS,
    onEnded: (decision) => logRollout(log, decision),
    onStoppedChanged: (service, versions) => logStoppedVersions(log, service, versions),
  });
  const statuses = RolloutStatuses.create({
    entries,
    onStatus: (stored) => rollouts.setStored(stored),
  });
  return {
    rollouts,
    statuses,
    onWritten: (decision, result) => logRolloutWrite(log, decision, result),
  };
}
