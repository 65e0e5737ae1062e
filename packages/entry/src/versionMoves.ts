import type { StoppedVersionNotice } from '@galenatiller/node';
import type { MoveRule } from '@galenatiller/types';

import type { TargetView } from './policy.js';
import { type TrialRun, VersionTrial } from './versionTrial.js';

/** Options of {@link VersionMoves.create}. */
export interface VersionMovesOptions {
  /** Current wall-clock time. */
  readonly wallMs: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Notifies other nodes of versions that were found to be bad. */
  readonly broadcast: (notices: readonly StoppedVersionNotice[]) => void;
}

/** A run on a target group that is moving to a new version. */
export interface MoveRun extends Omit<TrialRun, 'version'> {
  readonly move: MoveRule;
  readonly route: string;
  readonly targetVersion: string;
}

/** Progress of a version move as seen by this entry. */
export interface MoveProgress {
  readonly state: 'unproven' | 'moving' | 'done' | 'stopped';
  /** Share of the traffic that goes to the new version, from 0 to 1. */
  readonly share: number;
  readonly reason: string;
}

/** Share of the time until the deadline of a move that is kept as a reserve. */
const RESERVED_TIME_SHARE = 0.1;

/** Trial of a version on one route, and when the version was proved there. */
interface RouteTrial {
  readonly trial: VersionTrial;
  readonly provedAtWallMs: number | undefined;
}

/** Splits traffic between versions during moves and detects bad versions with sequential tests. */
export class VersionMoves {
  private readonly trials = new Map<string, RouteTrial>();

  private readonly stopped = new Map<string, StoppedVersionNotice>();

  private constructor(private readonly opts: VersionMovesOptions) {}

  /** Creates an instance without evidence on any version. */
  static create(opts: VersionMovesOptions): VersionMoves {
    return new VersionMoves(opts);
  }

  /** Notices of all versions that were found to be bad. */
  get notices(): readonly StoppedVersionNotice[] {
    return [...this.stopped.values()];
  }

  /** Merges notices from other nodes and returns those that are new to this node. */
  merge(notices: readonly StoppedVersionNotice[]): readonly StoppedVersionNotice[] {
    const newNotices = notices.filter((notice) => !this.stopped.has(toKey(notice)));
    newNotices.forEach((notice) => this.stopped.set(toKey(notice), notice));
    return newNotices;
  }

  /** Picks a version for the next attempt and returns its targets. */
  selectTargets(
    move: MoveRule,
    route: string,
    views: readonly TargetView[],
  ): readonly TargetView[] {
    const newer = views.filter(({ report }) => report.version === move.toVersion);
    const older = this.findOlder(move, views);
    const { state, share } = this.getProgress(move, route);
    if (state === 'stopped') {
      return older;
    }
    const choosesNewVersion = this.opts.random() < share;
    if (choosesNewVersion) {
      return newer.some(isAvailable) ? newer : older;
    }
    // An unproven version must not take over when the old one is unavailable.
    return older.some(isAvailable) || state === 'unproven' ? older : newer;
  }

  /** Records the result of a run and stops the version if the trial finds it bad. */
  observe(run: MoveRun): void {
    const { move, route, targetVersion, ...observed } = run;
    if (targetVersion !== move.toVersion && targetVersion !== move.fromVersion) {
      return;
    }
    const key = `${move.targetGroup}/${move.toVersion}/${route}`;
    const routeTrial = this.trials.get(key) ?? this.startTrial(key);
    const version = targetVersion === move.toVersion ? 'new' : 'old';
    const verdict = routeTrial.trial.observe({ version, ...observed });
    if (verdict === 'proved' && routeTrial.provedAtWallMs === undefined) {
      this.trials.set(key, { ...routeTrial, provedAtWallMs: this.opts.wallMs() });
    }
    if (verdict === 'bad' && !this.stopped.has(toKey(createNotice(move, '', 0)))) {
      const reason = `route ${route}: ${routeTrial.trial.summary}`;
      const notice = createNotice(move, reason, this.opts.wallMs());
      this.stopped.set(toKey(notice), notice);
      this.opts.broadcast([notice]);
    }
  }

  /** Returns the progress of a move on a route. */
  getProgress(move: MoveRule, route: string): MoveProgress {
    const notice = this.stopped.get(toKey(createNotice(move, '', 0)));
    if (notice) {
      return { state: 'stopped', share: 0, reason: notice.reason };
    }
    const trial = this.trials.get(`${move.targetGroup}/${move.toVersion}/${route}`);
    if (trial?.provedAtWallMs === undefined) {
      return { state: 'unproven', share: move.unprovenShare, reason: trial?.trial.summary ?? '' };
    }
    const share = computeRampedShare(move, trial.provedAtWallMs, this.opts.wallMs());
    return { state: share >= 1 ? 'done' : 'moving', share, reason: trial.trial.summary };
  }

  /** The targets of the old version; where it has none, those of others that were not found to be bad. */
  private findOlder(move: MoveRule, views: readonly TargetView[]): readonly TargetView[] {
    const { targetGroup, fromVersion, toVersion } = move;
    const others = views.filter(
      ({ report: { version } }) =>
        version !== toVersion && !this.stopped.has(`${targetGroup}/${version}`),
    );
    const old = others.filter(({ report }) => report.version === fromVersion);
    return old.length > 0 ? old : others;
  }

  private startTrial(key: string): RouteTrial {
    const trial: RouteTrial = { trial: VersionTrial.create(), provedAtWallMs: undefined };
    this.trials.set(key, trial);
    return trial;
  }
}

/**
 * Share of the traffic that grows linearly from when the version was proved until shortly before
 * the deadline of the move.
 */
function computeRampedShare(move: MoveRule, provedAtWallMs: number, nowWallMs: number): number {
  const spanMs = (move.byWallMs - provedAtWallMs) * (1 - RESERVED_TIME_SHARE);
  if (spanMs <= 0) {
    return 1;
  }
  const elapsedShare = Math.min(1, (nowWallMs - provedAtWallMs) / spanMs);
  return move.unprovenShare + (1 - move.unprovenShare) * elapsedShare;
}

function isAvailable({ report, isAcceptingWork }: TargetView): boolean {
  return isAcceptingWork && (report.state === 'ready' || report.state === 'cold');
}

function createNotice(move: MoveRule, reason: string, atWallMs: number): StoppedVersionNotice {
  return { targetGroup: move.targetGroup, version: move.toVersion, reason, atWallMs };
}

function toKey(notice: StoppedVersionNotice): string {
  return `${notice.targetGroup}/${notice.version}`;
}
