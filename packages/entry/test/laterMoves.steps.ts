/** Steps on versions that an earlier move left. */
import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';
import { VersionMoves } from '@galenatiller/entry';

import { createView, MOVE } from './versions.steps.js';

interface LaterMoveWorld {
  moves: VersionMoves;
}

const NEXT_MOVE = { ...MOVE, toVersion: 'v3' };
const VIEWS = ['v1', 'v2', 'v3'].map(createView);
const GOLDEN_RATIO = 0.618_034;

When(
  /^a move to "v2" (was stopped for failing|was replaced before it was proved), and the next one is from "v1" to "v3"$/,
  function when(this: LaterMoveWorld, ended: string) {
    let drawn = 0;
    this.moves = VersionMoves.create({
      wallMs: () => 0,
      random: () => {
        drawn += GOLDEN_RATIO;
        return drawn % 1;
      },
      broadcast: () => {},
    });
    const runs = ended === 'was stopped for failing' ? 100 : 1;
    for (let run = 0; run < runs; run += 1) {
      this.moves.observe({
        move: MOVE,
        route: 'draft',
        targetVersion: 'v2',
        ending: 'failed',
        runMs: 10,
      });
    }
    assert.equal(this.moves.notices.length, runs === 1 ? 0 : 1);
  },
);

Then(
  'the next one sends nothing to "v2", and runs on "v1" and "v3"',
  function then(this: LaterMoveWorld) {
    const versions = Array.from({ length: 1_000 }, () =>
      this.moves.selectTargets(NEXT_MOVE, 'draft', VIEWS).map(({ report }) => report.version),
    ).flat();
    assert.deepEqual([...new Set(versions)].sort(), ['v1', 'v3']);
  },
);

Then(
  '"v3" is stopped after at most {int} bad runs, although "v2" fails too',
  function then(this: LaterMoveWorld, maxRuns: number) {
    const observe = (targetVersion: string, ending: 'failed' | 'good'): void =>
      this.moves.observe({ move: NEXT_MOVE, route: 'draft', targetVersion, ending, runMs: 10 });
    let runs = 0;
    while (this.moves.getProgress(NEXT_MOVE, 'draft').state !== 'stopped') {
      assert.ok(runs < maxRuns, `not stopped after ${runs} bad runs`);
      observe('v1', 'good');
      observe('v2', 'failed');
      observe('v3', 'failed');
      runs += 1;
    }
  },
);
