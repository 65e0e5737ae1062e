import assert from 'node:assert/strict';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { CallBudget, StoreClient, type StoreTransport } from '@galenatiller/store';
import { ManualClock, TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

interface SlowReadsWorld {
  slowReadsClock: ManualClock;
  slowReadsClient: StoreClient;
  stopSlowReads: AbortController;
  readOutcome: 'read' | 'failed' | undefined;
  receivedChanges: number;
}

const HEADER = { revision: '2', cluster_id: '1' };
const ITEM = {
  key: Buffer.from('p/a').toString('base64'),
  value: Buffer.alloc(300, 'x').toString('base64'),
  mod_revision: '2',
  create_revision: '2',
};
const RANGE = JSON.stringify({ header: HEADER, kvs: [ITEM], count: '1' });
const CHANGE = `${JSON.stringify({
  result: { header: HEADER, events: [{ kv: ITEM }] },
})}\n`;

async function* sendParts(opts: {
  readonly timer: TimerService;
  readonly text: string;
  readonly count: number;
  readonly intervalMs: number;
  readonly stopAfter: number;
  readonly signal: AbortSignal;
}): AsyncGenerator<string, void, void> {
  const { timer, text, count, intervalMs, stopAfter, signal } = opts;
  const partLength = Math.ceil(text.length / count);
  for (let part = 0; part < count; part += 1) {
    await timer.sleep({ delayMs: part < stopAfter ? intervalMs : 60_000, signal });
    if (signal.aborted) {
      throw new Error('aborted');
    }
    yield text.slice(part * partLength, (part + 1) * partLength);
  }
}

Given(
  /^a store that sends its responses in (\d+) parts, one each (\d+) ms(?:, and stops after (\d+) of them)?$/,
  function given(
    this: SlowReadsWorld,
    parts: string,
    interval: string,
    stopAfter: string | undefined,
  ) {
    this.slowReadsClock = ManualClock.create({ startWallMs: 1_000_000 });
    const timer = TimerService.create({ clock: this.slowReadsClock });
    const transport: StoreTransport = ({ kind, signal }) =>
      Promise.resolve(
        Result.ok({
          status: 200,
          chunks: sendParts({
            timer,
            text: kind === 'watch' ? CHANGE : RANGE,
            count: Number(parts),
            intervalMs: Number(interval),
            stopAfter: Number(stopAfter ?? Infinity),
            signal,
          }),
        }),
      );
    this.stopSlowReads = new AbortController();
    this.slowReadsClient = StoreClient.create({
      transport,
      timer,
      budget: CallBudget.create({ timer, callsPerSecond: 100, maxBurstCalls: 10 }),
      random: () => 0.5,
    });
    this.readOutcome = undefined;
    this.receivedChanges = 0;
  },
);

After({ tags: '@slowReads' }, function after(this: SlowReadsWorld) {
  this.stopSlowReads.abort();
});

When('a prefix is read', function when(this: SlowReadsWorld) {
  this.slowReadsClient
    .readPrefix({ prefix: 'p/' })
    .then((read) => {
      this.readOutcome = read.isOk ? 'read' : 'failed';
    })
    .catch(assert.ifError);
});

When('a prefix is watched', function when(this: SlowReadsWorld) {
  const { signal } = this.stopSlowReads;
  const watch = this.slowReadsClient.watch({ prefix: 'p/', fromRevision: 1, signal });
  const receive = async (): Promise<void> => {
    for await (const event of watch) {
      this.receivedChanges += event.kind === 'put' ? 1 : 0;
    }
  };
  receive().catch(assert.ifError);
});

Then(
  /^it(?:s read)? has (been read|failed) after (\d+) ms$/,
  async function then(this: SlowReadsWorld, outcome: string, afterMs: string) {
    await this.slowReadsClock.advance({ byMs: Number(afterMs) });
    assert.equal(this.readOutcome, outcome === 'failed' ? 'failed' : 'read');
  },
);

Then(
  'it has received a change after {int} ms',
  async function then(this: SlowReadsWorld, afterMs: number) {
    await this.slowReadsClock.advance({ byMs: afterMs });
    assert.equal(this.receivedChanges, 1);
  },
);
