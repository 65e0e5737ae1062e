import type { ExpectedLoad, RegisteredTarget, PromptPart } from '@galenatiller/types';

import { rankTargets } from './rankTargets.js';
import { chooseOfTwo, type CompareLoad, compareTargets } from './unevenTargets.js';

/** Options of {@link chooseTarget}. */
export interface ChooseTargetOptions {
  readonly targets: readonly RegisteredTarget[];
  /** Ids of the targets that this call was already sent to. */
  readonly tried: ReadonlySet<string>;
  readonly promptParts: readonly PromptPart[];
  readonly ownZone: string;
  /** Bytes of the call's inputs that are stored outside a zone. */
  readonly crossZoneInputBytes: (availabilityZone: string) => number;
  readonly inFlight: (target: RegisteredTarget) => number;
  readonly isSuspended: (target: RegisteredTarget) => boolean;
  readonly failureShare: (target: RegisteredTarget) => number;
  /** Whether the rate limits allow one more request to the target. */
  readonly canAccept: (target: RegisteredTarget) => boolean;
  /** Hash of a text, the same on every node. */
  readonly hash: (text: string) => number;
  /**
   * The targets and perhaps others, from the one that most prefers the prompts with a key down; computed
   * for each choice if omitted.
   */
  readonly rank?: (key: string) => readonly RegisteredTarget[];
  /** Set if targets state how long work takes on them. */
  readonly uneven?: UnevenChoice | undefined;
}

/** What the choice among targets that state how long work takes on them needs. */
export interface UnevenChoice {
  readonly findLoad: (target: RegisteredTarget) => ExpectedLoad | undefined;
  /** Uniformly distributed number from 0 to 1. */
  readonly random: () => number;
}

/** Options of {@link chooseTarget}, and how the targets compare while they are uneven. */
interface ComparedOptions extends ChooseTargetOptions {
  readonly compare: CompareLoad | undefined;
}

/**
 * Why a target was chosen, or why none was. `none`: no targets were given. `all-limited`: the rate
 * limits allow no request to any candidate now.
 */
export type TargetChoice =
  | {
      readonly kind: 'chosen';
      readonly target: RegisteredTarget;
      readonly reason: ChoiceReason;
      /** Target that has the prompt cached, and that only the rate limits rule out. */
      readonly limited: RegisteredTarget | undefined;
    }
  | { readonly kind: 'none' | 'all-limited' };

/**
 * `affinity`: the target most likely has the shared parts of the prompt cached. `soonest`: the targets are
 * uneven, and the call is expected to end early on this one. `last-resort`: all targets are suspended.
 */
export type ChoiceReason = 'affinity' | 'least-loaded' | 'soonest' | 'last-resort';

/** Load that is added to a target in another zone. */
const ZONE_PENALTY = 0.02;

/** Bytes of inputs from other zones that count as much as the load of a full target. */
const FULL_LOAD_BYTES = 40_000_000;

/**
 * Load that is added to a target, multiplied by its share of failures: a failure share of 0.5
 * counts as much as the load of a full target.
 */
const FAILURE_PENALTY = 2;

/**
 * The preferred target of a prompt is passed over when its load exceeds the lowest one by more than
 * this.
 */
const AFFINITY_SLACK = 0.15;

/** Number of targets that share the prompts with one key: the second takes over under load. */
const AFFINITY_CHOICES = 2;

/**
 * Chooses a target by cached prompt, load, health and zone. Avoids targets that were already tried
 * and those that are suspended, unless no other is left.
 */
export function chooseTarget(given: ChooseTargetOptions): TargetChoice {
  const untried = given.targets.filter((target) => !given.tried.has(target.id));
  const candidates = untried.length > 0 ? untried : given.targets;
  const compare = given.uneven && compareTargets(candidates, given.uneven.findLoad);
  const opts: ComparedOptions = { ...given, compare };
  if (candidates.length === 0) {
    return { kind: 'none' };
  }
  const allowed = candidates.filter(opts.canAccept);
  if (allowed.length === 0) {
    return { kind: 'all-limited' };
  }
  const healthy = allowed.filter((target) => !opts.isSuspended(target));
  if (healthy.length === 0) {
    const target = findLeastLoaded(allowed, opts);
    return { kind: 'chosen', target, reason: 'last-resort', limited: undefined };
  }
  const least = findLeastLoaded(healthy, opts);
  const isOverloaded = (target: RegisteredTarget): boolean =>
    computeLoad(target, opts) > computeLoad(least, opts) + AFFINITY_SLACK;
  const limited = findLimited({ ...opts, candidates, allowed, isOverloaded });
  const preferred = findPreferredByPrompt(healthy, opts);
  return preferred && !isOverloaded(preferred)
    ? { kind: 'chosen', target: preferred, reason: 'affinity', limited }
    : { kind: 'chosen', ...chooseByLoad(healthy, least, opts), limited };
}

/** The least loaded target or, while the targets are uneven, one that is expected to end the call early. */
function chooseByLoad(
  healthy: readonly RegisteredTarget[],
  least: RegisteredTarget,
  opts: ComparedOptions,
): { readonly target: RegisteredTarget; readonly reason: ChoiceReason } {
  const { compare, uneven } = opts;
  if (!compare || !uneven) {
    return { target: least, reason: 'least-loaded' };
  }
  const candidates = healthy.map((target) => ({ target, load: computeLoad(target, opts) }));
  const chosen = chooseOfTwo({ candidates, slack: AFFINITY_SLACK, random: uneven.random });
  return { target: chosen ?? least, reason: 'soonest' };
}

/** The target that would be chosen for the prompt if the rate limits allowed it; undefined if they do. */
function findLimited(
  opts: ComparedOptions & {
    readonly candidates: readonly RegisteredTarget[];
    readonly allowed: readonly RegisteredTarget[];
    readonly isOverloaded: (target: RegisteredTarget) => boolean;
  },
): RegisteredTarget | undefined {
  const { candidates, allowed, isOverloaded } = opts;
  if (candidates.length === allowed.length || opts.promptParts.length === 0) {
    return undefined;
  }
  const healthy = candidates.filter((target) => !opts.isSuspended(target));
  const preferred = findPreferredByPrompt(healthy, opts);
  return preferred && !allowed.includes(preferred) && !isOverloaded(preferred)
    ? preferred
    : undefined;
}

function findLeastLoaded(
  targets: readonly RegisteredTarget[],
  opts: ComparedOptions,
): RegisteredTarget {
  const loads = targets.map((target) => ({ target, load: computeLoad(target, opts) }));
  return loads.reduce((least, candidate) => (candidate.load < least.load ? candidate : least))
    .target;
}

function computeLoad(target: RegisteredTarget, opts: ComparedOptions): number {
  const isOtherZone = target.availabilityZone !== opts.ownZone;
  const crossZoneBytes = opts.crossZoneInputBytes(target.availabilityZone);
  return (
    computeWork(target, opts) +
    opts.failureShare(target) * FAILURE_PENALTY +
    (isOtherZone ? ZONE_PENALTY : 0) +
    crossZoneBytes / FULL_LOAD_BYTES
  );
}

/**
 * Share of the target's slots in use by this node. While targets are uneven: the time in which the call would
 * end on the target with all requests on it, less the usual time, both in usual times.
 */
function computeWork(target: RegisteredTarget, opts: ComparedOptions): number {
  const slots = Math.max(1, target.slots);
  const own = opts.inFlight(target);
  if (!opts.compare) {
    return own / slots;
  }
  const { factor, otherRequests } = opts.compare(target);
  return factor * (1 + (own + otherRequests) / slots) - 1;
}

/** The target that prefers the shared prompt parts, of a few that do. */
function findPreferredByPrompt(
  targets: readonly RegisteredTarget[],
  opts: ComparedOptions,
): RegisteredTarget | undefined {
  const key = findSharedPartId(opts.promptParts);
  if (key === '') {
    return undefined;
  }
  const ranked = opts.rank?.(key) ?? rankTargets(targets, key, opts.hash);
  const preferred = takeFirst(ranked, new Set(targets), AFFINITY_CHOICES);
  return preferred.length > 0 ? firstUnlessOverloaded(preferred, opts) : undefined;
}

/** The first targets in order that belong to a set. */
function takeFirst(
  ranked: readonly RegisteredTarget[],
  among: ReadonlySet<RegisteredTarget>,
  count: number,
): readonly RegisteredTarget[] {
  const taken: RegisteredTarget[] = [];
  for (const target of ranked) {
    if (among.has(target)) {
      taken.push(target);
    }
    if (taken.length === count) {
      break;
    }
  }
  return taken;
}

/** The first target in order, unless a later one is clearly less loaded. */
function firstUnlessOverloaded(
  ranked: readonly RegisteredTarget[],
  opts: ComparedOptions,
): RegisteredTarget {
  return ranked.reduce((best, candidate) =>
    computeLoad(candidate, opts) + AFFINITY_SLACK < computeLoad(best, opts) ? candidate : best,
  );
}

/**
 * Id of the longest shared prompt part: the last part belongs to the request or its session, so it
 * is the one before it.
 */
function findSharedPartId(parts: readonly PromptPart[]): string {
  return (parts.at(-2) ?? parts.at(-1))?.id ?? '';
}
