import type { RegisteredTarget, PromptPart } from '@galenatiller/types';

/** What a choice of a target goes by. */
export interface ChooseTargetOptions {
  readonly targets: readonly RegisteredTarget[];
  /** Targets that this call was sent to already, by id. */
  readonly tried: ReadonlySet<string>;
  readonly promptParts: readonly PromptPart[];
  readonly ownZone: string;
  /** Bytes of the call's inputs that lie outside a zone. */
  readonly crossZoneInputBytes: (availabilityZone: string) => number;
  readonly inFlight: (target: RegisteredTarget) => number;
  readonly isSuspended: (target: RegisteredTarget) => boolean;
  readonly failureShare: (target: RegisteredTarget) => number;
  /** Whether the target may get one more request now. */
  readonly canAccept: (target: RegisteredTarget) => boolean;
  /** Hash of a text, the same on every node. */
  readonly hash: (text: string) => number;
}

/** Why a target was chosen, or why none was. */
export type TargetChoice =
  | { readonly kind: 'chosen'; readonly target: RegisteredTarget; readonly reason: ChoiceReason }
  | { readonly kind: 'none' | 'all-limited' };

/** `affinity`: the target most likely has the prompt's shared parts cached. */
export type ChoiceReason = 'affinity' | 'least-loaded' | 'last-resort';

/** A target in another zone counts like one that is this much fuller. */
const ZONE_PENALTY = 0.02;

/** Bytes of inputs that cross zones and count like a target that is full. */
const FULL_LOAD_BYTES = 40_000_000;

/** A target that fails each second request counts like one that is this full. */
const FAILURE_PENALTY = 2;

/** The preferred target of a prompt is left when it is this much fuller than the least loaded. */
const AFFINITY_SLACK = 0.15;

/** Targets that share the prompts of one key: a second one takes over under load. */
const AFFINITY_CHOICES = 2;

/** Chooses a target by cached prompt, load, health and zone. */
export function chooseTarget(opts: ChooseTargetOptions): TargetChoice {
  const fresh = opts.targets.filter((target) => !opts.tried.has(target.id));
  const candidates = fresh.length > 0 ? fresh : opts.targets;
  if (candidates.length === 0) {
    return { kind: 'none' };
  }
  const allowed = candidates.filter(opts.canAccept);
  if (allowed.length === 0) {
    return { kind: 'all-limited' };
  }
  const healthy = allowed.filter((target) => !opts.isSuspended(target));
  if (healthy.length === 0) {
    return { kind: 'chosen', target: leastLoaded(allowed, opts), reason: 'last-resort' };
  }
  const least = leastLoaded(healthy, opts);
  const preferred = preferredByPrompt(healthy, opts);
  if (preferred && loadOf(preferred, opts) <= loadOf(least, opts) + AFFINITY_SLACK) {
    return { kind: 'chosen', target: preferred, reason: 'affinity' };
  }
  return { kind: 'chosen', target: least, reason: 'least-loaded' };
}

function leastLoaded(
  targets: readonly RegisteredTarget[],
  opts: ChooseTargetOptions,
): RegisteredTarget {
  const loads = targets.map((target) => ({ target, load: loadOf(target, opts) }));
  return loads.reduce((least, one) => (one.load < least.load ? one : least)).target;
}

function loadOf(target: RegisteredTarget, opts: ChooseTargetOptions): number {
  const isFar = target.availabilityZone !== opts.ownZone;
  const farBytes = opts.crossZoneInputBytes(target.availabilityZone);
  return (
    opts.inFlight(target) / Math.max(1, target.slots) +
    opts.failureShare(target) * FAILURE_PENALTY +
    (isFar ? ZONE_PENALTY : 0) +
    farBytes / FULL_LOAD_BYTES
  );
}

/** Rendezvous hash: every node prefers the same targets for the same shared parts. */
function preferredByPrompt(
  targets: readonly RegisteredTarget[],
  opts: ChooseTargetOptions,
): RegisteredTarget | undefined {
  const key = sharedPart(opts.promptParts);
  if (key === '') {
    return undefined;
  }
  const ranked = targets
    .map((target) => ({ target, rank: opts.hash(`${key} ${target.id}`) }))
    .sort((left, right) => right.rank - left.rank)
    .slice(0, AFFINITY_CHOICES)
    .map(({ target }) => target);
  return ranked.length > 0 ? leastLoadedFirst(ranked, opts) : undefined;
}

/** The first in order, unless a later one is clearly less loaded. */
function leastLoadedFirst(
  ranked: readonly RegisteredTarget[],
  opts: ChooseTargetOptions,
): RegisteredTarget {
  return ranked.reduce((best, one) =>
    loadOf(one, opts) + AFFINITY_SLACK < loadOf(best, opts) ? one : best,
  );
}

/** The last part belongs to the request or its session; the one before it is the longest shared. */
function sharedPart(parts: readonly PromptPart[]): string {
  return (parts.at(-2) ?? parts.at(-1))?.id ?? '';
}
