import type { TimerService } from '@galenatiller/timer';

import { askFake } from '../launcher/askFake.js';
import type { RunningDeployment } from '../launcher/startDeployment.js';
import type { BenchOrder, ScheduledOrder } from './scenario.js';

/** Options of {@link runOrders}. */
export interface RunOrdersOptions {
  readonly deployment: RunningDeployment;
  readonly timer: TimerService;
  readonly durationMs: number;
  readonly orders: readonly ScheduledOrder[];
  readonly onOrder: (order: BenchOrder) => void;
}

/** Fencing number of the bench's orders to engines. */
const FENCING_NUMBER = 1;

/** Time that a version move may take, and the share of an unproven version. */
const MOVE_LIMIT_MS = 60_000;
const UNPROVEN_SHARE = 0.05;

/** Gives each order at its time; resolves after the last one. */
export async function runOrders(opts: RunOrdersOptions): Promise<void> {
  const startMs = opts.timer.nowMs();
  const inOrder = [...opts.orders].sort((left, right) => left.atShare - right.atShare);
  for (const { atShare, order } of inOrder) {
    const atMs = startMs + atShare * opts.durationMs;
    await opts.timer.sleep({ delayMs: atMs - opts.timer.nowMs() });
    opts.onOrder(order);
    await giveOrder(opts, order);
  }
}

/** One order in a few words. */
export function describeOrder(order: BenchOrder): string {
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

async function giveOrder(opts: RunOrdersOptions, order: BenchOrder): Promise<void> {
  const { deployment } = opts;
  switch (order.kind) {
    case 'fault':
      await deployment.orderFault(order.targetName, order.fault);
      return;
    case 'zone':
      await deployment.orderZone(order.availabilityZone, order.state);
      return;
    case 'kill-gate':
      deployment.processes.signal(order.gateName, 'SIGKILL');
      return;
    case 'restart-gate':
      await deployment.processes.restart(order.gateName);
      return;
    case 'store':
      await deployment.orderStore(order.faults);
      return;
    case 'move':
      await startMove(opts, order);
  }
}

async function startMove(
  { deployment, timer }: RunOrdersOptions,
  move: Extract<BenchOrder, { kind: 'move' }>,
): Promise<void> {
  await Promise.all(
    deployment.fakes
      .filter(({ name }) => move.targetNames.includes(name))
      .map(({ url }) =>
        askFake({
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
      byWallMs: timer.wallMs() + MOVE_LIMIT_MS,
      unprovenShare: UNPROVEN_SHARE,
      askedBy: 'bench',
    },
  ]);
}
