import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { ManualClock, TimerService } from '@galenatiller/timer';

import { RouteTable } from '../src/routeTable.js';
import {
  CALL,
  CONFIGURATION,
  createChunks,
  createContext,
  createEvents,
  makeCall,
  respond,
  type RouterWorld,
  type SendScript,
  streamEvents,
} from './support.js';

Given(
  'a router with a route for each kind of call and the targets "a" and "b"',
  function given(this: RouterWorld) {
    this.routerClock = ManualClock.create({ startWallMs: 1_000_000 });
    this.routerTimer = TimerService.create({ clock: this.routerClock });
    this.routes = RouteTable.create();
    this.routes.update(CONFIGURATION);
    this.evidenceAgeMs = 100;
    this.maxRetries = 100;
    this.isTargetGone = false;
    this.probes = 0;
    this.noticeEvents = [];
    this.targetIds = undefined;
    this.scripts = [];
    this.fallback = (opts) => (opts.call.path.includes('stream') ? streamEvents(opts) : respond());
    this.sends = [];
    this.logged = [];
    this.pieceInputs = [];
    this.resultHandles = [];
    this.freedHandles = [];
    this.counted = [];
    this.pieceFailure = undefined;
    this.context = createContext(this);
  },
);

const broken: SendScript = () => ({ kind: 'broken', detail: 'reset' });

Given('the connection breaks during each call', function given(this: RouterWorld) {
  this.fallback = broken;
});

Given('the connection breaks during the first call', function given(this: RouterWorld) {
  this.scripts = [broken];
});

Given(
  /^(the first|each) send ends as "([^"]*)"$/,
  function given(this: RouterWorld, which: string, kind: 'refused') {
    const script: SendScript = () => ({ kind, detail: 'scripted' });
    if (which === 'each') {
      this.fallback = script;
    } else {
      this.scripts = [script];
    }
  },
);

Given(
  'each send ends as "refused" after {int} ms',
  function given(this: RouterWorld, delayMs: number) {
    this.fallback = async () => {
      await this.routerTimer.sleep({ delayMs });
      return { kind: 'refused', detail: 'scripted' };
    };
  },
);

Given(
  'the targets respond to each call without proof of origin',
  function given(this: RouterWorld) {
    this.fallback = () => respond({ isSealed: false });
  },
);

Given(
  'the targets respond to each call with status {int}',
  function given(this: RouterWorld, status: number) {
    this.fallback = () => respond({ status });
  },
);

Given('each response body is interrupted', function given(this: RouterWorld) {
  this.fallback = () => respond({ body: createChunks(['wh'], 'reset') });
});

Given(
  /^the first stream is interrupted (after|within) event (\d)$/,
  function given(this: RouterWorld, where: string, event: string) {
    const complete = createEvents(1, Number(event) - (where === 'within' ? 1 : 0));
    const partial = where === 'within' ? [`id: ${event}\ndata`] : [];
    this.scripts = [() => respond({ body: createChunks([...complete, ...partial], 'reset') })];
    this.fallback = streamEvents;
  },
);

Given('the targets never respond', function given(this: RouterWorld) {
  this.fallback = ({ signal }) =>
    new Promise((resolve) => {
      signal.addEventListener('abort', () => resolve({ kind: 'broken', detail: 'aborted' }));
    });
});

Given(
  'the evidence for the configuration is {int} ms old',
  function given(this: RouterWorld, ageMs: number) {
    this.evidenceAgeMs = ageMs;
  },
);

Given('a retry budget of {int}', function given(this: RouterWorld, retries: number) {
  this.maxRetries = retries;
  this.context = createContext(this);
});

Given('the stage workers fail', function given(this: RouterWorld) {
  this.pieceFailure = 'unreachable';
});

When(/^an? "([^"]*)" call is made$/, function when(this: RouterWorld, name: string) {
  return makeCall(this, { path: `/${name}/x` });
});

When(
  '{int} {string} calls are made',
  async function when(this: RouterWorld, calls: number, name: string) {
    for (let index = 0; index < calls; index += 1) {
      await makeCall(this, { path: `/${name}/x` });
    }
  },
);

When(
  'a {string} call with {int} and {int} pieces is made',
  function when(this: RouterWorld, name: string, first: number, second: number) {
    return makeCall(this, { path: `/${name}/x`, stagePieces: [first, second] });
  },
);

When('a call with an unknown key is made', function when(this: RouterWorld) {
  return makeCall(this, { bearerKey: 'other' });
});

When('a call to an unknown route is made', function when(this: RouterWorld) {
  return makeCall(this, { path: '/nowhere/x' });
});

When('the caller disconnects', async function when(this: RouterWorld) {
  this.received.disconnect.abort();
  await this.routerClock.advance({ byMs: 100 });
});

When('its deadline passes', async function when(this: RouterWorld) {
  await this.routerClock.advance({ byMs: CALL.callerTimeoutMs });
});

When(
  'the route table is updated to version 5 without routes after version 7',
  function when(this: RouterWorld) {
    assert.equal(this.routes.update({ ...CONFIGURATION, version: 5, routes: [] }), 'older');
  },
);

Then('configuration version {int} is active', function then(this: RouterWorld, version: number) {
  assert.equal(this.routes.currentConfiguration()?.version, version);
  assert.ok(this.routes.findRoute({ host: 'shop.example', path: '/safe/x' }));
});

Then('the caller gets {int} from the target', function then(this: RouterWorld, status: number) {
  assert.equal(this.received.head?.status, status, this.received.refusal?.message);
  assert.deepEqual(this.received.head.passedHeaders, ['X-From', 'target']);
  assert.equal(this.received.isEnded, true);
});

function getRefusalStatus(world: RouterWorld): number {
  const { refusal, head } = world.received;
  assert.equal(head, undefined, 'a response has started');
  assert.ok(refusal, 'no response yet');
  const statuses: Readonly<Record<string, number>> = {
    'unknown-route': 404,
    unauthorized: 401,
    'malformed-header': 400,
    'target-failed': 502,
    'deadline-exceeded': 504,
    'fingerprint-stopped': 422,
  };
  const status = statuses[refusal.codeName] ?? 503;
  assert.equal(refusal.outcome === 'not-run', status !== 502 && status !== 504, refusal.message);
  return status;
}

Then('the caller gets {int}', function then(this: RouterWorld, status: number) {
  assert.equal(getRefusalStatus(this), status);
});

Then('the caller gets 503 with a time to retry', function then(this: RouterWorld) {
  assert.equal(getRefusalStatus(this), 503);
  assert.ok((this.received.refusal?.retryAfterMs ?? 0) > 0);
});

Then(
  'after {int} ms the caller gets {int}',
  async function then(this: RouterWorld, withinMs: number, status: number) {
    // Making the call has already advanced the clock by 400 ms.
    await this.routerClock.advance({ byMs: withinMs - 400 });
    assert.equal(getRefusalStatus(this), status);
  },
);

Then(/^the targets got (\d+) sends?$/, function then(this: RouterWorld, sends: string) {
  assert.equal(this.sends.length, Number(sends));
});

Given('the stage workers are busy', function given(this: RouterWorld) {
  this.pieceFailure = 'busy';
});

Then(
  'the caller gets 503 and should retry after {int} ms',
  function then(this: RouterWorld, retryAfterMs: number) {
    assert.equal(this.received.refusal?.outcome, 'not-run');
    assert.equal(this.received.refusal.retryAfterMs, retryAfterMs);
  },
);

Then(
  'the targets got {int} sends to different targets',
  function then(this: RouterWorld, sends: number) {
    assert.equal(this.sends.length, sends);
    assert.equal(new Set(this.sends.map(({ target }) => target.id)).size, sends);
  },
);

Then('the targets got at most {int} sends', function then(this: RouterWorld, max: number) {
  assert.ok(this.sends.length <= max, `${this.sends.length} sends`);
});

Then(
  /^the caller gets the events 1 to (\d)( once each)? and an? (complete|aborted) response$/,
  function then(this: RouterWorld, last: string, _once: string | undefined, end: string) {
    assert.equal(this.received.bytes, createEvents(1, Number(last)).join(''));
    assert.equal(this.received.isEnded, end === 'complete');
    assert.equal(this.received.isAborted, end === 'aborted');
  },
);

Then('the second send resumes after event {int}', function then(this: RouterWorld, event: number) {
  assert.equal(this.sends[1]?.lastEventId, String(event));
  assert.notEqual(this.sends[0]?.target.id, this.sends[1].target.id);
});

Then('the send to the target is cancelled', function then(this: RouterWorld) {
  assert.equal(this.sends[0]?.signal.aborted, true);
});

Then('the send to the target is not cancelled', function then(this: RouterWorld) {
  assert.equal(this.sends[0]?.signal.aborted, false);
});

Then(
  "the second stage's pieces got the {int} results of the first",
  function then(this: RouterWorld, results: number) {
    assert.deepEqual(this.pieceInputs[1], this.resultHandles.slice(0, results));
  },
);

Then(
  'the target got the {int} results of the second stage',
  function then(this: RouterWorld, results: number) {
    assert.deepEqual(this.sends[0]?.inputs, this.resultHandles.slice(-results));
  },
);

Then('every result is freed once', function then(this: RouterWorld) {
  assert.deepEqual([...this.freedHandles].sort(), [...this.resultHandles].sort());
});

Then(
  /^the path "([^"]*)" goes to (?:the route "([^"]*)"|no route)$/,
  function then(this: RouterWorld, path: string, name: string | undefined) {
    assert.equal(
      this.routes.findRoute({ host: 'shop.example', path })?.route.name,
      name ?? undefined,
    );
  },
);

Then('no more sends follow', async function then(this: RouterWorld) {
  const sends = this.sends.length;
  assert.ok(sends < 6, 'the call ended before its caller disconnected');
  await this.routerClock.advance({ byMs: 1_000 });
  assert.equal(this.sends.length, sends);
});

Given(
  /^the response to each "[^"]*" call is bytes (?:that are no event )?without end$/,
  function given(this: RouterWorld) {
    this.readBytes = 0;
    const chunk = Buffer.alloc(65_536, 'x');
    const countRead = (bytes: number): void => {
      this.readBytes += bytes;
    };
    async function* createEndlessBody(): AsyncGenerator<Buffer> {
      // Without the limit the test ends here instead of running out of memory.
      for (let chunks = 0; chunks < 1_000; chunks += 1) {
        countRead(chunk.length);
        yield chunk;
      }
    }
    this.fallback = () => respond({ bodyEnd: 'last-chunk', body: createEndlessBody() });
  },
);

Then('at most {int} MB were read', function then(this: RouterWorld, megabytes: number) {
  assert.ok(this.readBytes <= megabytes * 1_000_000, String(this.readBytes));
});
