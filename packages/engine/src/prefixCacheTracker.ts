/**
 * Which prompt prefixes each target is expected to hold in its cache.
 *
 * Cache events come late and with gaps. So each block is held to be cached with a belief that
 * fades with its age and with each event that was lost since the block was last seen.
 */
import type { TimerService } from '@galenatiller/timer';

/** A change of the prefixes that an engine holds. */
export interface CacheEvent {
  /** Grows by one with each event; a jump is a gap. */
  readonly sequence: number;
  /** Identity of the engine process; a restart empties its cache. */
  readonly startId: string;
  readonly kind: 'stored' | 'evicted';
  readonly hashes: readonly string[];
}

/** Options of {@link PrefixCacheTracker.create}. */
export interface PrefixCacheTrackerOptions {
  readonly timer: TimerService;
  /** Age at which the belief in a block has halved. */
  readonly halfLifeMs?: number;
  /** Blocks that are remembered for each target; the least recently seen go first. */
  readonly maxBlocksPerTarget?: number;
}

/** Options of {@link PrefixCacheTracker.estimateHitRate}. */
export interface PromptPrefixes {
  readonly targetName: string;
  /** Hashes of the prefixes of the prompt, shortest first. */
  readonly hashes: readonly string[];
}

/** When a block was last seen. */
interface SeenBlock {
  readonly atMs: number;
  /** Events lost before the block was seen. */
  readonly lostEvents: number;
}

/** What is believed of one target. */
interface TargetCache {
  readonly blocks: Map<string, SeenBlock>;
  startId: string;
  sequence: number;
  lostEvents: number;
}

const DEFAULTS = { halfLifeMs: 60_000, maxBlocksPerTarget: 8_192 };

/** Belief that is left in a block after one lost event. */
const BELIEF_AFTER_LOSS = 0.9;

/** Beliefs in the prefix caches of targets. */
export class PrefixCacheTracker {
  private readonly targets = new Map<string, TargetCache>();

  private constructor(private readonly opts: PrefixCacheTrackerOptions & typeof DEFAULTS) {}

  /** Makes a cache that believes in nothing. */
  static create(opts: PrefixCacheTrackerOptions): PrefixCacheTracker {
    return new PrefixCacheTracker({ ...DEFAULTS, ...opts });
  }

  /** Takes in an event of a target; late ones of an earlier process are dropped by the caller. */
  onEvent({
    targetName,
    event,
  }: {
    readonly targetName: string;
    readonly event: CacheEvent;
  }): void {
    const target = this.targetOf(targetName);
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
      this.see(target, event.hashes);
    } else {
      event.hashes.forEach((hash) => target.blocks.delete(hash));
    }
  }

  /** Takes in that a target has just run a prompt, so that it holds its prefixes. */
  onPromptRun({ targetName, hashes }: PromptPrefixes): void {
    this.see(this.targetOf(targetName), hashes);
  }

  /** Forgets a target. */
  forget(targetName: string): void {
    this.targets.delete(targetName);
  }

  /** Expected share, from 0 to 1, of a prompt's blocks that a target holds. */
  estimateHitRate({ targetName, hashes }: PromptPrefixes): number {
    const target = this.targets.get(targetName);
    if (!target || hashes.length === 0) {
      return 0;
    }
    let belief = 1;
    let expectedBlocks = 0;
    for (const hash of hashes) {
      // A block is of use only while every block before it is cached too.
      belief = Math.min(belief, this.beliefIn(target, hash));
      if (belief === 0) {
        break;
      }
      expectedBlocks += belief;
    }
    return expectedBlocks / hashes.length;
  }

  /** The prefixes that were seen last, newest first, for reports to others. */
  listNewest(opts: { readonly targetName: string; readonly limit: number }): readonly string[] {
    const blocks = this.targets.get(opts.targetName)?.blocks ?? new Map<string, SeenBlock>();
    return [...blocks.keys()].reverse().slice(0, opts.limit);
  }

  private beliefIn(target: TargetCache, hash: string): number {
    const seen = target.blocks.get(hash);
    if (!seen) {
      return 0;
    }
    const ageMs = this.opts.timer.nowMs() - seen.atMs;
    const losses = target.lostEvents - seen.lostEvents;
    return 0.5 ** (ageMs / this.opts.halfLifeMs) * BELIEF_AFTER_LOSS ** losses;
  }

  private see(target: TargetCache, hashes: readonly string[]): void {
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

  private targetOf(targetName: string): TargetCache {
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
