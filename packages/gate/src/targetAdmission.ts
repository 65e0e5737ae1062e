import { STOP_RETRY_AFTER_MS } from '@galenatiller/constants';
import type { EndedRun, RunTicket, ConcurrencyLimit } from '@galenatiller/engine';
import { GalenatillerError } from '@galenatiller/error';
import type { TargetSettings } from '@galenatiller/settings';
import type { NoticeSource, TargetNotices, TargetStart } from '@galenatiller/target';
import type { TimerService } from '@galenatiller/timer';
import type { StageRequest, TargetNotice, TargetReport } from '@galenatiller/types';
import { Result } from 'true-myth';

import type { RequestQueue, QueuedRequest, QueuePolicy } from './queuePolicy.js';
import type { LoadLimit } from './loadLimit.js';
import { RunTimeEstimator } from './runTimeEstimator.js';

/** Weight of the latest run in the moving average of run times. */
const SMOOTHING = 0.2;

/** Delay before a request is admitted to a target that takes only some after its pause. */
const RETURN_CHECK_MS = 20;

/** Options of {@link TargetAdmission.create}. */
export interface TargetAdmissionOptions {
  readonly settings: TargetSettings;
  readonly timer: TimerService;
  readonly notices: TargetNotices;
  readonly queuePolicy: QueuePolicy;
  readonly concurrencyLimit: ConcurrencyLimit;
  readonly loadLimit: LoadLimit;
  readonly getWeight: (organisation: string) => number;
}

/** Permission to run one stage request. It must be returned with `release`. */
export interface Admission {
  readonly ticket: RunTicket;
  readonly startedAtMs: number;
  readonly expectedRunMs: number;
  /** Time until the deadline when the request arrived. */
  readonly budgetMs: number;
}

/** How an admitted run ended. */
export interface AdmissionEnd extends Pick<EndedRun, 'firstPartMs' | 'how'> {
  readonly runMs: number;
}

interface WaitingRequest extends QueuedRequest {
  readonly budgetMs: number;
  readonly settle: (result: Result<Admission, GalenatillerError>) => void;
}

/** Admission control of one target. Every stage request for the target passes through it. */
export class TargetAdmission {
  private readonly queue: RequestQueue<WaitingRequest>;

  private readonly running = new Set<Admission>();

  private readonly runTimeEstimator = RunTimeEstimator.create();

  private smoothedRunMs = 0;

  private knownStartId = '';

  /** The latest start, which an answer of an earlier one that comes late doesn't change. */
  private latestStartId = '';

  private readonly earlierStartIds = new Set<string>();

  private isReturnScheduled = false;

  private constructor(private readonly opts: TargetAdmissionOptions) {
    this.queue = opts.queuePolicy.createQueue<WaitingRequest>({ getWeight: opts.getWeight });
  }

  /** Creates the admission control of an idle target. */
  static create(opts: TargetAdmissionOptions): TargetAdmission {
    return new TargetAdmission(opts);
  }

  /** Settings of the target. */
  get settings(): TargetSettings {
    return this.opts.settings;
  }

  /** Latest reported identity of the target's process; empty when none has been reported. */
  get startId(): string {
    return this.knownStartId;
  }

  /** Whether the target has said that it is leaving. */
  get isLeaving(): boolean {
    return this.opts.notices.isLeaving(this.start);
  }

  /** Whether the target has asked to be sent nothing for a time. */
  get isPaused(): boolean {
    return this.pausedMs > 0;
  }

  /** Whether it may be checked now whether the target still runs. */
  tryProbe(): boolean {
    return this.opts.notices.tryProbe(this.start);
  }

  /** Called with what an answer of a process of the target says about it. */
  onNotice(opts: {
    readonly notice: TargetNotice;
    readonly startId: string;
    readonly source: NoticeSource;
  }): void {
    const { notice, startId, source } = opts;
    const target = createStart(this.settings, startId || this.latestStartId);
    this.opts.notices.record({ target, notice, source });
    this.admitNext();
  }

  /** Waits until the request may run. After a success, `release` must be called. */
  async acquire(
    request: StageRequest,
    signal: AbortSignal,
  ): Promise<Result<Admission, GalenatillerError>> {
    const nowMs = this.opts.timer.nowMs();
    const deadlineAtMs = nowMs + request.remainingMs;
    const estimate = this.runTimeEstimator.estimate({
      stage: request.stage,
      tokens: countTokensToGenerate(request),
      nowMs,
    });
    const { organisation, priority } = request;
    const budgetMs = request.remainingMs;
    const queued = { organisation, priority, deadlineAtMs, budgetMs, ...estimate };
    const { pausedMs } = this;
    if (pausedMs > 0 && nowMs + pausedMs + estimate.expectedRunMs > deadlineAtMs) {
      return refuse('targets-paused', this.settings.name, Math.ceil(pausedMs));
    }
    const decision = this.decide(queued);
    if (decision.kind === 'refuse') {
      return refuse('deadline-unreachable', this.settings.name, decision.retryAfterMs);
    }
    return this.waitForSlot(queued, signal);
  }

  /** Returns an admission, records how its run ended and admits the next requests. */
  release(request: StageRequest, admission: Admission, end: AdmissionEnd): void {
    this.running.delete(admission);
    const { how, firstPartMs, runMs } = end;
    this.opts.concurrencyLimit.onRunEnded({ ticket: admission.ticket, how, firstPartMs });
    this.runTimeEstimator.observe({
      stage: request.stage,
      tokens: countTokensToGenerate(request),
      nowMs: this.opts.timer.nowMs(),
      runMs,
      ending: how === 'ok' ? 'completed' : 'cut-off',
    });
    if (how === 'ok' || how === 'no-evidence') {
      const { inFlight } = admission.ticket;
      this.opts.loadLimit.onRunEnded({ runMs, budgetMs: admission.budgetMs, inFlight });
    }
    if (how === 'ok') {
      this.smoothedRunMs =
        this.smoothedRunMs === 0
          ? runMs
          : this.smoothedRunMs + SMOOTHING * (runMs - this.smoothedRunMs);
    }
    this.admitNext();
  }

  /** Refuses all requests that wait, because the gate is leaving. */
  refuseQueued(): void {
    const { queue } = this;
    for (let next = queue.take(); next.isJust; next = queue.take()) {
      next.value.settle(refuse('target-leaving', this.settings.name, STOP_RETRY_AFTER_MS));
    }
  }

  /** Called when the target reports the identity of its process. */
  onStartId(startId: string): void {
    this.knownStartId = startId;
    this.opts.concurrencyLimit.onStartId(startId);
    this.followStart(startId);
    this.admitNext();
  }

  /** Builds the report of the target that is sent to entries. */
  buildReport(): TargetReport {
    const { name, kind, group, version } = this.settings;
    return {
      name,
      kind,
      group,
      version,
      state: this.isLeaving ? 'leaving' : this.opts.concurrencyLimit.state(),
      inFlight: this.running.size,
      queued: this.queue.size,
      inFlightLimit: this.inFlightLimit,
      runMs: this.smoothedRunMs,
      pausedMs: Math.ceil(this.pausedMs),
      prefixHashes: [],
    };
  }

  private followStart(startId: string): void {
    const isLater = startId !== this.latestStartId && !this.earlierStartIds.has(startId);
    if (startId === '' || !isLater) {
      return;
    }
    this.earlierStartIds.add(this.latestStartId);
    this.latestStartId = startId;
    this.opts.notices.onRegistered([this.start]);
  }

  private get start(): TargetStart {
    return createStart(this.settings, this.latestStartId);
  }

  /** Time until the target may be sent a request; 0 when it isn't paused. */
  private get pausedMs(): number {
    return this.opts.notices.firstReturnMs([this.start]) ?? 0;
  }

  /** The lower of the target's concurrency limit and the limit that lets runs end in time. */
  private get inFlightLimit(): number {
    return Math.min(this.opts.concurrencyLimit.limit(), this.opts.loadLimit.getLimit());
  }

  private decide(
    queued: Omit<WaitingRequest, 'settle'>,
  ): ReturnType<QueuePolicy['decideAdmission']> {
    const nowMs = this.opts.timer.nowMs();
    const probe: WaitingRequest = { ...queued, settle: () => {} };
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

  private waitForSlot(
    queued: Omit<WaitingRequest, 'settle'>,
    signal: AbortSignal,
  ): Promise<Result<Admission, GalenatillerError>> {
    return new Promise((resolve) => {
      const limitMs = queued.deadlineAtMs - this.opts.timer.nowMs();
      const limit = this.opts.timer.startTimeLimit({ limitMs, parent: signal });
      const finish = (result: Result<Admission, GalenatillerError>): void => {
        limit.release();
        limit.signal.removeEventListener('abort', onAborted);
        resolve(result);
      };
      const waiting: WaitingRequest = { ...queued, settle: finish };
      const onAborted = (): void => {
        this.queue.remove(waiting);
        finish(
          refuse(signal.aborted ? 'cancelled' : 'deadline-unreachable', this.settings.name, 0),
        );
      };
      limit.signal.addEventListener('abort', onAborted, { once: true });
      this.queue.push(waiting);
      this.admitNext();
    });
  }

  /** Refuses late requests, admits requests while slots are free and refuses the overflow. */
  private admitNext(): void {
    const { timer, concurrencyLimit: limit, settings } = this.opts;
    this.queue.expire({ nowMs: timer.nowMs() }).forEach((late) => {
      late.settle(refuse('deadline-unreachable', settings.name, 0));
    });
    while (this.canAdmit() && this.queue.size > 0) {
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
      this.opts.notices.recordSent(this.start);
      next.settle(Result.ok(admission));
    }
    this.queue.shed({ maxSize: settings.queueLimit }).forEach((shed) => {
      shed.settle(refuse('overloaded', settings.name, Math.ceil(this.smoothedRunMs)));
    });
    this.refuseIfLeaving();
    this.scheduleReturn();
  }

  private canAdmit(): boolean {
    return this.running.size < this.inFlightLimit && this.opts.notices.canSend(this.start);
  }

  /** Refuses what is queued for a leaving target, so that entries send it to another one. */
  private refuseIfLeaving(): void {
    while (this.isLeaving && this.queue.size > 0) {
      const next = this.queue.take().unwrapOr(undefined);
      if (!next) {
        return;
      }
      next.settle(refuse('target-leaving', this.settings.name, 0));
    }
  }

  /** Admits requests again once the pause of the target ends, and while its sends may grow. */
  private scheduleReturn(): void {
    if (this.isReturnScheduled || this.queue.size === 0 || this.opts.notices.canSend(this.start)) {
      return;
    }
    this.isReturnScheduled = true;
    this.opts.timer.after({
      delayMs: Math.max(RETURN_CHECK_MS, this.pausedMs),
      notify: () => {
        this.isReturnScheduled = false;
        this.admitNext();
      },
    });
  }
}

function createStart(
  { name: targetId, url: address }: TargetSettings,
  startId: string,
): TargetStart {
  return { targetId, start: `${targetId} ${startId}`, address, isStartKnown: startId !== '' };
}

function countTokensToGenerate({ input }: StageRequest): number {
  return input.kind === 'generate' ? input.maxTokens - input.deliveredTokens : 0;
}

function refuse(
  name: 'cancelled' | 'deadline-unreachable' | 'overloaded' | 'target-leaving' | 'targets-paused',
  targetName: string,
  retryAfterMs: number,
): Result<never, GalenatillerError> {
  const detail = `target ${targetName}`;
  return Result.err(GalenatillerError.create({ name, detail, outcome: 'not-run', retryAfterMs }));
}
