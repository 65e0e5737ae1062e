import assert from 'node:assert/strict';

import { Before, Given, Then, When } from '@cucumber/cucumber';
import { CrashHistory } from '@galenatiller/engine';
import { createSampleStageRequest } from '@galenatiller/fakes';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { StageRequest } from '@galenatiller/types';

import { CrashGuard } from '../src/crashGuard.js';

interface CrashGuardWorld {
  crashGuard: CrashGuard;
  guardedRequests: number;
}

/** Fills several of the blocks in which prompts are compared. */
const COMMON_PROMPT = 'the dossier of the job '.repeat(40);

Before({ tags: '@gate' }, function before(this: CrashGuardWorld) {
  const timer = TimerService.create({ clock: ManualClock.create({ startWallMs: 1_000_000 }) });
  const crashes = CrashHistory.create({ timer, share: () => {}, record: () => {} });
  this.crashGuard = CrashGuard.create({ crashes, gossip: { shareCrashes: () => {} } });
  this.guardedRequests = 0;
});

/** Creates a request whose prompt ends like that of no other. */
function createRequest(world: CrashGuardWorld, prompt: string, target: number): StageRequest {
  world.guardedRequests += 1;
  const request = createSampleStageRequest({
    kind: 'generate',
    prompt: `${prompt}${world.guardedRequests}`,
    maxTokens: 8,
    deliveredText: '',
    deliveredTokens: 0,
  });
  return { ...request, targetName: `target-${target}` };
}

function run(
  world: CrashGuardWorld,
  opts: { readonly target: number; readonly hasCrashed: boolean },
): void {
  const { target, hasCrashed } = opts;
  const request = createRequest(world, COMMON_PROMPT, target);
  assert.equal(world.crashGuard.admit(request), 'run');
  const targetStart = `target-${target} 1`;
  world.crashGuard.onRunEnded({ request, targetStart, isWhole: !hasCrashed, hasCrashed });
}

Given(
  'a target has responded to a request that begins with the same prompt',
  function given(this: CrashGuardWorld) {
    run(this, { target: 9, hasCrashed: false });
  },
);

When(
  'requests that begin with the same prompt crash targets {int} to {int} while these respond',
  function when(this: CrashGuardWorld, first: number, last: number) {
    for (let target = first; target <= last; target += 1) {
      run(this, { target, hasCrashed: true });
    }
  },
);

Then(
  /^a further request that begins with it (runs|is stopped)$/,
  function then(this: CrashGuardWorld, what: string) {
    const request = createRequest(this, COMMON_PROMPT, 8);
    assert.equal(this.crashGuard.admit(request), what === 'runs' ? 'run' : 'stopped');
  },
);

Then('a request with another prompt runs', function then(this: CrashGuardWorld) {
  const request = createRequest(this, 'another prompt '.repeat(40), 8);
  assert.equal(this.crashGuard.admit(request), 'run');
});
