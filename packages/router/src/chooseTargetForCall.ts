import { toWorkerAddress } from '@galenatiller/pool';
import { chooseTarget, type TargetChoice } from '@galenatiller/target';

import type { AdmittedCall } from './admitCall.js';
import type { CallProgress } from './callProgress.js';
import type { CallerExchange } from './ports.js';
import type { RouterContext } from './routerContext.js';
import type { StageResult } from './runStages.js';

/** A call for which a target is chosen. */
export interface ChooseTargetForCallOptions {
  readonly context: RouterContext;
  readonly exchange: Pick<CallerExchange, 'call'>;
  readonly admitted: Pick<AdmittedCall, 'service'>;
}

/** Chooses the target of the next send of a call. */
export function chooseTargetForCall(
  opts: ChooseTargetForCallOptions & { readonly inputs: readonly StageResult[] },
  progress: Pick<CallProgress, 'tried'>,
): TargetChoice {
  const { context, admitted, exchange } = opts;
  const coldRequestsPerS =
    context.routes.findService(admitted.service)?.maxColdRequestsPerSecond ?? 0;
  return chooseTarget({
    targets: context.targets.findUsable(admitted.service),
    tried: progress.tried,
    promptParts: exchange.call.promptParts,
    ownZone: context.ownZone,
    crossZoneInputBytes: inputBytesOutside(opts),
    inFlight: ({ id }) => context.inFlight.count(id),
    isSuspended: ({ id }) => context.health.isSuspended(id),
    failureShare: ({ id }) => context.health.failureShare(id),
    canAccept: ({ address }) => context.coldShare.canSend({ address, coldRequestsPerS }),
    hash: context.hash,
  });
}

/** Zone of the target that a call would go to now; empty when there is none. */
export function predictZone(opts: ChooseTargetForCallOptions): string {
  const choice = chooseTargetForCall({ ...opts, inputs: [] }, NOT_TRIED);
  return choice.kind === 'chosen' ? choice.target.availabilityZone : '';
}

const NOT_TRIED = { tried: new Set<string>() };

/** Bytes of the inputs whose makers stand outside a zone; a maker that is gone counts nowhere. */
function inputBytesOutside(
  opts: Pick<ChooseTargetForCallOptions, 'context'> & { readonly inputs: readonly StageResult[] },
): (availabilityZone: string) => number {
  const { targets } = opts.context;
  const placed = opts.inputs.map(({ handle, bytes }) => ({
    bytes,
    zone: targets.findMajorityZone([toWorkerAddress(handle)]),
  }));
  return (availabilityZone) =>
    placed
      .filter(({ zone }) => zone !== '' && zone !== availabilityZone)
      .reduce((sum, { bytes }) => sum + bytes, 0);
}
