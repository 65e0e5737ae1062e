import { makerOf } from '@galenatiller/pool';
import { chooseTarget, type TargetChoice } from '@galenatiller/target';

import type { AdmittedCall } from './admitCall.js';
import type { CallProgress } from './callProgress.js';
import type { CallerExchange } from './ports.js';
import type { RouterContext } from './routerContext.js';
import type { MadeResult } from './runStages.js';

/** A call for which a target is chosen. */
export interface ChoiceOptions {
  readonly context: RouterContext;
  readonly exchange: Pick<CallerExchange, 'call'>;
  readonly admitted: Pick<AdmittedCall, 'service'>;
}

/** Chooses the target of the next send of a call. */
export function chooseForCall(
  opts: ChoiceOptions & { readonly inputs: readonly MadeResult[] },
  progress: Pick<CallProgress, 'tried'>,
): TargetChoice {
  const { context, admitted, exchange } = opts;
  const coldRequestsPerS =
    context.routes.findService(admitted.service)?.maxColdRequestsPerSecond ?? 0;
  return chooseTarget({
    targets: context.targets.usable(admitted.service),
    tried: progress.tried,
    promptParts: exchange.call.promptParts,
    ownZone: context.ownZone,
    inputBytesOutside: inputBytesOutside(opts),
    inFlight: ({ id }) => context.inFlight.count(id),
    isSuspended: ({ id }) => context.health.isSuspended(id),
    failureShare: ({ id }) => context.health.failureShare(id),
    mayTake: ({ address }) => context.coldShare.mayTake({ address, coldRequestsPerS }),
    hash: context.hash,
  });
}

/** Zone of the target that a call would go to now; empty when there is none. */
export function likelyZone(opts: ChoiceOptions): string {
  const choice = chooseForCall({ ...opts, inputs: [] }, NOT_TRIED);
  return choice.kind === 'chosen' ? choice.target.availabilityZone : '';
}

const NOT_TRIED = { tried: new Set<string>() };

/** Bytes of the inputs whose makers stand outside a zone; a maker that is gone counts nowhere. */
function inputBytesOutside(
  opts: Pick<ChoiceOptions, 'context'> & { readonly inputs: readonly MadeResult[] },
): (availabilityZone: string) => number {
  const { targets } = opts.context;
  const placed = opts.inputs.map(({ handle, bytes }) => ({
    bytes,
    zone: targets.zoneOfMost([makerOf(handle)]),
  }));
  return (availabilityZone) =>
    placed
      .filter(({ zone }) => zone !== '' && zone !== availabilityZone)
      .reduce((sum, { bytes }) => sum + bytes, 0);
}
