import assert from 'node:assert/strict';

import { Then } from '@cucumber/cucumber';
import { TargetDirectory } from '@galenatiller/target';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { RegisteredTarget } from '@galenatiller/types';
import fc from 'fast-check';

const IDS = ['a', 'b', 'c', 'd', 'e'];
const SERVICES = ['x', 'y'];
const ADDRESSES = ['10.0.0.1:1', '10.0.0.1:2', '10.0.0.1:3'];
const ZONES = ['z1', 'z2'];

const step = fc.record({
  kind: fc.constantFrom('put', 'put', 'put', 'remove', 'zone'),
  isOut: fc.boolean(),
  id: fc.constantFrom(...IDS),
  service: fc.constantFrom(...SERVICES),
  address: fc.constantFrom(...ADDRESSES),
  availabilityZone: fc.constantFrom(...ZONES),
  state: fc.constantFrom('ready' as const, 'ready' as const, 'draining' as const),
});

/** Targets in the order in which they came, with a scan of all for each lookup. */
class Scan {
  readonly targets = new Map<string, RegisteredTarget>();

  readonly zonesOut = new Set<string>();

  findUsable(service: string): readonly RegisteredTarget[] {
    return [...this.targets.values()].filter(
      (target) =>
        target.service === service &&
        target.state === 'ready' &&
        !this.zonesOut.has(target.availabilityZone),
    );
  }

  findMajorityZone(addresses: readonly string[]): string {
    const counts = new Map<string, number>();
    this.targets.forEach(({ address, availabilityZone: zone }) =>
      addresses
        .filter((given) => given === address)
        .forEach(() => counts.set(zone, (counts.get(zone) ?? 0) + 1)),
    );
    return [...counts].sort(([, left], [, right]) => right - left)[0]?.[0] ?? '';
  }
}

function rank(targets: readonly RegisteredTarget[], key: string): readonly RegisteredTarget[] {
  return targets.toSorted((left, right) => hash(`${key} ${right.id}`) - hash(`${key} ${left.id}`));
}

function hash(text: string): number {
  return Buffer.from(text).reduce((sum, byte) => (sum * 31 + byte) % 1_009, 7);
}

Then(
  'over {int} random sequences of changes lookups equal a scan of all targets',
  (numRuns: number) => {
    const property = fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
      const timer = TimerService.create({ clock: ManualClock.create({ startWallMs: 1 }) });
      const directory = TargetDirectory.create({ timer, onChange: () => {} });
      const scan = new Scan();
      steps.forEach(({ kind, isOut, ...fields }) => {
        const target = { ...fields, startedWallMs: 1, version: 'v', slots: 1 };
        const { id, availabilityZone: zone } = target;
        if (kind === 'put') {
          directory.put({ id, target, storeRevision: 1 });
          scan.targets.set(id, target);
        } else if (kind === 'remove') {
          directory.remove({ id, storeRevision: 1 });
          scan.targets.delete(id);
        } else {
          directory.setZoneOut({ zone, isOut, storeRevision: 1 });
          scan.zonesOut[isOut ? 'add' : 'delete'](zone);
        }
        SERVICES.forEach((service) => {
          const usable = scan.findUsable(service);
          assert.deepEqual(directory.findUsable(service), usable);
          assert.deepEqual(directory.rankUsable({ service, key: id, hash }), rank(usable, id));
        });
        const addresses = [ADDRESSES[0] ?? '', target.address];
        assert.equal(directory.findMajorityZone(addresses), scan.findMajorityZone(addresses));
        const first = [...scan.targets.values()].find(({ address }) => address === target.address);
        assert.equal(directory.findAtAddress(target.address), first);
      });
    });
    fc.assert(property, { numRuns, seed: 9 });
  },
);
