import { toWorkerAddress } from '@galenatiller/pool';
import { chooseTarget, type TargetChoice, toTargetStart } from '@galenatiller/target';

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

/**
 * Chooses the target that a call is sent to next. If only the share of this node rules out the target that has
 * the prompt cached, it asks for a permit.
 */
export async function chooseTargetWithPermit(
  opts: ChoiceOptions,
  progress: Pick<CallProgress, 'tried'>,
): Promise<PermittedChoice> {
  const choice = chooseTargetForCall(opts, progress);
  if (choice.kind !== 'chosen' || !choice.limited) {
    return choice;
  }
  const { id, address, service } = choice.limited;
  if (!(await opts.context.obtainPermit({ service, address }))) {
    return chooseTargetForCall(opts, progress);
  }
  const permitted = chooseTargetForCall({ ...opts, permitted: id }, progress);
  const hasPermit = permitted.kind === 'chosen' && permitted.target.id === id;
  return { ...permitted, hasPermit };
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
