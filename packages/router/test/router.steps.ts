import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { ManualClock, TimerService } from '@galenatiller/timer';

import { RouteTable } from '../src/routeTable.js';
import {
  answered,
  call,
  chunks,
  CONFIGURATION,
  createContext,
  events,
  type Reply,
  type RouterWorld,
  stream,
} from './support.js';

Given(
  'a router with a route for each kind of call and the targets "a" and "b"',
  function given(this: RouterWorld) {
    this.routerClock = ManualClock.create({ startWallMs: 1_000_000 });
    this.routerTimer = TimerService.create({ clock: this.routerClock });
    this.routes = RouteTable.create();
    this.routes.update(CONFIGURATION);
    this.evidenceAgeMs = 100;
    this.repeatLimit = 100;
    this.replies = [];
    this.always = (opts) => (opts.call.path.includes('stream') ? stream(opts) : answered());
    this.sends = [];
    this.pieceInputs = [];
    this.made = [];
    this.freed = [];
    this.stagesFailAs = undefined;
    this.context = createContext(this);
  },
);

const broken: Reply = () => ({ kind: 'broken', detail: 'reset' });

Given('the targets break off each call', function given(this: RouterWorld) {
  this.always = broken;
});

Given('the targets break off the first call', function given(this: RouterWorld) {
  this.replies = [broken];
});

Given(
  /^the targets answer (the first|each) call with "([^"]*)"$/,
  function given(this: RouterWorld, which: string, kind: 'refused') {
    const reply: Reply = () => ({ kind, detail: 'scripted' });
    if (which === 'each') {
      this.always = reply;
    } else {
      this.replies = [reply];
    }
  },
);

Given('the targets answer each call without proof of origin', function given(this: RouterWorld) {
  this.always = () => answered({ isSealed: false });
});

Given(
  'the targets answer each call with status {int}',
  function given(this: RouterWorld, status: number) {
    this.always = () => answered({ status });
  },
);

Given('the targets break off each body', function given(this: RouterWorld) {
  this.always = () => answered({ body: chunks(['wh'], 'reset') });
});

Given(
  /^the targets break off the first stream (after|within) event (\d)$/,
  function given(this: RouterWorld, where: string, event: string) {
    const whole = events(1, Number(event) - (where === 'within' ? 1 : 0));
    const part = where === 'within' ? [`id: ${event}\ndata`] : [];
    this.replies = [() => answered({ body: chunks([...whole, ...part], 'reset') })];
    this.always = stream;
  },
);

Given('the targets never answer', function given(this: RouterWorld) {
  this.always = ({ signal }) =>
    new Promise((resolve) => {
      signal.addEventListener('abort', () => resolve({ kind: 'broken', detail: 'aborted' }));
    });
});

Given(
  'the newest proof of the configuration is {int} ms old',
  function given(this: RouterWorld, ageMs: number) {
    this.evidenceAgeMs = ageMs;
  },
);

Given('a budget of {int} repeats', function given(this: RouterWorld, repeats: number) {
  this.repeatLimit = repeats;
  this.context = createContext(this);
});

Given('the stage workers fail', function given(this: RouterWorld) {
  this.stagesFailAs = 'unreachable';
});

When(/^an? "([^"]*)" call is made$/, function when(this: RouterWorld, name: string) {
  return call(this, { path: `/${name}/x` });
});

When(
  '{int} {string} calls are made',
  async function when(this: RouterWorld, calls: number, name: string) {
    for (let index = 0; index < calls; index += 1) {
      await call(this, { path: `/${name}/x` });
    }
  },
);

When(
  'a {string} call with {int} and {int} pieces is made',
  function when(this: RouterWorld, name: string, first: number, second: number) {
    return call(this, { path: `/${name}/x`, stagePieces: [first, second] });
  },
);

When('a call with an unknown key is made', function when(this: RouterWorld) {
  return call(this, { bearerKey: 'other' });
});

When('a call to an unknown route is made', function when(this: RouterWorld) {
  return call(this, { path: '/nowhere/x' });
});

When('the caller leaves', async function when(this: RouterWorld) {
  this.seen.leave.abort();
  await this.routerClock.advance({ byMs: 100 });
});

When(
  'configuration version 5 without routes is offered after version 7',
  function when(this: RouterWorld) {
    assert.equal(this.routes.update({ ...CONFIGURATION, version: 5, routes: [] }), 'older');
  },
);

Then('version {int} is in force', function then(this: RouterWorld, version: number) {
  assert.equal(this.routes.currentConfiguration()?.version, version);
  assert.ok(this.routes.findRoute({ host: 'shop.example', path: '/safe/x' }));
});

Then('the caller gets {int} from the target', function then(this: RouterWorld, status: number) {
  assert.equal(this.seen.head?.status, status, this.seen.refusal?.message);
  assert.deepEqual(this.seen.head.passedHeaders, ['X-From', 'target']);
  assert.equal(this.seen.isEnded, true);
});

function refusalStatus(world: RouterWorld): number {
  const { refusal, head } = world.seen;
  assert.equal(head, undefined, 'an answer has begun');
  assert.ok(refusal, 'no answer yet');
  const statuses: Readonly<Record<string, number>> = {
    'unknown-route': 404,
    unauthorized: 401,
    'target-failed': 502,
    'deadline-exceeded': 504,
  };
  const status = statuses[refusal.codeName] ?? 503;
  assert.equal(refusal.outcome === 'not-run', status !== 502 && status !== 504, refusal.message);
  return status;
}

Then('the caller gets {int}', function then(this: RouterWorld, status: number) {
  assert.equal(refusalStatus(this), status);
});

Then('the caller gets 503 with a time to come back', function then(this: RouterWorld) {
  assert.equal(refusalStatus(this), 503);
  assert.ok((this.seen.refusal?.retryAfterMs ?? 0) > 0);
});

Then(
  'after {int} ms the caller gets {int}',
  async function then(this: RouterWorld, withinMs: number, status: number) {
    await this.routerClock.advance({ byMs: withinMs - 400 });
    assert.equal(refusalStatus(this), status);
  },
);

Then(/^the targets got (\d+) sends?$/, function then(this: RouterWorld, sends: string) {
  assert.equal(this.sends.length, Number(sends));
});

Given('the stage workers are busy', function given(this: RouterWorld) {
  this.stagesFailAs = 'busy';
});

Then(
  'the caller gets 503 and should come back after {int} ms',
  function then(this: RouterWorld, retryAfterMs: number) {
    assert.equal(this.seen.refusal?.outcome, 'not-run');
    assert.equal(this.seen.refusal.retryAfterMs, retryAfterMs);
  },
);

Then(
  'the targets got {int} sends to different targets',
  function then(this: RouterWorld, sends: number) {
    assert.equal(this.sends.length, sends);
    assert.equal(new Set(this.sends.map(({ target }) => target.id)).size, sends);
  },
);

Then('the targets got at most {int} sends', function then(this: RouterWorld, most: number) {
  assert.ok(this.sends.length <= most, `${this.sends.length} sends`);
});

Then(
  /^the caller gets the events 1 to (\d)( once each)? and a (whole|cut) answer$/,
  function then(this: RouterWorld, last: string, _once: string | undefined, end: string) {
    assert.equal(this.seen.bytes, events(1, Number(last)).join(''));
    assert.equal(this.seen.isEnded, end === 'whole');
    assert.equal(this.seen.isCut, end === 'cut');
  },
);

Then('the second send resumes after event {int}', function then(this: RouterWorld, event: number) {
  assert.equal(this.sends[1]?.lastEventId, String(event));
  assert.notEqual(this.sends[0]?.target.id, this.sends[1].target.id);
});

Then('the target has been told to stop', function then(this: RouterWorld) {
  assert.equal(this.sends[0]?.signal.aborted, true);
});

Then('the target has not been told to stop', function then(this: RouterWorld) {
  assert.equal(this.sends[0]?.signal.aborted, false);
});

Then(
  "the second stage's pieces got the {int} results of the first",
  function then(this: RouterWorld, results: number) {
    assert.deepEqual(this.pieceInputs[1], this.made.slice(0, results));
  },
);

Then(
  'the target got the {int} results of the second stage',
  function then(this: RouterWorld, results: number) {
    assert.deepEqual(this.sends[0]?.inputs, this.made.slice(-results));
  },
);

Then('every result is freed once', function then(this: RouterWorld) {
  assert.deepEqual([...this.freed].sort(), [...this.made].sort());
});

Then(
  /^the path "([^"]*)" goes to (?:the route "([^"]*)"|no route)$/,
  function then(this: RouterWorld, path: string, name: string | undefined) {
    assert.equal(this.routes.findRoute({ host: 'shop.example', path })?.name, name ?? undefined);
  },
);
