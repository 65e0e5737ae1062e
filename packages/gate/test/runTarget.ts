import type { Priority } from '@galenatiller/types';

import type { RequestQueue, QueuedRequest, QueuePolicy } from '../src/queuePolicy.js';
import { RunTimeEstimator } from '../src/runTimeEstimator.js';

/** A request that arrives at a target, with its actual run time. */
export interface Arrival {
  readonly atMs: number;
  readonly organisation: string;
  readonly priority: Priority;
  readonly deadlineAtMs: number;
  readonly runMs: number;
}

/** Result of an arrival. */
export type ArrivalEnd = 'in-time' | 'late' | 'refused';

/** Options of {@link runTarget}. */
export interface RunTargetOptions {
  readonly policy: QueuePolicy;
  readonly arrivals: readonly Arrival[];
  readonly inFlightLimit: number;
  readonly queueLimit: number;
}

interface SimulatedRequest extends QueuedRequest {
  readonly arrival: Arrival;
}

interface Run {
  readonly request: SimulatedRequest;
  readonly startedAtMs: number;
  readonly endsAtMs: number;
  readonly ending: 'completed' | 'cut-off';
}

const STAGE = { stage: 'draft', tokens: 0 };

/**
 * Simulates a policy on one target in virtual time and returns the result of each arrival. As at
 * the gate, a run is cut off at its deadline, and a request past its deadline is not started.
 */
export function runTarget(opts: RunTargetOptions): ReadonlyMap<Arrival, ArrivalEnd> {
  const { policy } = opts;
  const queue: RequestQueue<SimulatedRequest> = policy.createQueue({ getWeight: () => 1 });
  const estimator = RunTimeEstimator.create();
  const ends = new Map<Arrival, ArrivalEnd>();
  const arrivals = [...opts.arrivals].sort((left, right) => left.atMs - right.atMs);
  let running: readonly Run[] = [];
  const refuse = (requests: readonly SimulatedRequest[]): void => {
    requests.forEach((request) => ends.set(request.arrival, 'refused'));
  };
  const fillSlots = (nowMs: number): void => {
    refuse(queue.expire({ nowMs }));
    while (running.length < opts.inFlightLimit && queue.size > 0) {
      const request = queue.take().unwrapOr(undefined) as SimulatedRequest;
      const { deadlineAtMs, runMs } = request.arrival;
      if (deadlineAtMs <= nowMs) {
        refuse([request]);
        continue;
      }
      const ending = nowMs + runMs > deadlineAtMs ? 'cut-off' : 'completed';
      const endsAtMs = Math.min(nowMs + runMs, deadlineAtMs);
      running = [...running, { request, startedAtMs: nowMs, endsAtMs, ending }];
    }
    refuse(queue.shed({ maxSize: opts.queueLimit }));
  };
  const endRun = (run: Run): void => {
    running = running.filter((other) => other !== run);
    const { endsAtMs, ending } = run;
    const runMs = endsAtMs - run.startedAtMs;
    ends.set(run.request.arrival, ending === 'completed' ? 'in-time' : 'late');
    estimator.observe({ ...STAGE, runMs, nowMs: endsAtMs, ending });
    fillSlots(endsAtMs);
  };
  const arrive = (arrival: Arrival): void => {
    const nowMs = arrival.atMs;
    const estimate = estimator.estimate({ ...STAGE, nowMs });
    const { organisation, priority, deadlineAtMs } = arrival;
    const request = { organisation, priority, deadlineAtMs, ...estimate, arrival };
    const decision = policy.decideAdmission({
      nowMs,
      deadlineAtMs,
      ...estimate,
      inFlightRemainingMs: running.map(
        (run) => run.startedAtMs + run.request.expectedRunMs - nowMs,
      ),
      inFlightLimit: opts.inFlightLimit,
      aheadRunMs: queue.listRequestsAhead(request).map((ahead) => ahead.expectedRunMs),
    });
    if (decision.kind === 'refuse') {
      refuse([request]);
      return;
    }
    queue.push(request);
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
