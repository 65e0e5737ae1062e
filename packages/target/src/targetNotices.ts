import type { TimerService } from '@galenatiller/timer';
import type { LeavingEvidence, TargetNotice } from '@galenatiller/types';

import { LeavingTargets, type LeavingEvent } from './leavingTargets.js';
import { PausedTargets, type PauseEvent } from './pausedTargets.js';
import type { TargetStart } from './targetStart.js';

/** A change of what a node believes from the notices of targets. */
export type TargetNoticeEvent = LeavingEvent | PauseEvent;

/** Kind of the answer that a notice came with. */
export type NoticeSource = 'call' | 'stage-call' | 'free' | 'health';

/** Options of {@link TargetNotices.create}. */
export interface TargetNoticesOptions {
  readonly timer: TimerService;
  /** Uniformly distributed number from 0 to 1. */
  readonly random: () => number;
  /** Tells all other nodes that targets are leaving. */
  readonly share: (evidence: readonly LeavingEvidence[]) => void;
  readonly onEvent: (event: TargetNoticeEvent) => void;
}

/**
 * Decides from what targets say about themselves which of them may be sent to. That a target is
 * leaving concerns all nodes; a pause binds only the node that was asked for it.
 */
export class TargetNotices {
  private readonly leaving: LeavingTargets;

  private readonly paused: PausedTargets;

  private constructor(opts: TargetNoticesOptions) {
    this.leaving = LeavingTargets.create(opts);
    this.paused = PausedTargets.create(opts);
  }

  /** Creates an instance without notices. */
  static create(opts: TargetNoticesOptions): TargetNotices {
    return new TargetNotices(opts);
  }

  /** Records what an answer of a target says about it; undefined when it says nothing. */
  record(opts: {
    /** The start that the request was sent to. */
    readonly target: TargetStart;
    readonly notice: TargetNotice | undefined;
    readonly source: NoticeSource;
  }): void {
    const { target, notice, source } = opts;
    if (notice?.isLeaving) {
      this.leaving.record(target, source);
    }
    if (notice?.pause) {
      this.paused.record(target, notice.pause, source);
    }
  }

  /** Whether new work may be sent to a target now. */
  canSend({ start }: Pick<TargetStart, 'start'>): boolean {
    return !this.leaving.isLeaving(start) && this.paused.canSend(start);
  }

  /** Records that work was sent to a target. */
  recordSent({ start }: Pick<TargetStart, 'start'>): void {
    this.paused.recordSent(start);
  }

  /** Whether a target is leaving. */
  isLeaving({ start }: Pick<TargetStart, 'start'>): boolean {
    return this.leaving.isLeaving(start);
  }

  /**
   * Time until the first of the targets that are not leaving ends its pause; 0 when one is not
   * paused, undefined when there is none.
   */
  firstReturnMs(targets: readonly Pick<TargetStart, 'start'>[]): number | undefined {
    const leftMs = targets
      .filter((target) => !this.isLeaving(target))
      .map(({ start }) => this.paused.leftMs(start));
    return leftMs.length === 0 ? undefined : Math.min(...leftMs);
  }

  /** Time for which nothing of any kind may be sent to an address. */
  pausedAtAddressMs(address: string): number {
    return this.paused.leftAtAddressMs(address);
  }

  /** Whether it may be checked now whether a target still runs; once during a pause. */
  tryProbe({ start }: Pick<TargetStart, 'start'>): boolean {
    return this.paused.tryProbe(start);
  }

  /** Number of targets that are paused and leaving. */
  counts(): { readonly paused: number; readonly leaving: number } {
    return { paused: this.paused.count(), leaving: this.leaving.count() };
  }

  /** Applies what another node knows of leaving targets. */
  mergeLeaving(evidence: readonly LeavingEvidence[]): void {
    this.leaving.merge(evidence);
  }

  /** What a node that has just joined should know of leaving targets. */
  currentLeaving(): readonly LeavingEvidence[] {
    return this.leaving.currentEvidence();
  }

  /** Notes which starts are registered. */
  onRegistered(targets: readonly Pick<TargetStart, 'targetId' | 'start'>[]): void {
    this.leaving.onRegistered(targets);
  }

  /** Notes which starts are registered, by looking up those of targets that are leaving. */
  followRegistered(findStart: (targetId: string) => string | undefined): void {
    this.leaving.followRegistered(findStart);
  }
}
