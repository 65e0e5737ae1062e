import type { Priority } from '@galenatiller/types';

import type { RequestQueue, QueuedRequest, QueuePolicy } from '../src/queuePolicy.js';
import { RunTimeEstimator } from '../src/runTimeEstimator.js';

/** One order that arrives at a target, with the time that its run really takes. */
export interface Arrival {
  readonly atMs: number;
  readonly organisation: string;
  readonly priority: Priority;
  readonly deadlineAtMs: number;
  readonly runMs: number;
}

/** How an arrival ended. */
export type ArrivalEnd = 'in-time' | 'late' | 'refused';

/** Options of {@link runTarget}. */
export interface RunTargetOptions {
  readonly policy: QueuePolicy;
  readonly arrivals: readonly Arrival[];
  readonly inFlightLimit: number;
  readonly queueLimit: number;
}

interface SimulatedOrder extends QueuedRequest {
  readonly arrival: Arrival;
}

interface Run {
  readonly order: SimulatedOrder;
  readonly startedAtMs: number;
  readonly endsAtMs: number;
  readonly ending: 'whole' | 'cut';
}

const STAGE = { stage: 'draft', tokens: 0 };

/**
 * Runs arrivals through a policy on one target in virtual time; says how each ended. As at the
 * gate, a run is cut at its deadline, and an order past its deadline is not started.
 */
export function runTarget(opts: RunTargetOptions): ReadonlyMap<Arrival, ArrivalEnd> {
  const { policy } = opts;
  const queue: RequestQueue<SimulatedOrder> = policy.createQueue({ getWeight: () => 1 });
  const runTimes = RunTimeEstimator.create();
  const ends = new Map<Arrival, ArrivalEnd>();
  const arrivals = [...opts.arrivals].sort((left, right) => left.atMs - right.atMs);
  let running: readonly Run[] = [];
  const refuse = (orders: readonly SimulatedOrder[]): void => {
    orders.forEach((order) => ends.set(order.arrival, 'refused'));
  };
  const fillSlots = (nowMs: number): void => {
    refuse(queue.expire({ nowMs }));
    while (running.length < opts.inFlightLimit && queue.size > 0) {
      const order = queue.take().unwrapOr(undefined) as SimulatedOrder;
      const { deadlineAtMs, runMs } = order.arrival;
      if (deadlineAtMs <= nowMs) {
        refuse([order]);
        continue;
      }
      const ending = nowMs + runMs > deadlineAtMs ? 'cut' : 'whole';
      const endsAtMs = Math.min(nowMs + runMs, deadlineAtMs);
      running = [...running, { order, startedAtMs: nowMs, endsAtMs, ending }];
    }
    refuse(queue.shed({ maxSize: opts.queueLimit }));
  };
  const endRun = (run: Run): void => {
    running = running.filter((other) => other !== run);
    const { endsAtMs, ending } = run;
    const runMs = endsAtMs - run.startedAtMs;
    ends.set(run.order.arrival, ending === 'whole' ? 'in-time' : 'late');
    runTimes.observe({ ...STAGE, runMs, nowMs: endsAtMs, ending });
    fillSlots(endsAtMs);
  };
  const arrive = (arrival: Arrival): void => {
    const nowMs = arrival.atMs;
    const estimate = runTimes.estimate({ ...STAGE, nowMs });
    const { organisation, priority, deadlineAtMs } = arrival;
    const order = { organisation, priority, deadlineAtMs, ...estimate, arrival };
    const decision = policy.decideAdmission({
      nowMs,
      deadlineAtMs,
      ...estimate,
      inFlightRemainingMs: running.map((run) => run.startedAtMs + run.order.expectedRunMs - nowMs),
      inFlightLimit: opts.inFlightLimit,
      aheadRunMs: queue.listRequestsAhead(order).map((ahead) => ahead.expectedRunMs),
    });
    if (decision.kind === 'refuse') {
      refuse([order]);
      return;
    }
    queue.push(order);
    fillSlots(nowMs);
  };
  for (;;) {
    const run = running.reduce<Run | undefined>(
      (first, other) => (first && first.endsAtMs <= other.endsAtMs ? first : other),
      undefined,
    );
    const arrival = arrivals[0];
    if (run && (!arrival || run.endsAtMs <= arrival.atMs)) {
      endRun(run);
    } else if (arrival) {
      arrivals.shift();
      arrive(arrival);
    } else {
      return ends;
    }
  }
}
