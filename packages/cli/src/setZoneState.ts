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

/** Takes an availability zone out of service or brings it back. */
export async function setZoneState(
  opts: SetZoneStateOptions,
): Promise<Result<ApplyReport, CommandFailure>> {
  const { zone, state, askedBy } = opts;
  const hosts = await opts.platform.fetchHosts();
  const changed = await upsertRule({
    ...opts,
    createRuleLine: (before) => {
      const zones = hosts.isOk ? hosts.value.map((host) => host.availabilityZone) : [zone];
      const knownZones = new Set([...zones, ...listRuleZones(before)]);
      return knownZones.has(zone)
        ? Result.ok(`zone ${zone} ${state} # asked by ${askedBy}`)
        : failUnknownZone(zone, knownZones);
    },
  });
  // An outage of the host list must not block a zone change; the report then says what is not known.
  return hosts.isOk
    ? changed
    : changed.map((report) => ({
        ...report,
        unknown: [createUnknownError(hosts.error, `whether ${zone} has hosts`)],
      }));
}

function listRuleZones(before: StoredConfiguration): readonly string[] {
  return before.rules.flatMap((rule) => (rule.kind === 'zone' ? [rule.name] : []));
}

function failUnknownZone(
  zone: string,
  knownZones: ReadonlySet<string>,
): Result<never, CommandFailure> {
  const nearest = findNearestName({ found: zone, names: knownZones });
  const suggestion = nearest === '' ? '' : `; did you mean ${nearest}?`;
  const detail = `found availability zone ${zone}, expected one of ${[...knownZones].sort().join(', ')}${suggestion}`;
  return fail(GalenatillerError.create({ name: 'rules-invalid', detail }));
}
