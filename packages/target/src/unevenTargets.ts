import type { ExpectedLoad, RegisteredTarget } from '@galenatiller/types';

/** What is expected of a target, compared with the others of its service. */
export interface ComparedLoad {
  /** Time that work takes there, as a multiple of that at the median target. */
  readonly factor: number;
  readonly otherRequests: number;
}

/** Compares the targets of a service; undefined while they are even. */
export type CompareLoad = (target: RegisteredTarget) => ComparedLoad;

/**
 * Up to this ratio, targets count as equally fast: figures vary by as much on machines that share nothing,
 * and a cached prompt saves more.
 */
const MAX_EVEN_RATIO = 1.25;

const NOTHING_STATED: ExpectedLoad = {
  relativeDuration: 1,
  lastDuration: 1,
  otherRequests: 0,
};

/**
 * Compares targets by how long work takes on them; undefined if none of them states it, or none differs from
 * the median. Targets that state nothing take the usual time.
 */
export function compareTargets(
  targets: readonly RegisteredTarget[],
  findLoad: (target: RegisteredTarget) => ExpectedLoad | undefined,
): CompareLoad | undefined {
  const loads = new Map(targets.map((target) => [target.id, findLoad(target)]));
  if ([...loads.values()].every((load) => load === undefined)) {
    return undefined;
  }
  const durations = [...loads.values()]
    .map((load) => (load ?? NOTHING_STATED).relativeDuration)
    .sort((left, right) => left - right);
  const median = durations[Math.floor((durations.length - 1) / 2)] ?? 1;
  if (durations.every((duration) => toFactor(duration / median) === 1)) {
    return undefined;
  }
  return ({ id }) => {
    const { relativeDuration, otherRequests } = loads.get(id) ?? NOTHING_STATED;
    return { factor: toFactor(relativeDuration / median), otherRequests };
  };
}

/** A ratio without its even part, so that it begins at 1 and has no step. */
function toFactor(ratio: number): number {
  return ratio >= 1 ? Math.max(1, ratio / MAX_EVEN_RATIO) : Math.min(1, ratio * MAX_EVEN_RATIO);
}

/** Options of {@link chooseOfTwo}. */
export interface ChooseOfTwoOptions {
  readonly candidates: readonly { readonly target: RegisteredTarget; readonly load: number }[];
  /** Difference of loads that makes a candidate a worse one. */
  readonly slack: number;
  /** Uniformly distributed number from 0 to 1. */
  readonly random: () => number;
}

/** Random difference that is added to a load, so that nodes break near ties differently. */
const JITTER = 0.05;

/**
 * Chooses the less loaded of two random candidates among those that are no worse than the median or the best.
 * Nodes that see the same figures would otherwise all choose the same one until its next answer.
 */
export function chooseOfTwo(opts: ChooseOfTwoOptions): RegisteredTarget | undefined {
  const { random } = opts;
  const loads = opts.candidates.map(({ load }) => load).sort((left, right) => left - right);
  const median = loads[Math.floor((loads.length - 1) / 2)] ?? 0;
  const limit = Math.max(median, (loads[0] ?? 0) + opts.slack);
  const good = opts.candidates.filter(({ load }) => load <= limit);
  const first = Math.floor(random() * good.length);
  const second = (first + 1 + Math.floor(random() * (good.length - 1))) % good.length;
  const [left, right] = [good[first], good[second]];
  if (!left || !right) {
    return left?.target;
  }
  return left.load + JITTER * random() <= right.load + JITTER * random()
    ? left.target
    : right.target;
}
