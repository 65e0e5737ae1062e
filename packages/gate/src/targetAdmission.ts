import type { EndedRun, RunTicket, ConcurrencyLimit } from '@galenatiller/engine';
import { GalenatillerError } from '@galenatiller/error';
import type { TargetSettings } from '@galenatiller/settings';
import type { TimerService } from '@galenatiller/timer';
import type { StageRequest, TargetReport } from '@galenatiller/types';
import { Result } from 'true-myth';

import type { RequestQueue, QueuedRequest, QueuePolicy } from './queuePolicy.js';
import type { LoadLimit } from './loadLimit.js';
import { RunTimeEstimator } from './runTimeEstimator.js';

/** Weight of the last run in the smoothed run time. */
const SMOOTHING = 0.2;

/** Options of {@link TargetAdmission.create}. */
export interface TargetAdmissionOptions {
  readonly settings: TargetSettings;
  readonly timer: TimerService;
  readonly queuePolicy: QueuePolicy;
  readonly concurrencyLimit: ConcurrencyLimit;
  readonly loadLimit: LoadLimit;
  readonly getWeight: (organisation: string) => number;
}

/** The right to run one order; it must be given back by `leave`. */
export interface Admission {
  readonly ticket: RunTicket;
  readonly startedAtMs: number;
  readonly expectedRunMs: number;
  /** Time that the order had left when it arrived. */
  readonly budgetMs: number;
}

/** How an admitted run has ended. */
export interface AdmissionEnd extends Pick<EndedRun, 'firstPartMs' | 'how'> {
  readonly runMs: number;
}

interface WaitingOrder extends QueuedRequest {
  readonly budgetMs: number;
  readonly admit: (admitted: Result<Admission, GalenatillerError>) => void;
}

/** Decides when orders may run on one target; every order for the target passes here. */
export class TargetAdmission {
  private readonly queue: RequestQueue<WaitingOrder>;

  private readonly running = new Set<Admission>();

  private readonly runTimes = RunTimeEstimator.create();

  private runMs = 0;

  private knownStartId = '';

  private constructor(private readonly opts: TargetAdmissionOptions) {
    this.queue = opts.queuePolicy.createQueue<WaitingOrder>({ getWeight: opts.getWeight });
  }

  /** Makes the admission of an idle target. */
  static create(opts: TargetAdmissionOptions): TargetAdmission {
    return new TargetAdmission(opts);
  }

  /** Settings of the target. */
  get settings(): TargetSettings {
    return this.opts.settings;
  }

  /** Identity that the target told last; empty when it has told none. */
  get startId(): string {
    return this.knownStartId;
  }

  /** Waits until the order may run; a success must be followed by `leave`. */
  async acquire(
    order: StageRequest,
    signal: AbortSignal,
  ): Promise<Result<Admission, GalenatillerError>> {
    const nowMs = this.opts.timer.nowMs();
    const deadlineAtMs = nowMs + order.remainingMs;
    const estimate = this.runTimes.estimate({ stage: order.stage, tokens: tokensOf(order), nowMs });
    const { organisation, priority } = order;
    const budgetMs = order.remainingMs;
    const queued = { organisation, priority, deadlineAtMs, budgetMs, ...estimate };
    const decision = this.decide(queued);
    if (decision.kind === 'refuse') {
      return refuse('deadline-unreachable', this.settings.name, decision.retryAfterMs);
    }
    return this.wait(queued, signal);
  }

  /** Tells how an admitted run has ended, and lets the next orders run. */
  release(order: StageRequest, admission: Admission, end: AdmissionEnd): void {
    this.running.delete(admission);
    const { how, firstPartMs, runMs } = end;
    this.opts.concurrencyLimit.onRunEnded({ ticket: admission.ticket, how, firstPartMs });
    this.runTimes.observe({
      stage: order.stage,
      tokens: tokensOf(order),
      nowMs: this.opts.timer.nowMs(),
      runMs,
      ending: how === 'ok' ? 'whole' : 'cut',
    });
    if (how === 'ok' || how === 'no-evidence') {
      const { inFlight } = admission.ticket;
      this.opts.loadLimit.onEnded({ runMs, budgetMs: admission.budgetMs, inFlight });
    }
    if (how === 'ok') {
      this.runMs = this.runMs === 0 ? runMs : this.runMs + SMOOTHING * (runMs - this.runMs);
    }
    this.admitNext();
  }

  /** The target has told the identity of its process. */
  onStartId(startId: string): void {
    this.knownStartId = startId;
    this.opts.concurrencyLimit.onStartId(startId);
    this.admitNext();
  }

  /** The target as entries are told of it. */
  buildReport(): TargetReport {
    const { name, kind, group, version } = this.settings;
    return {
      name,
      kind,
      group,
      version,
      state: this.opts.concurrencyLimit.state(),
      inFlight: this.running.size,
      queued: this.queue.size,
      inFlightLimit: this.inFlightLimit,
      runMs: this.runMs,
      prefixHashes: [],
    };
  }

  /** Both limits hold: what the target bears, and what lets runs end in time. */
  private get inFlightLimit(): number {
    return Math.min(this.opts.concurrencyLimit.limit(), this.opts.loadLimit.getLimit());
  }

  private decide(queued: Omit<WaitingOrder, 'admit'>): ReturnType<QueuePolicy['decideAdmission']> {
    const nowMs = this.opts.timer.nowMs();
    const probe: WaitingOrder = { ...queued, admit: () => {} };
    return this.opts.queuePolicy.decideAdmission({
      nowMs,
      deadlineAtMs: queued.deadlineAtMs,
      expectedRunMs: queued.expectedRunMs,
      safetyMarginMs: queued.safetyMarginMs,
      inFlightRemainingMs: [...this.running].map(
        (run) => run.startedAtMs + run.expectedRunMs - nowMs,
      ),
      inFlightLimit: this.inFlightLimit,
      aheadRunMs: this.queue.listRequestsAhead(probe).map((ahead) => ahead.expectedRunMs),
    });
  }

  private wait(
    queued: Omit<WaitingOrder, 'admit'>,
    signal: AbortSignal,
  ): Promise<Result<Admission, GalenatillerError>> {
    return new Promise((resolve) => {
      const limitMs = queued.deadlineAtMs - this.opts.timer.nowMs();
      const limit = this.opts.timer.startTimeLimit({ limitMs, parent: signal });
      const finish = (admitted: Result<Admission, GalenatillerError>): void => {
        limit.release();
        limit.signal.removeEventListener('abort', abandon);
        resolve(admitted);
      };
      const waiting: WaitingOrder = { ...queued, admit: finish };
      const abandon = (): void => {
        this.queue.remove(waiting);
        finish(
          refuse(signal.aborted ? 'cancelled' : 'deadline-unreachable', this.settings.name, 0),
        );
      };
      limit.signal.addEventListener('abort', abandon, { once: true });
      this.queue.push(waiting);
      this.admitNext();
    });
  }

  /** Orders run while slots are free; what can't end in time or is over the limit is refused. */
  private admitNext(): void {
    const { timer, concurrencyLimit: limit, settings } = this.opts;
    this.queue.expire({ nowMs: timer.nowMs() }).forEach((late) => {
      late.admit(refuse('deadline-unreachable', settings.name, 0));
    });
    while (this.running.size < this.inFlightLimit && this.queue.size > 0) {
      const next = this.queue.take().unwrapOr(undefined);
      if (!next) {
        break;
      }
      const admission: Admission = {
        ticket: limit.onRunStarted(),
        startedAtMs: timer.nowMs(),
        expectedRunMs: next.expectedRunMs,
        budgetMs: next.budgetMs,
      };
      this.running.add(admission);
      next.admit(Result.ok(admission));
    }
    this.queue.shed({ maxSize: settings.queueLimit }).forEach((shed) => {
      shed.admit(refuse('overloaded', settings.name, Math.ceil(this.runMs)));
    });
  }
}

function tokensOf({ input }: StageRequest): number {
  return input.kind === 'generate' ? input.maxTokens - input.deliveredTokens : 0;
}

function refuse(
  name: 'cancelled' | 'deadline-unreachable' | 'overloaded',
  targetName: string,
  retryAfterMs: number,
): Result<never, GalenatillerError> {
  const detail = `target ${targetName}`;
  return Result.err(GalenatillerError.create({ name, detail, outcome: 'not-run', retryAfterMs }));
}
