import { pipe } from 'fp-ts/lib/function.js';
import * as N from 'fp-ts/lib/number.js';
import * as Ord from 'fp-ts/lib/Ord.js';
import * as RA from 'fp-ts/lib/ReadonlyArray.js';
import { Maybe } from 'true-myth';

import type { ChooseTargetOptions, TargetView } from './policy.js';

/** Cost of leaving the own availability zone, as a share of one run. */
const OTHER_ZONE_COST = 0.1;

/** Cost of a cold target, in runs. */
const COLD_COST = 2;

/** Share of a run by which equal targets are told apart at random. */
const RANDOM_COST = 0.05;

/** Chooses the target with the least expected wait among those that may take the work. */
export function chooseTarget(opts: ChooseTargetOptions): Maybe<TargetView> {
  const allowed = opts.candidates.filter((view) => mayTake(view, opts));
  const byCost = pipe(
    N.Ord,
    Ord.contramap((scored: ScoredTarget) => scored.cost),
  );
  const best = pipe(
    allowed,
    RA.map((view) => ({ view, cost: expectedCost(view, opts) })),
    RA.sort(byCost),
  )[0];
  return Maybe.of(best?.view);
}

interface ScoredTarget {
  readonly view: TargetView;
  readonly cost: number;
}

function mayTake(view: TargetView, opts: ChooseTargetOptions): boolean {
  if (!view.takesWork || opts.triedTargets.includes(view.report.name)) {
    return false;
  }
  if (opts.configuration.zones.get(view.availabilityZone)?.state === 'out') {
    return false;
  }
  return view.report.state === 'ready' || view.report.state === 'cold';
}

/** Expected wait and run on the target, in runs. */
function expectedCost(view: TargetView, opts: ChooseTargetOptions): number {
  const { report } = view;
  // Work that this entry sent since the report is known exactly; the report is late.
  const load = report.inFlight + report.queued + view.sentSinceReport;
  const zoneCost = view.availabilityZone === opts.ownAvailabilityZone ? 0 : OTHER_ZONE_COST;
  const coldCost = report.state === 'cold' ? COLD_COST : 0;
  return (
    load / Math.max(1, report.inFlightLimit) + zoneCost + coldCost + opts.random() * RANDOM_COST
  );
}
