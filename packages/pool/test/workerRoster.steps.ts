import assert from 'node:assert/strict';

import { Given, Then } from '@cucumber/cucumber';
import { ManualClock, TimerService } from '@galenatiller/timer';

import { findIdleZones } from '../src/findIdleZones.js';
import type { TakeOptions } from '../src/takeOptions.js';
import { watchStart } from '../src/watchStart.js';
import { WorkerRoster } from '../src/workerRoster.js';
import { LIMITS } from './queueWorld.js';
import { createWorker } from './stageWorker.js';

interface RosterWorld {
  roster: WorkerRoster;
  preferredZone: string;
  idle: TakeOptions;
}

const NOW_MS = 10_000;

function createTake(id: string, percent: number, but = '', random = 0): TakeOptions {
  const lastDuration = but.includes('last') ? 3 : percent / 100;
  const otherRequests = but.includes('others') ? 2 : 0;
  return {
    target: { ...createWorker(but.includes('far') ? 'west' : 'east'), id },
    limits: LIMITS,
    availableBytes: () => (but.includes('none') ? 99 : 100),
    minWaitMs: but.includes('slower') ? 1 : 0,
    uneven: {
      findLoad: () => ({ relativeDuration: percent / 100, lastDuration, otherRequests }),
      isUsable: () => !but.includes('paused'),
      senders: () => (random > 0 ? 12 : 1),
      random: () => random,
    },
    signal: new AbortController().signal,
  };
}

function leavesPiece(
  { roster, preferredZone }: Omit<RosterWorld, 'idle'>,
  own: TakeOptions,
): boolean {
  const piece = { piece: { resultBytes: 100 }, preferredZone, queuedSinceMs: NOW_MS - 50 };
  return roster.leaveToFaster(own, [piece], NOW_MS).length === 0;
}

Given(
  /^another worker that is (.*), at 100 %, and (.*)$/,
  function given(this: RosterWorld, state: string, but: string) {
    this.roster = WorkerRoster.create();
    this.preferredZone = but.includes('far') ? 'east' : '';
    const other = createTake('other', 100, but);
    this.roster.recordIdle(other, NOW_MS - (state.includes('long') ? 30 : 10));
    const [busyMs] = /-?\d+/.exec(state) ?? [];
    if (busyMs) {
      // A call with one piece takes 220 ms.
      this.roster.recordTaken(other, 1, NOW_MS + Number(busyMs) - 220);
    }
  },
);

Then(
  /^a worker at (\d+) % (leaves|takes) a piece$/,
  function then(this: RosterWorld, percent: string, does: string) {
    const own = createTake('own', Number(percent));
    assert.equal(leavesPiece(this, own), does === 'leaves');
  },
);

Given('a worker that is idle at {int} %', function given(this: RosterWorld, percent: number) {
  this.idle = createTake('idle', percent);
});

Then(
  /^it (keeps|does not keep) pieces in its zone, and (frees|does not free) inputs early$/,
  async function then(this: RosterWorld, zone: string, inputs: string) {
    const { target, uneven } = this.idle;
    const clock = ManualClock.create({ startWallMs: 1_000_000 });
    const start = watchStart({
      timer: TimerService.create({ clock }),
      target,
      resultMemory: { availableBytes: () => LIMITS.resultMemoryBytes },
      senders: () => 1,
      workerSpeed: { minWaitMs: () => 0 },
      findLoad: uneven?.findLoad,
      limits: LIMITS,
      taken: [{ onBegun: () => {} }],
      lastOutcome: 'done',
    });
    await clock.advance({ byMs: 100 });
    assert.equal(findIdleZones([this.idle]).has('east'), zone === 'keeps');
    assert.equal(start.isBegun(), inputs === 'frees');
  },
);

Then(
  '{int} nodes that see the same figures leave between {int} and {int} pieces to it',
  (nodes: number, least: number, most: number) => {
    const roster = WorkerRoster.create();
    Array.from({ length: 9 }, (_, index) =>
      roster.recordIdle(createTake(`${index}`, index === 4 ? 100 : 300), NOW_MS),
    );
    const left = Array.from({ length: nodes }, (_, node) =>
      createTake('own', 300, '', (node + 0.5) / nodes),
    ).filter((own) => leavesPiece({ roster, preferredZone: '' }, own)).length;
    assert.ok(left >= least && left <= most, `${left}`);
  },
);
