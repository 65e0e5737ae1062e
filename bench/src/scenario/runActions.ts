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
  readonly onAction: (order: ScenarioAction) => void;
}

/** Fencing number of the bench's orders to engines. */
const FENCING_NUMBER = 1;

/** Time that a version move may take, and the share of an unproven version. */
const MOVE_DURATION_MS = 60_000;
const UNPROVEN_SHARE = 0.05;

/** Gives each order at its time; resolves after the last one. */
export async function runActions(opts: RunActionsOptions): Promise<void> {
  const startMs = opts.timer.nowMs();
  const inOrder = [...opts.actions].sort((left, right) => left.atShare - right.atShare);
  for (const { atShare, action: order } of inOrder) {
    const atMs = startMs + atShare * opts.durationMs;
    await opts.timer.sleep({ delayMs: atMs - opts.timer.nowMs() });
    opts.onAction(order);
    await runAction(opts, order);
  }
}

/** One order in a few words. */
export function describeAction(order: ScenarioAction): string {
  switch (order.kind) {
    case 'fault':
      return `${order.targetName}: ${order.fault.kind}`;
    case 'zone':
      return `availability zone ${order.availabilityZone} ${order.state}`;
    case 'kill-gate':
    case 'restart-gate':
      return `${order.kind} ${order.gateName}`;
    case 'store':
      return `store: ${JSON.stringify(order.faults)}`;
    case 'move':
      return `move ${order.targetGroup} to ${order.toVersion}`;
  }
}

async function runAction(opts: RunActionsOptions, order: ScenarioAction): Promise<void> {
  const { deployment } = opts;
  switch (order.kind) {
    case 'fault':
      await deployment.injectFault(order.targetName, order.fault);
      return;
    case 'zone':
      await deployment.setZoneState(order.availabilityZone, order.state);
      return;
    case 'kill-gate':
      deployment.processes.signal(order.gateName, 'SIGKILL');
      return;
    case 'restart-gate':
      await deployment.processes.restart(order.gateName);
      return;
    case 'store':
      await deployment.setStoreFaults(order.faults);
      return;
    case 'move':
      await startMove(opts, order);
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
      byWallMs: timer.wallMs() + MOVE_DURATION_MS,
      unprovenShare: UNPROVEN_SHARE,
      askedBy: 'bench',
    },
  ]);
}
