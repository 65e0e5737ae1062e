import type { TimerService } from '@galenatiller/timer';
import type { LeavingEvidence } from '@galenatiller/types';

import type { TargetStart } from './targetStart.js';

/** A belief that a target is leaving has begun or ended. */
export interface LeavingEvent {
  readonly kind: 'leaving' | 'leaving-ended';
  readonly targetId: string;
  readonly targetStart: string;
  /** Kind of the answer, `peer` for the word of another node, or why the belief has ended. */
  readonly source: string;
  /** Time since the target's answer. */
  readonly agoMs: number;
}

/** Options of {@link LeavingTargets.create}. */
export interface LeavingTargetsOptions {
  readonly timer: TimerService;
  /** Sends evidence to all other nodes. */
  readonly share: (evidence: readonly LeavingEvidence[]) => void;
  readonly onEvent: (event: LeavingEvent) => void;
}

interface LeavingBelief {
  readonly target: Pick<TargetStart, 'targetId' | 'start'>;
  /** Time of the target's latest answer that said so. */
  readonly seenAtMs: number;
  /** Time until which it is believed. */
  readonly untilMs: number;
  /** Time at which this node last passed it on; -Infinity if the node has it from another one. */
  readonly sharedAtMs: number;
  /** Whether a later start of the target is known. */
  readonly isReplaced: boolean;
}

/**
 * Word of another node is believed for this time after the target's answer, and so is an answer of a
 * target whose starts can't be told apart. A leaving target is gone after a few seconds.
 */
const UNCONFIRMED_TTL_MS = 30_000;

/** A node repeats that a target is leaving at most this often. */
const SHARE_INTERVAL_MS = 5_000;

/** Maximum number of beliefs; the oldest ones beyond it are dropped. */
const MAX_BELIEFS = 10_000;

/**
 * The starts of targets that have said that they are leaving. What a target said itself holds until
 * it is started again, because a process that leaves doesn't return.
 */
export class LeavingTargets {
  private readonly beliefs = new Map<string, LeavingBelief>();

  private constructor(private readonly opts: LeavingTargetsOptions) {}

  /** Creates an instance that knows of no leaving target. */
  static create(opts: LeavingTargetsOptions): LeavingTargets {
    return new LeavingTargets(opts);
  }

  /** Whether this start of a target is leaving. */
  isLeaving(start: string): boolean {
    return (this.beliefs.get(start)?.untilMs ?? -Infinity) > this.opts.timer.nowMs();
  }

  /** Number of leaving targets of which no later start is known. */
  count(): number {
    return [...this.beliefs].filter(
      ([start, { isReplaced }]) => !isReplaced && this.isLeaving(start),
    ).length;
  }

  /** Records an answer that says that its target is leaving. */
  record(target: TargetStart, source: string): void {
    const nowMs = this.opts.timer.nowMs();
    const before = this.beliefs.get(target.start);
    const sharedAtMs = before?.sharedAtMs ?? -Infinity;
    const isShared = nowMs - sharedAtMs < SHARE_INTERVAL_MS;
    this.believe(source, {
      target,
      seenAtMs: nowMs,
      untilMs: target.isStartKnown ? Infinity : nowMs + UNCONFIRMED_TTL_MS,
      sharedAtMs: isShared ? sharedAtMs : nowMs,
      isReplaced: before?.isReplaced ?? false,
    });
    if (!isShared) {
      const { targetId, start: targetStart } = target;
      this.opts.share([{ targetId, targetStart, agoMs: 0 }]);
    }
  }

  /** Applies the evidence of another node; it is not passed on, so that its age stays known. */
  merge(evidence: readonly LeavingEvidence[]): void {
    const nowMs = this.opts.timer.nowMs();
    evidence.forEach(({ targetId, targetStart: start, agoMs }) => {
      const seenAtMs = nowMs - Math.max(0, agoMs);
      const untilMs = seenAtMs + UNCONFIRMED_TTL_MS;
      const before = this.beliefs.get(start);
      if (!(untilMs > Math.max(nowMs, before?.untilMs ?? -Infinity))) {
        return;
      }
      const target = { targetId, start };
      const isReplaced = before?.isReplaced ?? false;
      this.believe('peer', { target, seenAtMs, untilMs, sharedAtMs: -Infinity, isReplaced });
    });
  }

  /** What targets have told this node itself, for a node that has just joined. */
  currentEvidence(): readonly LeavingEvidence[] {
    const nowMs = this.opts.timer.nowMs();
    return [...this.beliefs.values()]
      .filter(
        ({ sharedAtMs, seenAtMs }) =>
          sharedAtMs > -Infinity && nowMs - seenAtMs < UNCONFIRMED_TTL_MS,
      )
      .map(({ target, seenAtMs }) => ({
        targetId: target.targetId,
        targetStart: target.start,
        agoMs: nowMs - seenAtMs,
      }));
  }

  /** Notes the starts that are registered now; earlier starts of the same targets have ended. */
  onRegistered(targets: readonly Pick<TargetStart, 'targetId' | 'start'>[]): void {
    const starts = new Map(targets.map(({ targetId, start }) => [targetId, start]));
    this.followRegistered((targetId) => starts.get(targetId));
  }

  /** Notes the starts that are registered now, which are looked up only for targets that are leaving. */
  followRegistered(findStart: (targetId: string) => string | undefined): void {
    this.beliefs.forEach((belief, start) => {
      const registered = findStart(belief.target.targetId);
      if (!belief.isReplaced && registered !== undefined && registered !== start) {
        this.beliefs.set(start, { ...belief, isReplaced: true });
        this.notify('leaving-ended', 'a later start is registered', belief);
      }
    });
  }

  private believe(source: string, belief: LeavingBelief): void {
    const { start } = belief.target;
    const isNew = !this.isLeaving(start);
    this.beliefs.set(start, belief);
    const [oldest] = this.beliefs.keys();
    if (this.beliefs.size > MAX_BELIEFS && oldest !== undefined) {
      this.beliefs.delete(oldest);
    }
    if (isNew) {
      this.notify('leaving', source, belief);
    }
    this.scheduleEnd(belief);
  }

  private scheduleEnd({ target: { start }, untilMs }: LeavingBelief): void {
    if (untilMs === Infinity) {
      return;
    }
    const { timer } = this.opts;
    timer.after({
      delayMs: untilMs - timer.nowMs(),
      notify: () => {
        const belief = this.beliefs.get(start);
        if (belief && belief.untilMs <= timer.nowMs()) {
          this.beliefs.delete(start);
          this.notify('leaving-ended', 'the evidence is too old', belief);
        }
      },
    });
  }

  private notify(kind: LeavingEvent['kind'], source: string, belief: LeavingBelief): void {
    const { target, seenAtMs } = belief;
    this.opts.onEvent({
      kind,
      targetId: target.targetId,
      targetStart: target.start,
      source,
      agoMs: Math.round(this.opts.timer.nowMs() - seenAtMs),
    });
  }
}
