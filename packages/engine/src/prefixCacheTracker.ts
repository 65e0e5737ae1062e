/**
 * Tracks which prompt prefixes each target is expected to have cached.
 *
 * Cache events arrive late and with gaps. So each block is assumed to be cached with a confidence
 * that decays with its age and with each event that was lost since the block was last seen.
 */
import type { TimerService } from '@galenatiller/timer';

/** A change of the prefixes that an engine has cached. */
export interface CacheEvent {
  /** Increases by one with each event; a larger step means lost events. */
  readonly sequence: number;
  /** Identity of the engine process; a restart empties its cache. */
  readonly startId: string;
  readonly kind: 'stored' | 'evicted';
  readonly hashes: readonly string[];
}

/** Options of {@link PrefixCacheTracker.create}. */
export interface PrefixCacheTrackerOptions {
  readonly timer: TimerService;
  /** Age at which the confidence in a block has halved. */
  readonly halfLifeMs?: number;
  /** Maximum number of blocks that are tracked per target; the least recently seen are dropped. */
  readonly maxBlocksPerTarget?: number;
}

/** A prompt and the target that it runs on or may run on. */
export interface PromptPrefixes {
  readonly targetName: string;
  /** Hashes of the prefixes of the prompt, shortest first. */
  readonly hashes: readonly string[];
}

/** When a block was last seen. */
interface SeenBlock {
  readonly atMs: number;
  /** Number of events that were lost before the block was seen. */
  readonly lostEvents: number;
}

/** The expected cache contents of one target. */
interface TargetCache {
  readonly blocks: Map<string, SeenBlock>;
  startId: string;
  sequence: number;
  lostEvents: number;
}

const DEFAULTS = { halfLifeMs: 60_000, maxBlocksPerTarget: 8_192 };

/** Factor of the confidence in a block after one lost event. */
const CONFIDENCE_AFTER_LOSS = 0.9;

/** The expected prefix caches of all targets. */
export class PrefixCacheTracker {
  private readonly targets = new Map<string, TargetCache>();

  private constructor(private readonly opts: PrefixCacheTrackerOptions & typeof DEFAULTS) {}

  /** Creates a tracker that expects all caches to be empty. */
  static create(opts: PrefixCacheTrackerOptions): PrefixCacheTracker {
    return new PrefixCacheTracker({ ...DEFAULTS, ...opts });
  }

  /** Applies an event of a target; the caller drops late events of an earlier process. */
  onEvent({
    targetName,
    event,
  }: {
    readonly targetName: string;
    readonly event: CacheEvent;
  }): void {
    const target = this.findOrCreateTarget(targetName);
    if (target.startId !== event.startId) {
      target.blocks.clear();
      Object.assign(target, { startId: event.startId, sequence: event.sequence - 1 });
    }
    if (event.sequence <= target.sequence) {
      return;
    }
    target.lostEvents += event.sequence - target.sequence - 1;
    target.sequence = event.sequence;
    if (event.kind === 'stored') {
      this.markSeen(target, event.hashes);
    } else {
      event.hashes.forEach((hash) => target.blocks.delete(hash));
    }
  }

  /** Records that a target has just run a prompt, so that its prefixes are cached. */
  onPromptRun({ targetName, hashes }: PromptPrefixes): void {
    this.markSeen(this.findOrCreateTarget(targetName), hashes);
  }

  /** Forgets a target. */
  forget(targetName: string): void {
    this.targets.delete(targetName);
  }

  /** Expected share of a prompt's blocks, from 0 to 1, that a target has cached. */
  estimateHitRate({ targetName, hashes }: PromptPrefixes): number {
    const target = this.targets.get(targetName);
    if (!target || hashes.length === 0) {
      return 0;
    }
    let confidence = 1;
    let expectedBlocks = 0;
    for (const hash of hashes) {
      // A block is only useful if every block before it is cached too.
      confidence = Math.min(confidence, this.computeConfidence(target, hash));
      if (confidence === 0) {
        break;
      }
      expectedBlocks += confidence;
    }
    return expectedBlocks / hashes.length;
  }

  /** The most recently seen prefixes, newest first, for reports to other nodes. */
  listNewest(opts: { readonly targetName: string; readonly limit: number }): readonly string[] {
    const blocks = this.targets.get(opts.targetName)?.blocks ?? new Map<string, SeenBlock>();
    return [...blocks.keys()].reverse().slice(0, opts.limit);
  }

  private computeConfidence(target: TargetCache, hash: string): number {
    const seen = target.blocks.get(hash);
    if (!seen) {
      return 0;
    }
    const ageMs = this.opts.timer.nowMs() - seen.atMs;
    const losses = target.lostEvents - seen.lostEvents;
    return 0.5 ** (ageMs / this.opts.halfLifeMs) * CONFIDENCE_AFTER_LOSS ** losses;
  }

  private markSeen(target: TargetCache, hashes: readonly string[]): void {
    const seen = { atMs: this.opts.timer.nowMs(), lostEvents: target.lostEvents };
    hashes.forEach((hash) => {
      target.blocks.delete(hash);
      target.blocks.set(hash, seen);
    });
    const surplus = target.blocks.size - this.opts.maxBlocksPerTarget;
    if (surplus > 0) {
      [...target.blocks.keys()].slice(0, surplus).forEach((hash) => target.blocks.delete(hash));
    }
  }

  private findOrCreateTarget(targetName: string): TargetCache {
    const known = this.targets.get(targetName);
    if (known) {
      return known;
    }
    const target = {
      blocks: new Map<string, SeenBlock>(),
      startId: '',
      sequence: 0,
      lostEvents: 0,
    };
    this.targets.set(targetName, target);
    return target;
  }
}
