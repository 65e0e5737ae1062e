import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';
import type {
  CrashEvidence,
  LeavingEvidence,
  RolloutDecision,
  RolloutEvidence,
} from '@galenatiller/types';

import { type LinkWorld, waitUntil } from './linkWorld.js';

const EVIDENCE: readonly CrashEvidence[] = [
  { kind: 'crashed', fingerprint: 'part 5c1e', targetStart: 'target 1', agoMs: 20 },
  { kind: 'sound', fingerprint: 'part 91bd', targetStart: '', agoMs: 0 },
];

When('the peer shares evidence about crashes', function when(this: LinkWorld) {
  this.peer.shareCrashEvidence(EVIDENCE);
});

Then('the owner gets the evidence', async function then(this: LinkWorld) {
  await waitUntil(() => this.evidenceAtOwner !== undefined, 'the evidence never arrived');
  assert.deepEqual(this.evidenceAtOwner, EVIDENCE);
});

const RUNS = {
  runs: 3,
  failures: 1,
  measured: 2,
  paceSumMs: 80.5,
  lost: 1,
  starts: { count: 2, sumMs: 900, squareSumMs2: 410_000, allowanceSumMs: 250 },
};

const ROLLOUT_EVIDENCE: RolloutEvidence = {
  service: 'shop',
  route: 'buy',
  orderRevision: 31,
  newRuns: RUNS,
  oldRuns: RUNS,
};

const DECISION: RolloutDecision = {
  service: 'shop',
  targetVersion: 'v2',
  orderRevision: 31,
  state: 'rolled-back',
  detail: 'slower',
};

When(
  'the peer sends evidence on a rollout and shares its decision',
  function when(this: LinkWorld) {
    assert.ok(this.peer.sendRolloutEvidence([ROLLOUT_EVIDENCE]));
    this.peer.shareRolloutDecision(DECISION);
  },
);

Then('the owner gets both', async function then(this: LinkWorld) {
  await waitUntil(() => this.decisionAtOwner !== undefined, 'the decision never arrived');
  assert.deepEqual(this.decisionAtOwner, DECISION);
  assert.deepEqual(this.rolloutEvidenceAtOwner, [ROLLOUT_EVIDENCE]);
});

const LEAVING: LeavingEvidence = { targetId: 'a', targetStart: 'a 1', agoMs: 40 };

When('the peer shares that a target was leaving 40 ms ago', function when(this: LinkWorld) {
  this.peer.shareLeavingEvidence([LEAVING]);
});

Then('the owner gets that evidence', async function then(this: LinkWorld) {
  await waitUntil(() => this.leavingAtOwner !== undefined, 'the evidence never arrived');
  assert.deepEqual(this.leavingAtOwner, [LEAVING]);
});
