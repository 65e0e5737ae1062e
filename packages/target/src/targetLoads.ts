import type { TimerService } from '@galenatiller/timer';
import type { ExpectedLoad, TargetLoad } from '@galenatiller/types';

import { DecayingFigure } from './decayingFigure.js';
import type { TargetStart } from './targetStart.js';

/** A target has become slow over the last minute, or takes about the usual time again. */
export interface TargetLoadEvent {
  readonly kind: 'slow' | 'as-usual';
  readonly targetId: string;
  /** Mean of the relative duration over the last minute. */
  readonly usualPercent: number;
}

/** Options of {@link TargetLoads.create}. */
export interface TargetLoadsOptions {
  readonly timer: TimerService;
  readonly onEvent: (event: TargetLoadEvent) => void;
}

interface LoadRecord {
  readonly relativeDuration: DecayingFigure;
  readonly otherRequests: DecayingFigure;
}

/** Mean relative durations at which a target is reported as slow, and as usual again. */
const SLOW_FROM = 1.5;
const USUAL_UP_TO = 1.25;

const PRUNE_INTERVAL_MS = 10_000;
const PERCENT = 100;

/** What targets state about their load, with its age. Targets that state nothing have no record. */
export class TargetLoads {
  private readonly records = new Map<string, LoadRecord>();

  /** Starts of targets that were slow over the last minute. */
  private readonly slow = new Set<string>();

  private prunedAtMs = 0;

  private constructor(private readonly opts: TargetLoadsOptions) {}

  /** Creates an instance without records. */
  static create(opts: TargetLoadsOptions): TargetLoads {
    return new TargetLoads(opts);
  }

  /** Records what an answer of a target states. */
  record(opts: {
    readonly target: Pick<TargetStart, 'targetId' | 'start'>;
    readonly load: TargetLoad | undefined;
    /** Requests of this node in flight to the target; undefined where they are not known. */
    readonly ownRequests: number | undefined;
  }): void {
    const { target, load, ownRequests } = opts;
    if (!load) {
      return;
    }
    const nowMs = this.opts.timer.nowMs();
    this.prune(nowMs);
    const known = this.records.get(target.start) ?? createRecord();
    this.records.set(target.start, known);
    known.relativeDuration.record(load.relativeDuration, nowMs);
    if (ownRequests !== undefined) {
      const others = Math.max(0, load.running + load.waiting - ownRequests);
      known.otherRequests.record(others, nowMs);
    }
    this.reportChange(target, known.relativeDuration.meanValue);
  }

  /** What is expected of a target for work that begins now; undefined if it has stated nothing within the last minute. */
  find(opts: {
    readonly target: Pick<TargetStart, 'start'>;
    /** Usual time of the work that would be done on the target. */
    readonly workMs: number;
  }): ExpectedLoad | undefined {
    if (this.records.size === 0) {
      return undefined;
    }
    const known = this.records.get(opts.target.start);
    const nowMs = this.opts.timer.nowMs();
    return !known || known.relativeDuration.isForgotten(nowMs)
      ? undefined
      : {
          relativeDuration: known.relativeDuration.expect({ nowMs, overMs: opts.workMs }),
          lastDuration: known.relativeDuration.lastValue,
          otherRequests: known.otherRequests.expect({ nowMs, overMs: 0 }),
        };
  }

  /** Whether any target has stated how long work takes on it. */
  get hasAny(): boolean {
    return this.records.size > 0;
  }

  /** Number of targets that were slow over the last minute. */
  countSlow(): number {
    this.prune(this.opts.timer.nowMs());
    return this.slow.size;
  }

  private reportChange(
    { targetId, start }: Pick<TargetStart, 'targetId' | 'start'>,
    relativeDuration: number,
  ): void {
    const wasSlow = this.slow.has(start);
    const isSlow = relativeDuration > (wasSlow ? USUAL_UP_TO : SLOW_FROM);
    if (isSlow === wasSlow) {
      return;
    }
    if (isSlow) {
      this.slow.add(start);
    } else {
      this.slow.delete(start);
    }
    const usualPercent = Math.round(relativeDuration * PERCENT);
    this.opts.onEvent({ kind: isSlow ? 'slow' : 'as-usual', targetId, usualPercent });
  }

  /** Removes targets that are gone or state nothing any more. */
  private prune(nowMs: number): void {
    if (nowMs - this.prunedAtMs < PRUNE_INTERVAL_MS) {
      return;
    }
    this.prunedAtMs = nowMs;
    this.records.forEach(({ relativeDuration }, start) => {
      if (relativeDuration.isForgotten(nowMs)) {
        this.records.delete(start);
        this.slow.delete(start);
      }
    });
  }
}

function createRecord(): LoadRecord {
  return {
    relativeDuration: DecayingFigure.create({ usual: 1 }),
    otherRequests: DecayingFigure.create({ usual: 0 }),
  };
}
