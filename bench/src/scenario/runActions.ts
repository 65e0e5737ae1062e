import type { TimerService } from '@galenatiller/timer';

import { sendFakeRequest } from '../launcher/sendFakeRequest.js';
import type { RunningDeployment } from '../launcher/startDeployment.js';
import type { ScenarioAction, ScheduledAction } from './scenario.js';

/** Options of {@link runActions}. */
export interface RunActionsOptions {
  readonly deployment: RunningDeployment;
  readonly timer: TimerService;
  readonly durationMs: number;
  readonly actions: readonly ScheduledAction[];
  readonly onAction: (action: ScenarioAction) => void;
}

/** Fencing number of the orders that the bench sends to engines. */
const FENCING_NUMBER = 1;

/** Time limit of a version move, and the share of requests for an unproven version. */
const MOVE_TIMEOUT_MS = 60_000;
const UNPROVEN_SHARE = 0.05;

/** Runs each action at its time; resolves after the last one. */
export async function runActions(opts: RunActionsOptions): Promise<void> {
  const startMs = opts.timer.nowMs();
  const sorted = [...opts.actions].sort((left, right) => left.atShare - right.atShare);
  for (const { atShare, action } of sorted) {
    const atMs = startMs + atShare * opts.durationMs;
    await opts.timer.sleep({ delayMs: atMs - opts.timer.nowMs() });
    opts.onAction(action);
    await runAction(opts, action);
  }
}

/** Describes an action for the progress output. */
export function describeAction(action: ScenarioAction): string {
  switch (action.kind) {
    case 'fault':
      return `${action.targetName}: ${action.fault.kind}`;
    case 'zone':
      return `availability zone ${action.availabilityZone} ${action.state}`;
    case 'kill-gate':
    case 'restart-gate':
      return `${action.kind} ${action.gateName}`;
    case 'store':
      return `store: ${JSON.stringify(action.faults)}`;
    case 'move':
      return `move ${action.targetGroup} to ${action.toVersion}`;
  }
}

async function runAction(opts: RunActionsOptions, action: ScenarioAction): Promise<void> {
  const { deployment } = opts;
  switch (action.kind) {
    case 'fault':
      await deployment.injectFault(action.targetName, action.fault);
      return;
    case 'zone':
      await deployment.setZoneState(action.availabilityZone, action.state);
      return;
    case 'kill-gate':
      deployment.processes.signal(action.gateName, 'SIGKILL');
      return;
    case 'restart-gate':
      await deployment.processes.restart(action.gateName);
      return;
    case 'store':
      await deployment.setStoreFaults(action.faults);
      return;
    case 'move':
      await startMove(opts, action);
  }
}

async function startMove(
  { deployment, timer }: RunActionsOptions,
  move: Extract<ScenarioAction, { kind: 'move' }>,
): Promise<void> {
  await Promise.all(
    deployment.fakes
      .filter(({ name }) => move.targetNames.includes(name))
      .map(({ url }) =>
        sendFakeRequest({
          timer,
          url: `${url}/orders`,
          method: 'POST',
          body: { kind: 'load-version', name: move.toVersion, fencing_number: FENCING_NUMBER },
        }),
      ),
  );
  await deployment.publish((rules) => [
    ...rules,
    {
      kind: 'move',
      targetGroup: move.targetGroup,
      fromVersion: 'v1',
      toVersion: move.toVersion,
      byWallMs: timer.wallMs() + MOVE_TIMEOUT_MS,
      unprovenShare: UNPROVEN_SHARE,
      askedBy: 'bench',
    },
  ]);
}
