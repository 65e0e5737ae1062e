import type { DutyEvent } from '@galenatiller/duty';
import type { EventLog } from '@galenatiller/logger';
import type { AbandonedStageEvent, BatchEvent } from '@galenatiller/pool';
import type { PeerEvent } from '@galenatiller/routerLink';
import type {
  Member,
  MirrorEvent,
  ReadFailure,
  RelayEvent,
  StatedEraEvent,
} from '@galenatiller/store';
import type { TargetChange, TargetLoadEvent, TargetNoticeEvent } from '@galenatiller/target';
import type { ClockEvent, ScaleEvent, UsageReportEvent } from '@galenatiller/provider';
import type { Result } from 'true-myth';

import type { RolloutDecision } from '@galenatiller/types';

import type { ServiceOwners, Shard } from './ownership/index.js';
import type { StoppedCallEvent } from './routerStop.js';

/** Logs a change of the connection to the store. */
export function logStoreEvent(log: EventLog, event: MirrorEvent): void {
  const { kind, ...rest } = event;
  log({ about: 'dependency', event: 'store', ...rest, outcome: kind });
}

/** Logs through which router a prefix of the store is read, or that it is read directly. */
export function logStoreRelay(log: EventLog, event: RelayEvent): void {
  const { kind, ...rest } = event;
  log({ about: 'dependency', event: 'store-relay', ...rest, outcome: kind });
}

/** Logs that the store states an era for the first time, or a higher one. */
export function logStoreEra(log: EventLog, event: StatedEraEvent): void {
  const { kind, ...rest } = event;
  log({ about: 'dependency', event: 'stated-era', ...rest, outcome: kind });
}

/** Logs a change of the link to another router. */
export function logLinkEvent(log: EventLog, event: PeerEvent): void {
  const { kind, ...rest } = event;
  log({ about: 'dependency', event: 'router-link', ...rest, outcome: kind });
}

/** Logs a change of the known state of a target. */
export function logTarget(log: EventLog, change: TargetChange): void {
  const { kind, ...rest } = change;
  log({ about: 'belief', event: 'target', ...rest, outcome: kind });
}

/** Logs that a target has said that it is leaving or asked for a pause, and the end of that. */
export function logTargetNotice(log: EventLog, event: TargetNoticeEvent): void {
  const { kind, targetId: target, ...rest } = event;
  log({ about: 'belief', event: 'target-notice', target, ...rest, outcome: kind });
}

/** Logs that a target has become slow over the last minute, or takes about the usual time again. */
export function logTargetLoad(log: EventLog, event: TargetLoadEvent): void {
  const { kind, targetId: target, ...rest } = event;
  log({ about: 'belief', event: 'target-load', target, ...rest, outcome: kind });
}

/** Logs which routers are live, and which of them are leaving. */
export function logMembers(log: EventLog, live: readonly Member[]): void {
  const members = live.map(({ name }) => name);
  const leaving = live.filter(({ leavingSince }) => leavingSince > 0).map(({ name }) => name);
  const outcome = `${members.length} live, ${leaving.length} leaving`;
  log({ about: 'belief', event: 'members', members, leaving, outcome });
}

/** Logs how the stage services are split, and which router fills each part. */
export function logShards(
  log: EventLog,
  owners: Pick<ServiceOwners, 'findCandidates'>,
  shards: readonly Shard[],
): void {
  const listed = shards.map(({ key }) => `${key} ${owners.findCandidates(key).join(' ')}`);
  const outcome = `${shards.length} shards`;
  log({ about: 'belief', event: 'shards', shards: listed, outcome });
}

/** Logs one batch call to a stage worker. */
export function logStageCall(log: EventLog, event: BatchEvent): void {
  const { target, requestIds, stages, tookMs, waitedMs, isBegunEarly, outcome } = event;
  const { id, service } = target;
  log({
    about: 'decision',
    event: 'stage-call',
    target: id,
    service,
    requestIds,
    stages,
    tookMs,
    waitedMs,
    isBegunEarly,
    outcome,
  });
}

/** Logs a stage that was abandoned because it can't be done in time. */
export function logAbandonedStage(
  log: EventLog,
  event: AbandonedStageEvent & { readonly service: string },
): void {
  const { neededMs, leftMs, ...rest } = event;
  log({
    about: 'decision',
    event: 'stage-given-up',
    ...rest,
    neededMs: Math.round(neededMs),
    leftMs: Math.round(leftMs),
    outcome: 'busy',
  });
}

/** Logs that a stage of a call doesn't start yet. */
export function logHeldStage(
  log: EventLog,
  event: {
    readonly requestId: string;
    readonly route: string;
    readonly stage: number;
    readonly priority: number;
    readonly organisation: string;
  },
): void {
  log({ about: 'decision', event: 'stage-held', ...event });
}

/** Logs a call that the stop of the router ended. */
export function logStoppedCall(log: EventLog, event: StoppedCallEvent): void {
  const { tookMs, neededMs, leftMs, phase, ...rest } = event;
  log({
    about: 'decision',
    event: 'call-stopped',
    ...rest,
    tookMs: Math.round(tookMs),
    neededMs: Math.round(neededMs),
    leftMs: Math.round(leftMs),
    outcome: `ended by the stop while ${phase}`,
  });
}

/** Logs that the event loop was blocked, so that everything in the process was late. */
export function logEventLoopLag(log: EventLog, lagMs: number): void {
  const outcome = 'timers fired late';
  log({ about: 'process', event: 'event-loop-lag', lagMs: Math.round(lagMs), outcome });
}

/** Logs that calls with a fingerprint are stopped, because they crash targets. */
export function logStoppedFingerprint(
  log: EventLog,
  opts: { readonly fingerprint: string; readonly crashes: number },
): void {
  log({ about: 'belief', event: 'fingerprint', ...opts, outcome: 'stopped' });
}

/** Logs that a rollout has ended. */
export function logRollout(log: EventLog, decision: RolloutDecision): void {
  const { state, ...rest } = decision;
  log({ about: 'belief', event: 'rollout', ...rest, outcome: state });
}

/** Logs the versions of a service that get no calls beside the one that is rolled out. */
export function logStoppedVersions(
  log: EventLog,
  service: string,
  versions: readonly string[],
): void {
  const outcome = versions.length === 0 ? 'none' : 'stopped';
  log({ about: 'belief', event: 'versions-stopped', service, versions, outcome });
}

/** Logs a change of the holder of a duty, or of how sure this router is that it holds it. */
export function logDuty(log: EventLog, event: DutyEvent): void {
  const { kind, ...rest } = event;
  log({ about: 'belief', event: 'duty', ...rest, outcome: kind });
}

/** Logs a write of the state of a rollout, and why it was decided. */
export function logRolloutWrite(
  log: EventLog,
  decision: RolloutDecision,
  result: Result<'written' | 'changed', ReadFailure>,
): void {
  const { state, ...rest } = decision;
  const outcome = result.isOk ? result.value : `${result.error.kind}: ${result.error.detail}`;
  log({ about: 'belief', event: 'rollout-write', ...rest, state, outcome });
}

/** Logs what was fixed for, sent of and left out of the usage reports, and jumps of the wall clock. */
export function logUsage(log: EventLog, event: UsageReportEvent | ClockEvent): void {
  const { kind, ...rest } = event;
  switch (event.kind) {
    case 'sent': {
      const { outcome } = event;
      const verb = event.attempt > 1 ? 'repeated' : 'sent';
      log({ about: 'belief', event: 'usage-report', ...rest, outcome: `${verb}: ${outcome}` });
      break;
    }
    case 'fixed':
    case 'left-out':
      log({ about: 'belief', event: 'usage-report', ...rest, outcome: kind });
      break;
    case 'ledger-read':
    case 'ledger-write':
      log({ about: 'dependency', event: 'usage-ledger', ...rest, outcome: kind });
      break;
    default:
      log({ about: 'belief', event: 'window-clock', ...rest, outcome: kind });
  }
}

/** Logs why a number of workers was decided, and how the call that orders it ended. */
export function logScale(log: EventLog, event: ScaleEvent): void {
  const { kind, ...rest } = event;
  const outcome = event.kind === 'sent' ? `sent: ${event.outcome}` : kind;
  log({ about: 'belief', event: 'scale-order', ...rest, outcome });
}

/** Logs a task that threw. */
export function logFailedTask(log: EventLog, error: unknown): void {
  const outcome = error instanceof Error ? (error.stack ?? error.message) : String(error);
  log({ about: 'process', event: 'task-failed', outcome });
}
