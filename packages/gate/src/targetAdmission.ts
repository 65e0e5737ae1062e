import { GalenatillerError } from '@galenatiller/error';
import type { TargetSettings } from '@galenatiller/settings';
import type { TimerService } from '@galenatiller/timer';
import type { StageOrder, TargetReport } from '@galenatiller/types';
import { Result } from 'true-myth';
import type { Unit } from 'true-myth/unit';

/** Weight of the last run in the smoothed run time. */
const SMOOTHING = 0.2;

interface WaitingOrder {
  readonly order: StageOrder;
  readonly admit: (admitted: Result<Unit, GalenatillerError>) => void;
}

/** Decides when orders may run on one target; every order for the target passes here. */
export class TargetAdmission {
  private inFlight = 0;

  private runMs = 0;

  private readonly waiting: WaitingOrder[] = [];

  private constructor(
    /** Settings of the target. */
    readonly settings: TargetSettings,
    private readonly timer: TimerService,
  ) {}

  /** Makes the admission of an idle target. */
  static create(opts: {
    readonly settings: TargetSettings;
    readonly timer: TimerService;
  }): TargetAdmission {
    return new TargetAdmission(opts.settings, opts.timer);
  }

  /** Waits until the order may run; the caller must call `release` after a success. */
  async enter(order: StageOrder, signal: AbortSignal): Promise<Result<Unit, GalenatillerError>> {
    if (this.inFlight < this.settings.inFlightLimit) {
      this.inFlight += 1;
      return Result.ok();
    }
    if (this.waiting.length >= this.settings.queueLimit) {
      return Result.err(
        GalenatillerError.create({
          name: 'overloaded',
          detail: `${this.waiting.length} orders wait for ${this.settings.name}`,
          retryAfterMs: this.runMs,
        }),
      );
    }
    return this.wait(order, signal);
  }

  /** Tells that a run has ended, and lets the next order run. */
  release(opts: { readonly runMs: number; readonly ok: boolean }): void {
    this.inFlight -= 1;
    if (opts.ok) {
      this.runMs = this.runMs === 0 ? opts.runMs : smooth(this.runMs, opts.runMs);
    }
    this.admitNext();
  }

  /** The target as entries are told of it. */
  report(): TargetReport {
    return {
      name: this.settings.name,
      kind: this.settings.kind,
      group: this.settings.group,
      version: this.settings.version,
      state: 'ready',
      inFlight: this.inFlight,
      queued: this.waiting.length,
      inFlightLimit: this.settings.inFlightLimit,
      runMs: this.runMs,
      prefixHashes: [],
    };
  }

  private wait(order: StageOrder, signal: AbortSignal): Promise<Result<Unit, GalenatillerError>> {
    return new Promise((resolve) => {
      const limit = this.timer.limit({ limitMs: order.remainingMs, parent: signal });
      const waiting = { order, admit: finish };
      const abandon = (): void => {
        this.waiting.splice(this.waiting.indexOf(waiting), 1);
        const name = signal.aborted ? 'cancelled' : 'deadline-unreachable';
        const detail = `still waiting for ${this.settings.name}`;
        finish(Result.err(GalenatillerError.create({ name, detail, outcome: 'not-run' })));
      };
      limit.signal.addEventListener('abort', abandon, { once: true });
      this.waiting.push(waiting);
      function finish(admitted: Result<Unit, GalenatillerError>): void {
        limit.release();
        limit.signal.removeEventListener('abort', abandon);
        resolve(admitted);
      }
    });
  }

  private admitNext(): void {
    while (this.inFlight < this.settings.inFlightLimit && this.waiting.length > 0) {
      this.inFlight += 1;
      this.waiting.shift()?.admit(Result.ok());
    }
  }
}

function smooth(before: number, last: number): number {
  return before + SMOOTHING * (last - before);
}
