import { GalenatillerError, findNearestName } from '@galenatiller/error';
import { Result } from 'true-myth';

import { type CommandFailure, fail } from './commandFailure.js';
import type { ApplyReport } from './commandReport.js';
import { createUnknownError } from './createUnknownError.js';
import { upsertRule } from './upsertRule.js';
import type { StoredConfiguration } from './platform.js';
import type { RuleChangeOptions } from './publishRules.js';

/** Options of {@link setZoneState}. */
export interface SetZoneStateOptions extends RuleChangeOptions {
  readonly zone: string;
  readonly state: 'in' | 'out';
  readonly askedBy: string;
}

/** Takes an availability zone out, or brings it in. */
export async function setZoneState(
  opts: SetZoneStateOptions,
): Promise<Result<ApplyReport, CommandFailure>> {
  const { zone, state, askedBy } = opts;
  const hosts = await opts.platform.fetchHosts();
  const changed = await upsertRule({
    ...opts,
    createRuleLine: (before) => {
      const zones = hosts.isOk ? hosts.value.map((host) => host.availabilityZone) : [zone];
      const known = new Set([...zones, ...ruledZones(before)]);
      return known.has(zone)
        ? Result.ok(`zone ${zone} ${state} # asked by ${askedBy}`)
        : failUnknownZone(zone, known);
    },
  });
  // An outage of the host list must not keep a zone in.
  return hosts.isOk
    ? changed
    : changed.map((report) => ({
        ...report,
        unknown: [createUnknownError(hosts.error, `whether ${zone} has hosts`)],
      }));
}

function ruledZones(before: StoredConfiguration): readonly string[] {
  return before.rules.flatMap((rule) => (rule.kind === 'zone' ? [rule.name] : []));
}

function failUnknownZone(zone: string, known: ReadonlySet<string>): Result<never, CommandFailure> {
  const nearest = findNearestName({ found: zone, names: known });
  const hint = nearest === '' ? '' : `; did you mean ${nearest}?`;
  const detail = `found availability zone ${zone}, expected one of ${[...known].sort().join(', ')}${hint}`;
  return fail(GalenatillerError.create({ name: 'rules-invalid', detail }));
}
