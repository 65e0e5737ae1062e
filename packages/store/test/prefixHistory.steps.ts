import assert from 'node:assert/strict';

import { Then } from '@cucumber/cucumber';
import type { PrefixChange } from '@galenatiller/store';
import fc from 'fast-check';

import { PrefixHistory } from '../src/relay/prefixHistory.js';

const MAX_REVISION = 9;

Then(
  'over {int} random histories the changes after each revision equal a scan of all changes',
  (numRuns: number) => {
    // A store that was restored from a copy gives out revisions again.
    const property = fc.property(fc.array(fc.nat(MAX_REVISION), { maxLength: 12 }), (revisions) => {
      const history = PrefixHistory.create();
      const changes = revisions.map((revision): PrefixChange => ({
        kind: 'delete',
        key: 'key',
        revision,
      }));
      changes.forEach((change) => history.apply(change, { hasEffect: true }));
      for (let after = 0; after <= MAX_REVISION; after += 1) {
        assert.deepEqual(
          history.changesAfter(after),
          changes.filter((_, index) => (revisions[index] ?? 0) > after),
        );
      }
    });
    fc.assert(property, { numRuns, seed: 5 });
  },
);
