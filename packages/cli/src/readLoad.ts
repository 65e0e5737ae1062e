import type { NodeStatus } from '@galenatiller/operator';
import type { TargetReport } from '@galenatiller/types';

import type { GroupLoad, TopReport } from './commandReport.js';
import { createUnknownError } from './createUnknownError.js';
import type { Platform } from './platform.js';
import { type HostResponse, queryHosts, listHostErrors } from './queryHosts.js';

/** Adds up the load of each target group and version over all gates. */
export async function readLoad(opts: { readonly platform: Platform }): Promise<TopReport> {
  const { fetchHosts, fetchStatus } = opts.platform;
  const fleet = await queryHosts({ fetchHosts, queryHost: fetchStatus });
  const answers = fleet.unwrapOr([]);
  return {
    command: 'top',
    groups: addUp(answers.flatMap(targetsOf)),
    unknown: fleet.isErr
      ? [createUnknownError(fleet.error, 'which nodes there are')]
      : listHostErrors(answers),
  };
}

function targetsOf({ response }: HostResponse<NodeStatus>): readonly TargetReport[] {
  return response.isOk ? response.value.targets : [];
}

function addUp(targets: readonly TargetReport[]): readonly GroupLoad[] {
  const loads = new Map<string, GroupLoad>();
  targets.forEach((target) => {
    const key = `${target.group} ${target.version}`;
    loads.set(key, addTarget(loads.get(key) ?? emptyLoad(target), target));
  });
  return [...loads.entries()]
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([, load]) => load);
}

function emptyLoad({ group, version }: TargetReport): GroupLoad {
  const counts = { ready: 0, cold: 0, away: 0, inFlight: 0, queued: 0, inFlightLimit: 0 };
  return { group, version, ...counts };
}

function addTarget(load: GroupLoad, target: TargetReport): GroupLoad {
  const { state } = target;
  return {
    ...load,
    ready: load.ready + Number(state === 'ready'),
    cold: load.cold + Number(state === 'cold'),
    away: load.away + Number(state === 'down' || state === 'leaving'),
    inFlight: load.inFlight + target.inFlight,
    queued: load.queued + target.queued,
    inFlightLimit: load.inFlightLimit + target.inFlightLimit,
  };
}
