import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  type MirrorEvent,
  type PrefixChange,
  type PrefixEntry,
  PrefixMirror,
  type PrefixSource,
  StatedEra,
} from '@galenatiller/store';
import { type Clock, ManualClock, TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

interface MirrorWorld {
  mirrorClock: ManualClock;
  wallOffsetMs: number;
  mirror: PrefixMirror;
  storeEra: StatedEra;
  /** Era that the store states in its responses. */
  statedEra: number | undefined;
  mirrorTimer: TimerService;
  stopMirror: AbortController;
  storedRevisions: Map<string, number>;
  history: PrefixChange[];
  revision: number;
  oldestRevision: number;
  delayMs: number;
  mode: 'up' | 'down' | 'hang';
  wake: () => void;
  mirroredKeys: Set<string>;
  reportedKinds: MirrorEvent['kind'][];
  /** Whether "a" was still in the mirror when the recovery was reported. */
  hadKeyAtRecovery: boolean;
  isMirrorCurrent: boolean;
  ageAtRecoveryMs: number;
}

function createEntry(key: string, revision: number): PrefixEntry {
  return { key: `p/${key}`, value: Buffer.from(key), revision };
}

function createSource(world: MirrorWorld): PrefixSource {
  const respond = async <Value>(
    signal: AbortSignal,
    value: () => Value,
  ): Promise<Result<Value, { kind: 'unanswered'; detail: string }>> => {
    const failed = Result.err<Value, { kind: 'unanswered'; detail: string }>({
      kind: 'unanswered',
      detail: world.mode,
    });
    if (world.mode === 'down') {
      return failed;
    }
    if (world.mode === 'hang') {
      await new Promise((resolve) => {
        signal.addEventListener('abort', resolve);
      });
      return failed;
    }
    const [read, statedEra] = [value(), world.statedEra];
    await world.mirrorTimer.sleep({ delayMs: world.delayMs, signal });
    world.storeEra.observe(statedEra);
    return Result.ok(read);
  };
  return {
    readPage: ({ signal }) =>
      respond(signal, () => ({
        entries: [...world.storedRevisions].map(([key, revision]) => createEntry(key, revision)),
        hasMore: false,
        storeRevision: world.revision,
      })),
    waitForChanges: async ({ afterRevision, waitMs, signal }) => {
      if (world.mode === 'up' && afterRevision < world.oldestRevision) {
        return Result.err({ kind: 'history-lost', detail: 'dropped' });
      }
      if (world.mode === 'up' && world.revision <= afterRevision) {
        const limit = world.mirrorTimer.startTimeLimit({ limitMs: waitMs, parent: signal });
        await new Promise<void>((resolve) => {
          world.wake = resolve;
          limit.signal.addEventListener('abort', () => resolve());
        });
        limit.release();
      }
      if (world.mode === 'up' && afterRevision < world.oldestRevision) {
        return Result.err({ kind: 'history-lost', detail: 'dropped' });
      }
      return respond(signal, () => ({
        changes: world.history.filter(
          (change) =>
            (change.kind === 'put' ? change.entry.revision : change.revision) > afterRevision,
        ),
        storeRevision: world.revision,
      }));
    },
  };
}

Given('a mirror of a store that contains "a" and "b"', function given(this: MirrorWorld) {
  this.mirrorClock = ManualClock.create({ startWallMs: 1_000_000 });
  this.wallOffsetMs = 0;
  const clock: Clock = {
    nowMs: this.mirrorClock.nowMs,
    wallMs: () => this.mirrorClock.wallMs() + this.wallOffsetMs,
    arm: this.mirrorClock.arm,
  };
  this.mirrorTimer = TimerService.create({ clock });
  this.storedRevisions = new Map([
    ['a', 1],
    ['b', 2],
  ]);
  this.history = [];
  this.revision = 2;
  this.oldestRevision = 0;
  this.delayMs = 0;
  this.mode = 'up';
  this.wake = () => {};
  this.mirroredKeys = new Set();
  this.reportedKinds = [];
  this.isMirrorCurrent = true;
  this.statedEra = 1;
  this.storeEra = StatedEra.create({ onEvent: () => {} });
  this.stopMirror = new AbortController();
  this.mirror = PrefixMirror.create({
    source: createSource(this),
    storeEra: this.storeEra,
    timer: this.mirrorTimer,
    prefix: 'p/',
    waitMs: 1_000,
    responseMarginMs: 500,
    random: () => 0.5,
    isCurrent: () => this.isMirrorCurrent,
    onEntries: (entries) => {
      this.mirroredKeys = new Set(entries.map(({ key }) => key));
    },
    onChange: (change) => {
      if (change.kind === 'put') {
        this.mirroredKeys.add(change.entry.key);
      } else {
        this.mirroredKeys.delete(change.key);
      }
    },
    onEvent: (event) => {
      this.reportedKinds.push(event.kind);
      if (event.kind === 'regained') {
        this.ageAtRecoveryMs = event.evidenceAgeMs;
        this.hadKeyAtRecovery = this.mirroredKeys.has('p/a');
      }
    },
  });
  this.mirror.run({ signal: this.stopMirror.signal }).catch((error: unknown) => {
    throw error;
  });
});

After({ tags: '@mirror' }, async function after(this: MirrorWorld) {
  this.stopMirror.abort();
  this.mode = 'down';
  this.wake();
  await this.mirrorClock.advance({ byMs: 2_000 });
});

When(
  'the store takes {int} ms for each response',
  function when(this: MirrorWorld, delayMs: number) {
    this.delayMs = delayMs;
  },
);

When('{int} ms pass for the mirror', function when(this: MirrorWorld, byMs: number) {
  return this.mirrorClock.advance({ byMs });
});

function deleteKey(world: MirrorWorld, key: string): void {
  world.revision += 1;
  world.storedRevisions.delete(key);
  world.history.push({ kind: 'delete', key: `p/${key}`, revision: world.revision });
}

When('"c" is added to the store and "a" is deleted', function when(this: MirrorWorld) {
  this.revision += 1;
  this.storedRevisions.set('c', this.revision);
  this.history.push({ kind: 'put', entry: createEntry('c', this.revision) });
  deleteKey(this, 'a');
  this.wake();
});

When('"a" is deleted from the store and the history is dropped', function when(this: MirrorWorld) {
  deleteKey(this, 'a');
  this.history = [];
  this.oldestRevision = this.revision;
});

/** Restores the store from the copy that it had when the mirror was created. */
function restore(world: MirrorWorld): void {
  world.statedEra = (world.statedEra ?? 0) + 1;
  world.storedRevisions = new Map([
    ['a', 1],
    ['b', 2],
  ]);
  world.history = [];
  world.revision = 2;
}

When(
  'the store is down for {int} ms and comes back from its first copy',
  async function when(this: MirrorWorld, forMs: number) {
    this.mode = 'down';
    this.wake();
    await this.mirrorClock.advance({ byMs: forMs });
    restore(this);
    this.mode = 'up';
  },
);

When('the store comes back from its first copy while reads wait', function when(this: MirrorWorld) {
  restore(this);
});

When('{string} are added to the restored store', function when(this: MirrorWorld, keys: string) {
  keys.split(', ').forEach((key) => {
    this.revision += 1;
    this.storedRevisions.set(key, this.revision);
    this.history.push({ kind: 'put', entry: createEntry(key, this.revision) });
  });
  this.wake();
});

When(
  /^the store is down for (\d+) ms, and meanwhile "a" expires and the history is (kept|dropped)$/,
  async function when(this: MirrorWorld, forMs: string, history: 'kept' | 'dropped') {
    this.mode = 'down';
    this.wake();
    await this.mirrorClock.advance({ byMs: Number(forMs) });
    deleteKey(this, 'a');
    if (history === 'dropped') {
      this.history = [];
      this.oldestRevision = this.revision;
    }
    this.mode = 'up';
  },
);

Then('the recovery was reported before "a" was missing', function then(this: MirrorWorld) {
  assert.ok(this.reportedKinds.includes('regained'));
  assert.ok(this.hadKeyAtRecovery);
});

When('the reader knows something newer than the store has', function when(this: MirrorWorld) {
  this.isMirrorCurrent = false;
});

When('the store has it again', function when(this: MirrorWorld) {
  this.isMirrorCurrent = true;
});

When('another reader sees its era', function when(this: MirrorWorld) {
  this.storeEra.observe(this.statedEra);
});

When('responses state the era 0, then none, then 1 again', function when(this: MirrorWorld) {
  [0, undefined, 1].forEach((era) => this.storeEra.observe(era));
});

Then(
  /^the restored store was reported (\d+) times?$/,
  function then(this: MirrorWorld, times: string) {
    assert.equal(this.reportedKinds.filter((kind) => kind === 'restored').length, Number(times));
  },
);

When(
  /^the store (is down|hangs) for (\d+) ms$/,
  async function when(this: MirrorWorld, how: string, forMs: string) {
    this.mode = how === 'hangs' ? 'hang' : 'down';
    this.wake();
    await this.mirrorClock.advance({ byMs: Number(forMs) });
    if (how !== 'hangs') {
      assert.ok(this.mirror.evidenceAgeMs() >= Number(forMs));
    }
    this.mode = 'up';
  },
);

When('the host is suspended for {int} ms', function when(this: MirrorWorld, forMs: number) {
  this.wallOffsetMs += forMs;
});

When(
  'the wall clock steps by {int} ms while the store is down for {int} ms',
  async function when(this: MirrorWorld, stepMs: number, forMs: number) {
    this.mode = 'down';
    this.wake();
    this.wallOffsetMs += stepMs;
    await this.mirrorClock.advance({ byMs: forMs });
  },
);

Then('the mirror contains {string}', function then(this: MirrorWorld, keys: string) {
  const keysInMirror = [...this.mirroredKeys].map((key) => key.slice(2)).sort();
  assert.equal(keysInMirror.join(', '), keys);
});

Then('its evidence is at least {int} ms old', function then(this: MirrorWorld, ageMs: number) {
  const age = this.mirror.evidenceAgeMs();
  assert.ok(age >= ageMs, `${age} ms`);
});

Then('its evidence is at most {int} ms old', function then(this: MirrorWorld, ageMs: number) {
  const age = this.mirror.evidenceAgeMs();
  assert.ok(age <= ageMs, `${age} ms`);
});

Then(
  /^the (loss|recovery) was reported once$/,
  function then(this: MirrorWorld, what: 'loss' | 'recovery') {
    const kind = what === 'loss' ? 'lost' : 'regained';
    assert.equal(this.reportedKinds.filter((reportedKind) => reportedKind === kind).length, 1);
  },
);

Then(
  'it said that the evidence was {int} to {int} ms old',
  function then(this: MirrorWorld, minMs: number, maxMs: number) {
    const ageMs = this.ageAtRecoveryMs;
    assert.ok(ageMs >= minMs && ageMs <= maxMs, `${ageMs} ms`);
  },
);
