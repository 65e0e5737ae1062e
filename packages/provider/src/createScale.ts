import type { TimerService } from '@galenatiller/timer';
import type { Duty, LoadUpdate, ScalingRange } from '@galenatiller/types';

import {
  decideScale,
  type DemandSample,
  historyMs,
  type ScaleReason,
  type ZoneWorkers,
} from './decideScale.js';
import type { ProviderClient, ProviderOutcome, ScaleOrder } from './ports.js';
import { ProviderPace } from './providerPace.js';
import { ScaleOrders } from './scaleOrders.js';

/** Something that was decided on, or happened to, the number of workers of a service in a zone. */
export type ScaleEvent = ScaleOrder &
  (
    | { readonly kind: 'decided'; readonly reason: ScaleReason; readonly expectedCalls: number }
    | {
        readonly kind: 'sent';
        readonly token: number;
        readonly outcome: ProviderOutcome;
        readonly detail: string;
      }
  );

/** A service whose number of workers is set, and its workers that are registered now. */
export interface ScaledService {
  readonly service: string;
  readonly range: ScalingRange;
  readonly zones: readonly Pick<ZoneWorkers, 'zone' | 'workers' | 'slots'>[];
}

/** Options of {@link createScale}. */
export interface ScaleOptions {
  readonly timer: TimerService;
  readonly duty: Duty;
  /** Name of this router. */
  readonly router: string;
  readonly ratePerS: number;
  readonly random: () => number;
  readonly client: Pick<ProviderClient, 'setWorkers'>;
  /** The services with a range, as this router knows them. */
  readonly services: () => readonly ScaledService[];
  /** How busy this router sees these services. */
  readonly ownLoad: () => Omit<LoadUpdate, 'router'>;
  /** Sends an update to another router, if its link is open. */
  readonly sendToPeer: (opts: { readonly peer: string; readonly update: LoadUpdate }) => void;
  readonly onEvent: (event: ScaleEvent) => void;
}

/** Reports the load of services, and sets their numbers of workers while this router is the holder. */
export interface Scale {
  /** Takes how busy another router sees the services. */
  readonly merge: (update: LoadUpdate) => void;
  readonly run: (opts: { readonly signal: AbortSignal }) => Promise<void>;
}

/** The holder and the router that follows it. */
const RECIPIENTS = 2;

const INTERVAL_MS = 1_000;

/** A router that says nothing for this time is gone or has no calls. */
const LOAD_LIFETIME_MS = 2_500;

const CALL_TIMEOUT_MS = 3_000;

/** Creates the parts that report loads and set numbers of workers. */
export function createScale(opts: ScaleOptions): Scale {
  const state: ScaleState = {
    ...opts,
    loads: new Map(),
    samples: new Map(),
    found: new Map(),
    orders: ScaleOrders.create(),
    pace: ProviderPace.create(opts),
  };
  const merge = (update: LoadUpdate): void => {
    state.loads.set(update.router, { update, atMs: opts.timer.nowMs() });
  };
  return {
    merge,
    run: async ({ signal }) => {
      let wasBusy = false;
      let wasHolder = false;
      while (!signal.aborted) {
        await opts.timer.sleep({ delayMs: INTERVAL_MS, signal });
        wasBusy = sendLoad(opts, merge, wasBusy);
        takeSamples(state);
        const isHolder = opts.duty.current() !== undefined;
        if (isHolder && !wasHolder) {
          state.orders.clear();
          state.found.clear();
        }
        wasHolder = isHolder;
        if (isHolder) {
          decide(state);
          await sendOrders(state, signal);
        }
      }
    },
  };
}

interface ScaleState extends ScaleOptions {
  readonly loads: Map<string, { readonly update: LoadUpdate; readonly atMs: number }>;
  /** Demand over time, by service. */
  readonly samples: Map<string, readonly DemandSample[]>;
  /** When the number of a subject was found or ordered last, and the number found. */
  readonly found: Map<string, { readonly workers: number; readonly atMs: number }>;
  readonly orders: ScaleOrders;
  readonly pace: ProviderPace;
}

/** Sends the own load unless it is, and was, none; returns whether there is any. */
function sendLoad(opts: ScaleOptions, merge: Scale['merge'], wasBusy: boolean): boolean {
  const load = opts.ownLoad();
  const isBusy = load.zones.length + load.waiting.length > 0;
  if (isBusy || wasBusy) {
    const update = { router: opts.router, ...load };
    opts.duty
      .candidates()
      .slice(0, RECIPIENTS)
      .forEach((peer) => {
        if (peer === opts.router) {
          merge(update);
        } else {
          opts.sendToPeer({ peer, update });
        }
      });
  }
  return isBusy;
}

/** Adds a sample of the demand for each service. */
function takeSamples({ timer, loads, samples, services }: ScaleState): void {
  const nowMs = timer.nowMs();
  const calls = new Map<string, number>();
  const add = (service: string, added: number): void => {
    calls.set(service, (calls.get(service) ?? 0) + added);
  };
  loads.forEach(({ update, atMs }, router) => {
    if (nowMs - atMs > LOAD_LIFETIME_MS) {
      loads.delete(router);
      return;
    }
    update.zones.forEach(({ service, inFlight }) => add(service, inFlight));
    update.waiting.forEach(([service, waiting]) => add(service, waiting));
  });
  services().forEach(({ service, range }) => {
    const sinceMs = nowMs - 2 * historyMs(range);
    const kept = (samples.get(service) ?? []).filter(({ atMs }) => atMs > sinceMs);
    samples.set(service, [...kept, { atMs: nowMs, calls: calls.get(service) ?? 0 }]);
  });
}

/** Decides on all services and puts what is decided into the orders. */
function decide(state: ScaleState): void {
  const { timer, orders, found, samples, onEvent } = state;
  const nowMs = timer.nowMs();
  state.services().forEach(({ service, range, zones }) => {
    const known = zones.map((zone) => {
      const key = JSON.stringify([service, zone.zone]);
      const seen = found.get(key) ?? { workers: zone.workers, atMs: nowMs };
      found.set(key, seen);
      return { ...zone, desired: seen.workers, changedAtMs: seen.atMs };
    });
    const decisions = decideScale({
      range,
      zones: known,
      samples: samples.get(service) ?? [],
      nowMs,
    });
    decisions.forEach(({ zone, workers, reason, expectedCalls }) => {
      found.set(JSON.stringify([service, zone]), { workers, atMs: nowMs });
      orders.put({ service, zone, workers });
      onEvent({ kind: 'decided', service, zone, workers, reason, expectedCalls });
    });
  });
}

/** Sends orders at the pace of the provider, until none is left or the next has to wait. */
async function sendOrders(state: ScaleState, signal: AbortSignal): Promise<void> {
  const { timer, duty, orders, pace } = state;
  while (!signal.aborted && pace.nextAtMs - timer.nowMs() < INTERVAL_MS) {
    await timer.sleep({ delayMs: Math.max(0, pace.nextAtMs - timer.nowMs()), signal });
    const holding = duty.current();
    const step = holding ? orders.next(holding) : undefined;
    if (!step || step.kind === 'none') {
      return;
    }
    const { signal: limited, release } = timer.startTimeLimit({
      limitMs: CALL_TIMEOUT_MS,
      parent: signal,
    });
    if (step.kind === 'renew') {
      const isRenewed = await duty.renewToken({ signal: limited });
      release();
      if (!isRenewed) {
        return;
      }
      continue;
    }
    const result = await state.client.setWorkers({ ...step, signal: limited });
    release();
    state.onEvent({ kind: 'sent', ...step.order, token: step.token, ...result });
    pace.record({ isFailed: result.outcome !== 'accepted', nowMs: timer.nowMs() });
    orders.onSent(step, result);
    if (result.outcome === 'superseded') {
      duty.onRefused(step.token);
    }
  }
}
