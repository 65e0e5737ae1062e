import type { TimerService } from '@galenatiller/timer';
import type { CrashEvidence } from '@galenatiller/types';

/** Options of {@link CrashSuspects.create}. */
export interface CrashSuspectsOptions {
  readonly timer: TimerService;
  /** Sends evidence to all other nodes. */
  readonly share: (evidence: readonly CrashEvidence[]) => void;
  /** Called when calls with a fingerprint are stopped. */
  readonly onStopped: (opts: { readonly fingerprint: string; readonly crashes: number }) => void;
}

/** Number of crashed targets after which calls with a fingerprint are stopped. */
const CRASHES_UNTIL_STOPPED = 3;

/** Crashes count for this time. */
const CRASH_TTL_MS = 600_000;

/**
 * A response counts against a suspicion for this time: long enough that a part of many prompts always
 * has one, although calls with it were running on targets that another part crashed.
 */
const SOUND_TTL_MS = 10_000;

/** A node repeats that a fingerprint is sound at most this often. */
const SHARE_INTERVAL_MS = 1_000;

/** Maximum number of fingerprints in each table; those that were not seen for longest are dropped. */
const MAX_FINGERPRINTS = 10_000;

/**
 * Finds the calls, and the parts of prompts, that crash each target that runs them: several targets
 * crashed during such calls and none has completed one. Nodes share what they see, since the calls
 * come through any of them.
 */
export class CrashSuspects {
  /** Time of the crash of each target start, by fingerprint. */
  private readonly crashes = new Map<string, Map<string, number>>();

  private readonly soundAtMs = new Map<string, number>();

  private readonly sharedAtMs = new Map<string, number>();

  private constructor(private readonly opts: CrashSuspectsOptions) {}

  /** Creates an instance without evidence. */
  static create(opts: CrashSuspectsOptions): CrashSuspects {
    return new CrashSuspects(opts);
  }

  /**
   * The fingerprint for which a call with all the given ones is stopped, if there is one. It isn't
   * stopped for a fingerprint whose crashes another one, which the call doesn't have, explains too.
   */
  findStopped(fingerprints: readonly string[]): string | undefined {
    return fingerprints.find(
      (fingerprint) =>
        this.countCrashes(fingerprint) >= CRASHES_UNTIL_STOPPED &&
        !this.isExplainedByOther(fingerprint, fingerprints),
    );
  }

  /** Whether a target crashed during a call with a fingerprint, and none has completed one since. */
  isSuspect(fingerprint: string): boolean {
    return this.countCrashes(fingerprint) > 0;
  }

  /** Whether any crash is known. */
  get hasCrashes(): boolean {
    return this.crashes.size > 0;
  }

  /** Records that a target crashed while a call ran on it; each call that ran there is a suspect. */
  recordCrash(opts: {
    readonly targetStart: string;
    readonly fingerprints: readonly string[];
  }): void {
    const { targetStart } = opts;
    const evidence = opts.fingerprints
      .filter((fingerprint) => !this.isSound(fingerprint))
      .map((fingerprint): CrashEvidence => ({
        kind: 'crashed',
        fingerprint,
        targetStart,
        agoMs: 0,
      }));
    evidence.forEach((crash) => this.addCrash(crash));
    this.share(evidence);
  }

  /** Records that a target responded to a call, and the response was whole. */
  recordSound(fingerprints: readonly string[]): void {
    fingerprints.forEach((fingerprint) => {
      setNewest(this.soundAtMs, fingerprint, this.opts.timer.nowMs());
      if (this.crashes.delete(fingerprint)) {
        this.shareSound(fingerprint);
      }
    });
  }

  /**
   * Applies the evidence of another node, and contradicts it where this node knows better. Returns what
   * this node didn't know, for one that passes evidence on.
   */
  merge(evidence: readonly CrashEvidence[]): readonly CrashEvidence[] {
    return evidence.filter((item) =>
      item.kind === 'sound' ? this.mergeSound(item) : this.mergeCrash(item),
    );
  }

  /** The crashes that count now, for a node that has just joined. */
  currentCrashes(): readonly CrashEvidence[] {
    const nowMs = this.opts.timer.nowMs();
    return [...this.crashes].flatMap(([fingerprint, starts]) =>
      [...starts].map(([targetStart, atMs]): CrashEvidence => ({
        kind: 'crashed',
        fingerprint,
        targetStart,
        agoMs: nowMs - atMs,
      })),
    );
  }

  private mergeSound({ fingerprint, agoMs }: CrashEvidence): boolean {
    const seenAtMs = this.opts.timer.nowMs() - agoMs;
    const knownAtMs = this.soundAtMs.get(fingerprint) ?? -Infinity;
    setNewest(this.soundAtMs, fingerprint, Math.max(seenAtMs, knownAtMs));
    const wasSuspect = this.crashes.delete(fingerprint);
    return wasSuspect || seenAtMs - knownAtMs >= SHARE_INTERVAL_MS;
  }

  private mergeCrash(crash: CrashEvidence): boolean {
    const { fingerprint, targetStart } = crash;
    if (this.isSound(fingerprint)) {
      this.shareSound(fingerprint);
      return false;
    }
    const isNew = !this.crashes.get(fingerprint)?.has(targetStart);
    this.addCrash(crash);
    return isNew;
  }

  private addCrash({ fingerprint, targetStart, agoMs }: CrashEvidence): void {
    const before = this.countCrashes(fingerprint);
    const starts = this.crashes.get(fingerprint) ?? new Map<string, number>();
    starts.set(targetStart, this.opts.timer.nowMs() - agoMs);
    setNewest(this.crashes, fingerprint, starts);
    const crashes = this.countCrashes(fingerprint);
    if (before < CRASHES_UNTIL_STOPPED && crashes >= CRASHES_UNTIL_STOPPED) {
      this.opts.onStopped({ fingerprint, crashes });
    }
  }

  private countCrashes(fingerprint: string): number {
    const sinceMs = this.opts.timer.nowMs() - CRASH_TTL_MS;
    const starts = this.crashes.get(fingerprint);
    return starts ? [...starts.values()].filter((atMs) => atMs > sinceMs).length : 0;
  }

  private isExplainedByOther(fingerprint: string, ofCall: readonly string[]): boolean {
    const starts = [...(this.crashes.get(fingerprint)?.keys() ?? [])];
    return [...this.crashes].some(
      ([other, otherStarts]) =>
        !ofCall.includes(other) && starts.every((start) => otherStarts.has(start)),
    );
  }

  private isSound(fingerprint: string): boolean {
    const atMs = this.soundAtMs.get(fingerprint);
    return atMs !== undefined && this.opts.timer.nowMs() - atMs < SOUND_TTL_MS;
  }

  private shareSound(fingerprint: string): void {
    const nowMs = this.opts.timer.nowMs();
    if (nowMs - (this.sharedAtMs.get(fingerprint) ?? -Infinity) < SHARE_INTERVAL_MS) {
      return;
    }
    setNewest(this.sharedAtMs, fingerprint, nowMs);
    const agoMs = nowMs - (this.soundAtMs.get(fingerprint) ?? nowMs);
    this.share([{ kind: 'sound', fingerprint, targetStart: '', agoMs }]);
  }

  private share(evidence: readonly CrashEvidence[]): void {
    if (evidence.length > 0) {
      this.opts.share(evidence);
    }
  }
}

/** Sets an entry as the newest one of a bounded table. */
function setNewest<Value>(table: Map<string, Value>, key: string, value: Value): void {
  table.delete(key);
  table.set(key, value);
  const [oldest] = table.keys();
  if (table.size > MAX_FINGERPRINTS && oldest !== undefined) {
    table.delete(oldest);
  }
}
