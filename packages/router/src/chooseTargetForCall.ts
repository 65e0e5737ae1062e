import { toWorkerAddress } from '@galenatiller/pool';
import { chooseTarget, type TargetChoice, toTargetStart } from '@galenatiller/target';
import type { RegisteredTarget } from '@galenatiller/types';

import type { AdmittedCall } from './admitCall.js';
import type { CallProgress } from './callProgress.js';
import type { CallerExchange } from './ports.js';
import type { RouterContext } from './routerContext.js';
import type { StageResultHandle } from './runStages.js';

/** Options of {@link chooseTargetForCall} and {@link predictZone}. */
export interface ChooseTargetForCallOptions {
  readonly context: RouterContext;
  readonly exchange: Pick<CallerExchange, 'call'>;
  readonly admitted: Pick<AdmittedCall, 'service'>;
}

/** Options and inputs of a call whose target is chosen. */
interface ChoiceOptions extends ChooseTargetForCallOptions {
  readonly inputs: readonly StageResultHandle[];
  /** Id of a target that the rate limits don't rule out; unset for none. */
  readonly permitted?: string;
}

/** A choice, and whether it was made under a permit, which doesn't use up the share of this node. */
export type PermittedChoice = TargetChoice & { readonly hasPermit?: boolean };

/** Target that has the prompt of a call cached, if only the share of this node rules it out. */
export function findLimitedTarget(choice: TargetChoice): RegisteredTarget | undefined {
  return choice.kind === 'chosen' ? choice.limited : undefined;
}

/** Chooses the target that a call is sent to next, after a permit for one was granted or refused. */
export function chooseTargetAfterPermit(
  opts: ChoiceOptions,
  progress: Pick<CallProgress, 'tried'>,
  permit: { readonly targetId: string; readonly isGranted: boolean },
): PermittedChoice {
  const { targetId, isGranted } = permit;
  if (!isGranted) {
    return chooseTargetForCall(opts, progress);
  }
  const choice = chooseTargetForCall({ ...opts, permitted: targetId }, progress);
  return { ...choice, hasPermit: choice.kind === 'chosen' && choice.target.id === targetId };
}

/** Chooses the target that a call is sent to next within the share of this node. */
export function chooseTargetForCall(
  opts: ChoiceOptions,
  progress: Pick<CallProgress, 'tried'>,
): TargetChoice {
  const { context, admitted, exchange } = opts;
  const maxColdRequestsPerSecond =
    context.routes.findService(admitted.service)?.maxColdRequestsPerSecond ?? 0;
  const nowMs = context.timer.nowMs();
  const workMs = context.responseTimes.estimateMs({ name: admitted.service, nowMs });
  return chooseTarget({
    targets: context.rollouts.select(
      admitted.service,
      context.targets
        .findUsable(admitted.service)
        .filter((target) => context.notices.canSend(toTargetStart(target))),
    ),
    tried: progress.tried,
    promptParts: exchange.call.promptParts,
    ownZone: context.ownZone,
    crossZoneInputBytes: createCrossZoneInputBytes(opts),
    inFlight: ({ id }) => context.inFlight.count(id),
    isSuspended: ({ id }) => context.health.isSuspended(id),
    failureShare: ({ id }) => context.health.failureShare(id),
    canAccept: ({ id, address }) =>
      id === opts.permitted ||
      context.coldRateLimiter.canSend({ address, maxColdRequestsPerSecond }),
    hash: context.hash,
    rank: (key) =>
      context.targets.rankUsable({ service: admitted.service, key, hash: context.hash }),
    uneven: context.loads.hasAny
      ? {
          findLoad: (target) => context.loads.find({ target: toTargetStart(target), workMs }),
          random: context.random,
        }
      : undefined,
  });
}

/** Zone of the target that a call would be sent to now; empty when there is none. */
export function predictZone(opts: ChooseTargetForCallOptions): string {
  const choice = chooseTargetForCall({ ...opts, inputs: [] }, NO_ATTEMPTS);
  return choice.kind === 'chosen' ? choice.target.availabilityZone : '';
}

const NO_ATTEMPTS = { tried: new Set<string>() };

/**
 * Creates the function that sums the bytes of the inputs that are held outside a zone. Inputs at a
 * worker that is no longer registered don't count.
 */
function createCrossZoneInputBytes(
  opts: Pick<ChooseTargetForCallOptions, 'context'> & {
    readonly inputs: readonly StageResultHandle[];
  },
): (availabilityZone: string) => number {
  const { targets } = opts.context;
  const located = opts.inputs.map(({ handle, bytes }) => ({
    bytes,
    zone: targets.findMajorityZone([toWorkerAddress(handle)]),
  }));
  return (availabilityZone) =>
    located
      .filter(({ zone }) => zone !== '' && zone !== availabilityZone)
      .reduce((sum, { bytes }) => sum + bytes, 0);
}
