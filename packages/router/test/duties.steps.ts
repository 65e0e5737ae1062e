import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import type { Duties } from '@galenatiller/duty';
import type { LoggedEvent } from '@galenatiller/logger';
import {
  PrefixRelay,
  type PrefixEntry,
  type PrefixSource,
  StatedEra,
  type WriteIfUnchanged,
} from '@galenatiller/store';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { DutyName } from '@galenatiller/types';
import { Result } from 'true-myth';

import { createDuties } from '../src/createDuties.js';

interface DutiesWorld {
  dutiesClock: ManualClock;
  duties: Duties | undefined;
  dutyLines: LoggedEvent[];
  dutyCounts: string[];
}

const SELF = {
  name: 'n1',
  address: '10.0.0.1:1',
  cpuCores: 1,
  availabilityZone: 'zone',
  leavingSince: 0,
};

Given(
  'settings with the provider {string} and the duties {string}',
  function given(this: DutiesWorld, providerAddress: string, duties: string) {
    this.dutiesClock = ManualClock.create({ startWallMs: 1_000_000 });
    const timer = TimerService.create({ clock: this.dutiesClock });
    const storeEra = StatedEra.create({ onEvent: () => {} });
    const { source, writeIfUnchanged } = createStore(timer);
    this.dutyLines = [];
    this.dutyCounts = [];
    this.duties = createDuties({
      settings: {
        nodeName: SELF.name,
        providerAddress,
        dutyNames: duties.split(', ').filter((name): name is DutyName => name !== ''),
        dutyLeaseMs: 3_000,
      },
      timer,
      log: (line) => this.dutyLines.push(line),
      metrics: {
        count: ({ tags }) => this.dutyCounts.push(String(Object.values(tags)[1])),
        gauge: () => {},
        timing: () => {},
      },
      hash: () => 1,
      random: () => 0.5,
      storeEra,
      source,
      directSource: source,
      writeIfUnchanged,
      members: { ownLease: () => ({ generation: 1, rises: 0, leftMs: 3_000 }) },
      relay: PrefixRelay.create({ timer, storeEra }),
    });
  },
);

/** A store that only this router writes. */
function createStore(timer: TimerService): {
  readonly source: PrefixSource;
  readonly writeIfUnchanged: WriteIfUnchanged;
} {
  let entries: readonly PrefixEntry[] = [];
  const storeRevision = (): number => entries[0]?.revision ?? 0;
  return {
    source: {
      readPage: () =>
        Promise.resolve(Result.ok({ entries, hasMore: false, storeRevision: storeRevision() })),
      waitForChanges: async ({ waitMs, signal }) => {
        await timer.sleep({ delayMs: waitMs, signal });
        return Result.ok({ changes: [], storeRevision: storeRevision() });
      },
    },
    writeIfUnchanged: ({ key, value, expectedRevision }) => {
      entries = [{ key, value, revision: expectedRevision + 1 }];
      return Promise.resolve(Result.ok('written'));
    },
  };
}

Then('the router has no duties', function then(this: DutiesWorld) {
  assert.equal(this.duties, undefined);
});

When('the router is the only live one', async function when(this: DutiesWorld) {
  this.duties?.setMembers([SELF]);
  this.duties?.run({ signal: new AbortController().signal }).catch(assert.ifError);
  await this.dutiesClock.advance({ byMs: 100 });
});

Then('it holds the duty "usage", and no other', function then(this: DutiesWorld) {
  assert.equal(this.duties?.find('usage')?.current()?.token, 1_000_000);
  assert.equal(this.duties?.find('scale'), undefined);
});

When('the router releases its duties', async function when(this: DutiesWorld) {
  const released = this.duties?.release();
  await this.dutiesClock.advance({ byMs: 100 });
  await released;
});

Then(
  'its lines on duties are {string}, each with the token',
  function then(this: DutiesWorld, outcomes: string) {
    const lines = this.dutyLines.filter(({ event }) => event === 'duty');
    assert.equal(lines.map(({ outcome }) => outcome).join(', '), outcomes);
    assert.ok(
      lines.every(
        ({ about, duty, holder, token, sinceMs }) =>
          [about, duty, holder].join(' ') === 'belief usage n1' &&
          token === 1_000_000 &&
          sinceMs === 1_000_000,
      ),
      JSON.stringify(lines),
    );
  },
);

Then('it has counted the changes {string}', function then(this: DutiesWorld, changes: string) {
  assert.equal(this.dutyCounts.join(', '), changes);
});
