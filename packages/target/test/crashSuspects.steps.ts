import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { CrashSuspects } from '@galenatiller/target';
import { ManualClock, TimerService } from '@galenatiller/timer';

interface SuspectsWorld {
  suspectsClock: ManualClock;
  suspectNodes: Map<string, CrashSuspects>;
}

Given('nodes "a" and "b" that share evidence about crashes', function given(this: SuspectsWorld) {
  this.suspectsClock = ManualClock.create({ startWallMs: 1_000_000 });
  this.suspectNodes = new Map();
  ['a', 'b'].forEach((name) => addNode(this, name));
});

When(
  'target {int} crashes during a call with {string} at node {string}',
  function when(this: SuspectsWorld, target: number, fingerprint: string, node: string) {
    recordCrash(this, { target, fingerprint, node });
  },
);

When(
  'targets {int} to {int} crash during calls with {string} at node {string}',
  function when(
    this: SuspectsWorld,
    first: number,
    last: number,
    fingerprint: string,
    node: string,
  ) {
    for (let target = first; target <= last; target += 1) {
      recordCrash(this, { target, fingerprint, node });
    }
  },
);

When(
  'a target responds to a call with {string} at node {string}',
  function when(this: SuspectsWorld, fingerprint: string, node: string) {
    findNode(this, node).recordSound([fingerprint]);
  },
);

When('{int} ms pass at the nodes', function when(this: SuspectsWorld, byMs: number) {
  return this.suspectsClock.advance({ byMs });
});

When(
  'node {string} joins and gets the crashes that node {string} knows',
  function when(this: SuspectsWorld, joining: string, known: string) {
    addNode(this, joining).merge(findNode(this, known).currentCrashes());
  },
);

Then(
  /^calls with "([^"]*)" are (allowed|stopped) at "([^"]*)" and "([^"]*)"$/,
  function then(
    this: SuspectsWorld,
    fingerprint: string,
    state: string,
    first: string,
    second: string,
  ) {
    [first, second].forEach((node) => {
      const stopped = findNode(this, node).findStopped(['other', ...fingerprint.split(',')]);
      assert.equal(stopped !== undefined, state === 'stopped', node);
    });
  },
);

Then(
  'the crashes that node {string} knows are not new to node {string}',
  function then(this: SuspectsWorld, known: string, node: string) {
    const evidence = findNode(this, known).currentCrashes();
    assert.ok(evidence.length > 0);
    assert.deepEqual(findNode(this, node).merge(evidence), []);
  },
);

Then(
  'of 2 messages that a target responded to {string}, the first is new to node {string}',
  function then(this: SuspectsWorld, fingerprint: string, name: string) {
    const node = findNode(this, name);
    const sound = [{ kind: 'sound', fingerprint, targetStart: '', agoMs: 3 } as const];
    assert.deepEqual([node.merge(sound), node.merge(sound)], [sound, []]);
  },
);

function addNode(world: SuspectsWorld, name: string): CrashSuspects {
  const node = CrashSuspects.create({
    timer: TimerService.create({ clock: world.suspectsClock }),
    share: (evidence) => {
      world.suspectNodes.forEach((other, otherName) => {
        if (otherName !== name) {
          other.merge(evidence);
        }
      });
    },
    onStopped: () => {},
  });
  world.suspectNodes.set(name, node);
  return node;
}

function findNode(world: SuspectsWorld, name: string): CrashSuspects {
  return world.suspectNodes.get(name) ?? assert.fail(name);
}

function recordCrash(
  world: SuspectsWorld,
  crash: { readonly target: number; readonly fingerprint: string; readonly node: string },
): void {
  const { target, fingerprint, node } = crash;
  findNode(world, node).recordCrash({
    targetStart: `target-${target}`,
    fingerprints: fingerprint.split(','),
  });
}
