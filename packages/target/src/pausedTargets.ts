import type { TimerService } from '@galenatiller/timer';
import type { PauseRequest } from '@galenatiller/types';

import { boundPause, type BoundedPause } from './boundPause.js';
import { countAllowedSends, RETURN_RAMP_MS } from './returnRamp.js';
import type { TargetStart } from './targetStart.js';

/** A pause that a target asked for has begun, was extended, was not granted, or has ended. */
export interface PauseEvent {
  readonly kind: 'paused' | 'pause-extended' | 'pause-ignored' | 'pause-ended';
  readonly targetId: string;
  readonly targetStart: string;
  /** Kind of the answer. */
  readonly source: string;
  readonly forMs: number;
  /** What the target sent, cut to a short text. */
  readonly text: string;
  readonly bound: BoundedPause['kind'];
}

/** Options of {@link PausedTargets.create}. */
export interface PausedTargetsOptions {
  readonly timer: TimerService;
  /** Uniformly distributed number from 0 to 1. */
  readonly random: () => number;
  readonly onEvent: (event: PauseEvent) => void;
}

interface Pause {
  readonly target: TargetStart;
  readonly startedAtMs: number;
  readonly endsAtMs: number;
  /** Sends since the end of the pause. */
  readonly sends: number;
  /** Whether a connection was opened during the pause to find out whether the target still runs. */
  readonly isProbed: boolean;
  readonly event: Pick<PauseEvent, 'source' | 'text' | 'bound'>;
}

/** Nodes return to a target within this time after its pause, so that they don't come at once. */
const MAX_SPREAD_MS = 200;

/** An extension by less than this is not reported; the answers of calls in flight differ by it. */
const MIN_EXTENSION_MS = 250;

const MAX_TEXT_CHARACTERS = 40;

/** The pauses that targets have asked this node for, and the return to these targets after them. */
export class PausedTargets {
  private readonly pauses = new Map<string, Pause>();

  private constructor(private readonly opts: PausedTargetsOptions) {}

  /** Creates an instance without pauses. */
  static create(opts: PausedTargetsOptions): PausedTargets {
    return new PausedTargets(opts);
  }

  /** Whether one more send to the target is allowed now. */
  canSend(start: string): boolean {
    const pause = this.pauses.get(start);
    if (!pause) {
      return true;
    }
    const sinceEndMs = this.opts.timer.nowMs() - pause.endsAtMs;
    return sinceEndMs >= 0 && pause.sends < countAllowedSends(sinceEndMs);
  }

  /** Records a send to the target. */
  recordSent(start: string): void {
    const pause = this.pauses.get(start);
    if (pause) {
      this.pauses.set(start, { ...pause, sends: pause.sends + 1 });
    }
  }

  /** Time until the pause of a target ends; 0 when it has none. */
  leftMs(start: string): number {
    const endsAtMs = this.pauses.get(start)?.endsAtMs ?? -Infinity;
    return Math.max(0, endsAtMs - this.opts.timer.nowMs());
  }

  /** Time until the last pause of the targets at an address ends; 0 when none has one. */
  leftAtAddressMs(address: string): number {
    return [...this.pauses.values()]
      .filter(({ target }) => target.address === address)
      .reduce((longestMs, { target }) => Math.max(longestMs, this.leftMs(target.start)), 0);
  }

  /** Allows one check during a pause, of whether the target still runs. */
  tryProbe(start: string): boolean {
    const pause = this.pauses.get(start);
    if (!pause || this.leftMs(start) === 0) {
      return true;
    }
    this.pauses.set(start, { ...pause, isProbed: true });
    return !pause.isProbed;
  }

  /** Number of targets that are paused now. */
  count(): number {
    return [...this.pauses.keys()].filter((start) => this.leftMs(start) > 0).length;
  }

  /** Records an answer that asks for a pause; of several requests the one that ends last counts. */
  record(target: TargetStart, request: PauseRequest, source: string): void {
    const { pauseMs, kind: bound } = boundPause(request);
    const event = { source, bound, text: request.text.slice(0, MAX_TEXT_CHARACTERS) };
    if (pauseMs === 0) {
      this.notify('pause-ignored', target, { ...event, forMs: 0 });
    } else if (this.leftMs(target.start) === 0) {
      // Only the first request sets the spread, so that those in flight with it don't change it.
      const forMs = pauseMs + this.opts.random() * MAX_SPREAD_MS;
      this.pause({ target, event, forMs, before: undefined });
      this.notify('paused', target, { ...event, forMs });
    } else {
      this.extend(target, event, pauseMs);
    }
  }

  private extend(target: TargetStart, event: Pause['event'], pauseMs: number): void {
    const leftMs = this.leftMs(target.start);
    if (pauseMs <= leftMs) {
      return;
    }
    this.pause({ target, event, forMs: pauseMs, before: this.pauses.get(target.start) });
    if (pauseMs - leftMs >= MIN_EXTENSION_MS) {
      this.notify('pause-extended', target, { ...event, forMs: pauseMs });
    }
  }

  private pause(opts: {
    readonly target: TargetStart;
    readonly event: Pause['event'];
    readonly forMs: number;
    readonly before: Pause | undefined;
  }): void {
    const { target, event, forMs, before } = opts;
    const { timer } = this.opts;
    const nowMs = timer.nowMs();
    const endsAtMs = nowMs + forMs;
    this.pauses.set(target.start, {
      target,
      event,
      endsAtMs,
      startedAtMs: before?.startedAtMs ?? nowMs,
      sends: 0,
      isProbed: before?.isProbed ?? false,
    });
    timer.after({ delayMs: forMs, notify: () => this.onEnd(target.start, endsAtMs) });
  }

  private onEnd(start: string, endsAtMs: number): void {
    const pause = this.pauses.get(start);
    if (pause?.endsAtMs !== endsAtMs) {
      return;
    }
    const forMs = endsAtMs - pause.startedAtMs;
    this.notify('pause-ended', pause.target, { ...pause.event, forMs });
    this.opts.timer.after({
      delayMs: RETURN_RAMP_MS,
      notify: () => {
        if (this.pauses.get(start)?.endsAtMs === endsAtMs) {
          this.pauses.delete(start);
        }
      },
    });
  }

  private notify(
    kind: PauseEvent['kind'],
    target: TargetStart,
    event: Omit<PauseEvent, 'kind' | 'targetId' | 'targetStart'>,
  ): void {
    const { targetId, start: targetStart } = target;
    const forMs = Math.round(event.forMs);
    this.opts.onEvent({ kind, targetId, targetStart, ...event, forMs });
  }
}
