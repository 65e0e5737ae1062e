import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { decodeTargetNotice } from '@galenatiller/http';
import { type TargetNoticeEvent, TargetNotices, type TargetStart } from '@galenatiller/target';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { LeavingEvidence } from '@galenatiller/types';

interface NoticeWorld {
  noticeClock: ManualClock;
  notices: TargetNotices;
  noticeEvents: TargetNoticeEvent[];
  passedOn: LeavingEvidence[];
  waiting: number;
}

const STEP_MS = 5;

function toStart(targetId: string, start: number): TargetStart {
  return {
    targetId,
    start: `${targetId} ${start}`,
    address: `10.0.0.1:${targetId.charCodeAt(0)}`,
    isStartKnown: start > 0,
  };
}

Given('a node that follows the notices of targets', function given(this: NoticeWorld) {
  this.noticeClock = ManualClock.create({ startWallMs: 1_000_000 });
  this.noticeEvents = [];
  this.passedOn = [];
  this.waiting = 0;
  this.notices = TargetNotices.create({
    timer: TimerService.create({ clock: this.noticeClock }),
    random: () => 0,
    share: (evidence) => this.passedOn.push(...evidence),
    onEvent: (event) => this.noticeEvents.push(event),
  });
});

function sayLeaving(world: NoticeWorld, id: string, start: number): void {
  const notice = { isLeaving: true };
  world.notices.record({ target: toStart(id, start), notice, source: 'call' });
}

When(
  'start {int} of target {string} says that it is leaving',
  function when(this: NoticeWorld, start: number, id: string) {
    sayLeaving(this, id, start);
  },
);

When(
  'target {string}, whose start is not known, says that it is leaving',
  function when(this: NoticeWorld, id: string) {
    sayLeaving(this, id, 0);
  },
);

When(
  'start {int} of target {string} is registered',
  function when(this: NoticeWorld, start: number, id: string) {
    this.notices.onRegistered([toStart(id, start)]);
  },
);

When(
  'another node says that start {int} of target {string} was leaving {int} ms ago',
  function when(this: NoticeWorld, start: number, targetId: string, agoMs: number) {
    this.notices.mergeLeaving([{ targetId, targetStart: toStart(targetId, start).start, agoMs }]);
  },
);

function respond(world: NoticeWorld, id: string, status: number, text: string): void {
  const notice = decodeTargetNotice({ status, leaving: '', retryAfter: text });
  world.notices.record({ target: toStart(id, 1), notice, source: 'call' });
}

When(
  'target {string} turns a call away and wants nothing for {string}',
  function when(this: NoticeWorld, id: string, text: string) {
    respond(this, id, 503, text);
  },
);

When(
  'target {string} responds with status {int} and wants nothing for {string}',
  function when(this: NoticeWorld, id: string, status: number, text: string) {
    respond(this, id, status, text);
  },
);

Then(
  /^(?:after (\d+) ms )?(?:start (\d) of )?target "([^"]*)"(?:, whose start is not known,)? (may|may not) be sent to$/,
  async function then(
    this: NoticeWorld,
    delayMs: string | undefined,
    start: string | undefined,
    id: string,
    expected: string,
  ) {
    await this.noticeClock.advance({ byMs: Number(delayMs ?? 0) });
    const target = toStart(id, Number(start ?? 0));
    assert.equal(this.notices.canSend(target), expected === 'may');
  },
);

Then('the node has reported {string}', function then(this: NoticeWorld, kinds: string) {
  assert.equal(this.noticeEvents.map(({ kind }) => kind).join(', '), kinds);
});

Then('{int} targets are leaving', function then(this: NoticeWorld, leaving: number) {
  assert.equal(this.notices.counts().leaving, leaving);
});

Then('the node has passed on {string} once', function then(this: NoticeWorld, id: string) {
  assert.deepEqual(
    this.passedOn.map(({ targetId }) => targetId),
    [id],
  );
});

Then('the node has passed on nothing', function then(this: NoticeWorld) {
  assert.equal(this.notices.counts().paused, 1);
  assert.deepEqual(this.passedOn, []);
  assert.deepEqual(this.notices.currentLeaving(), []);
});

Then(
  'after {int} ms a node that joins is told that {string} was leaving {int} ms ago',
  async function then(this: NoticeWorld, delayMs: number, targetId: string, agoMs: number) {
    await this.noticeClock.advance({ byMs: delayMs });
    const targetStart = toStart(targetId, 1).start;
    assert.deepEqual(this.notices.currentLeaving(), [{ targetId, targetStart, agoMs }]);
  },
);

Then(
  'target {string} is paused for {int} ms, which is {string}',
  async function then(this: NoticeWorld, id: string, pauseMs: number, bound: string) {
    const [event] = this.noticeEvents;
    assert.ok(event && 'bound' in event, 'the pause was not reported');
    assert.equal(event.bound, bound);
    assert.equal(event.forMs, pauseMs);
    assert.equal(this.notices.firstReturnMs([toStart(id, 1)]), pauseMs);
    await this.noticeClock.advance({ byMs: pauseMs });
    assert.equal(this.notices.canSend(toStart(id, 1)), true);
  },
);

async function sendWhenAllowed(world: NoticeWorld, forMs: number): Promise<number> {
  const target = toStart('a', 1);
  let sends = 0;
  for (let passedMs = 0; passedMs < forMs; passedMs += STEP_MS) {
    while (world.waiting > 0 && world.notices.canSend(target)) {
      world.notices.recordSent(target);
      world.waiting -= 1;
      sends += 1;
    }
    await world.noticeClock.advance({ byMs: STEP_MS });
  }
  return sends;
}

Then(
  /^(\d+) callers that wait for it send (nothing|all|at most \d+) in (\d+) ms$/,
  async function then(this: NoticeWorld, callers: string, expected: string, forMs: string) {
    this.waiting = Number(callers);
    const sends = await sendWhenAllowed(this, Number(forMs));
    if (expected === 'all') {
      assert.equal(this.waiting, 0);
      return;
    }
    const most = Number(/\d+/.exec(expected)?.[0] ?? 0);
    assert.ok(sends <= most, `${sends} sends`);
    assert.equal(sends > 0, most > 0);
  },
);

Then(
  /^(?:after (\d+) ms )?(\d+) of (\d+) checks of target "([^"]*)" (?:is|are) made$/,
  async function then(
    this: NoticeWorld,
    delayMs: string | undefined,
    made: string,
    wanted: string,
    id: string,
  ) {
    await this.noticeClock.advance({ byMs: Number(delayMs ?? 0) });
    const checks = Array.from({ length: Number(wanted) }, () =>
      this.notices.tryProbe(toStart(id, 1)),
    );
    assert.equal(checks.filter(Boolean).length, Number(made));
  },
);
