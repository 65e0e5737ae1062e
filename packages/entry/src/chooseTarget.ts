import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';
import { Maybe } from 'true-myth';

import type { ChooseTargetOptions, TargetView } from './policy.js';

/** Cost of a target in another availability zone, as a fraction of one run. */
const CROSS_ZONE_COST = 0.1;

/** Cost of a cold target, in runs. */
const COLD_COST = 2;

/** A target that asked for a pause is a last resort; of several the first to return is best. */
const PAUSE_COST_PER_MS = 0.1;

/** Maximum random cost that spreads load over equal targets, as a fraction of one run. */
const MAX_RANDOM_COST = 0.05;

/** Chooses the eligible target with the lowest expected wait. */
export function chooseTarget(opts: ChooseTargetOptions): Maybe<TargetView> {
  const allowed = opts.candidates.filter((view) => canAccept(view, opts));
  const byCost = pipe(
    N.Ord,
    Ord.contramap((scored: ScoredTarget) => scored.cost),
  );
  const best = pipe(
    allowed,
    RA.map((view) => ({ view, cost: estimateCost(view, opts) })),
    RA.sort(byCost),
  )[0];
  return Maybe.of(best?.view);
}

interface ScoredTarget {
  readonly view: TargetView;
  readonly cost: number;
}

function canAccept(view: TargetView, opts: ChooseTargetOptions): boolean {
  if (!view.isAcceptingWork || opts.triedTargets.includes(view.report.name)) {
    return false;
  }
  if (opts.configuration.zones.get(view.availabilityZone)?.state === 'out') {
    return false;
  }
  return view.report.state === 'ready' || view.report.state === 'cold';
}

/** Expected wait and run on the target, in runs. */
function estimateCost(view: TargetView, opts: ChooseTargetOptions): number {
  const { report } = view;
  // The report lags behind, but what this entry has sent since is known exactly.
  const load = report.inFlight + report.queued + view.sentSinceReport;
  const zoneCost = view.availabilityZone === opts.ownAvailabilityZone ? 0 : CROSS_ZONE_COST;
  const coldCost = report.state === 'cold' ? COLD_COST : 0;
  const pauseCost = (report.pausedMs ?? 0) * PAUSE_COST_PER_MS;
  return (
    load / Math.max(1, report.inFlightLimit) +
    zoneCost +
    coldCost +
    pauseCost +
    opts.random() * MAX_RANDOM_COST
  );
}
