import type { StoppedVersionNotice } from '@galenatiller/node';
import type { MoveRule } from '@galenatiller/types';

import type { TargetView } from './policy.js';
import { VersionTrial } from './versionTrial.js';

/** Options of {@link VersionMoves.create}. */
export interface VersionMovesOptions {
  readonly wallMs: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Tells other nodes of a version that was found bad. */
  readonly broadcast: (notices: readonly StoppedVersionNotice[]) => void;
}

/** A run of a group that moves. */
export interface MoveRun {
  readonly move: MoveRule;
  readonly route: string;
  readonly targetVersion: string;
  readonly failed: boolean;
  readonly runMs: number;
}

/** How far a move has come, as this entry sees it. */
export interface MoveProgress {
  readonly state: 'unproven' | 'moving' | 'done' | 'stopped';
  /** Share of traffic of the new version, from 0 to 1. */
  readonly share: number;
  readonly reason: string;
}

/** Part of the time until the move must be done that is kept in hand. */
const TIME_IN_HAND = 0.1;

/** A route of a move: its trial, and when it was proved. */
interface RouteTrial {
  readonly trial: VersionTrial;
  readonly provedAtWallMs: number | undefined;
}

/** Chooses between the versions of moving groups, and finds bad versions by sequential tests. */
export class VersionMoves {
  private readonly trials = new Map<string, RouteTrial>();

  private readonly stopped = new Map<string, StoppedVersionNotice>();

  private constructor(private readonly opts: VersionMovesOptions) {}

  /** Makes moves without evidence. */
  static create(opts: VersionMovesOptions): VersionMoves {
    return new VersionMoves(opts);
  }

  /** Every version that was found bad. */
  get notices(): readonly StoppedVersionNotice[] {
    return [...this.stopped.values()];
  }

  /** Takes in what other nodes found bad; returns what was news. */
  merge(notices: readonly StoppedVersionNotice[]): readonly StoppedVersionNotice[] {
    const news = notices.filter((notice) => !this.stopped.has(keyOf(notice)));
    news.forEach((notice) => this.stopped.set(keyOf(notice), notice));
    return news;
  }

  /** The targets of the version that the next attempt goes to. */
  selectTargets(
    move: MoveRule,
    route: string,
    views: readonly TargetView[],
  ): readonly TargetView[] {
    const newer = views.filter(({ report }) => report.version === move.toVersion);
    const older = views.filter(({ report }) => report.version !== move.toVersion);
    const { state, share } = this.getProgress(move, route);
    if (state === 'stopped') {
      return older;
    }
    const takesNew = this.opts.random() < share;
    if (takesNew) {
      return newer.some(isUp) ? newer : older;
    }
    // An unproven version must not take over when the old one is away.
    return older.some(isUp) || state === 'unproven' ? older : newer;
  }

  /** Learns from the end of a run. */
  observe(run: MoveRun): void {
    const { move, route } = run;
    const key = `${move.targetGroup}/${move.toVersion}/${route}`;
    const known = this.trials.get(key) ?? this.startTrial(key);
    const version = run.targetVersion === move.toVersion ? 'new' : 'old';
    const verdict = known.trial.observe({ version, failed: run.failed, runMs: run.runMs });
    if (verdict === 'proved' && known.provedAtWallMs === undefined) {
      this.trials.set(key, { ...known, provedAtWallMs: this.opts.wallMs() });
    }
    if (verdict === 'bad' && !this.stopped.has(keyOf(noticeOf(move, '', 0)))) {
      const reason = `route ${route}: ${known.trial.summary}`;
      const notice = noticeOf(move, reason, this.opts.wallMs());
      this.stopped.set(keyOf(notice), notice);
      this.opts.broadcast([notice]);
    }
  }

  /** How far the move has come on a route. */
  getProgress(move: MoveRule, route: string): MoveProgress {
    const notice = this.stopped.get(keyOf(noticeOf(move, '', 0)));
    if (notice) {
      return { state: 'stopped', share: 0, reason: notice.reason };
    }
    const trial = this.trials.get(`${move.targetGroup}/${move.toVersion}/${route}`);
    if (trial?.provedAtWallMs === undefined) {
      return { state: 'unproven', share: move.unprovenShare, reason: trial?.trial.summary ?? '' };
    }
    const share = rampedShare(move, trial.provedAtWallMs, this.opts.wallMs());
    return { state: share >= 1 ? 'done' : 'moving', share, reason: trial.trial.summary };
  }

  private startTrial(key: string): RouteTrial {
    const trial: RouteTrial = { trial: VersionTrial.create(), provedAtWallMs: undefined };
    this.trials.set(key, trial);
    return trial;
  }
}

/** The share grows evenly from the proof until shortly before the set time. */
function rampedShare(move: MoveRule, provedAtWallMs: number, nowWallMs: number): number {
  const spanMs = (move.byWallMs - provedAtWallMs) * (1 - TIME_IN_HAND);
  if (spanMs <= 0) {
    return 1;
  }
  const passed = Math.min(1, (nowWallMs - provedAtWallMs) / spanMs);
  return move.unprovenShare + (1 - move.unprovenShare) * passed;
}

function isUp({ report, takesWork }: TargetView): boolean {
  return takesWork && (report.state === 'ready' || report.state === 'cold');
}

function noticeOf(move: MoveRule, reason: string, atWallMs: number): StoppedVersionNotice {
  return { targetGroup: move.targetGroup, version: move.toVersion, reason, atWallMs };
}

function keyOf(notice: StoppedVersionNotice): string {
  return `${notice.targetGroup}/${notice.version}`;
}
