import { GalenatillerError, findNearestName } from '@galenatiller/error';
import { Result } from 'true-myth';

import { type CommandFailure, fail } from './commandFailure.js';
import type { ApplyReport } from './commandReport.js';
import { describeUnknown } from './describeUnknown.js';
import { editRules } from './editRules.js';
import type { StoredConfiguration } from './platform.js';
import type { ChangeOptions } from './publishRules.js';

/** Options of {@link setZone}. */
export interface SetZoneOptions extends ChangeOptions {
  readonly zone: string;
  readonly state: 'in' | 'out';
  readonly askedBy: string;
}

/** Takes an availability zone out, or brings it in. */
export async function setZone(opts: SetZoneOptions): Promise<Result<ApplyReport, CommandFailure>> {
  const { zone, state, askedBy } = opts;
  const hosts = await opts.platform.readHosts();
  const changed = await editRules({
    ...opts,
    writeLine: (before) => {
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
        unknown: [describeUnknown(hosts.error, `whether ${zone} has hosts`)],
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
