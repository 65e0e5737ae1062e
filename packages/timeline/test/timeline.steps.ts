import assert from 'node:assert/strict';

import { Given, Then } from '@cucumber/cucumber';
import {
  compareTimestamps,
  explainRequest,
  HybridClock,
  MAX_CLOCK_DRIFT_MS,
  mergeTimelines,
  renderTimelineSvg,
  Timeline,
  type TimelineQuery,
} from '@galenatiller/timeline';
import { type Clock, ManualClock, TimerService } from '@galenatiller/timer';
import type { HybridTimestamp, TimelineEvent, TimelineEventKind } from '@galenatiller/types';
import fc from 'fast-check';

interface TimelineWorld {
  timeline: Timeline;
}

interface ClockStep {
  readonly wallMs: number;
  readonly received: HybridTimestamp | undefined;
}

const PROPERTY = { seed: 20261204, numRuns: 300 };
const anyStamp = fc.record({
  wallMs: fc.oneof(fc.nat(1_000), fc.nat(10 * MAX_CLOCK_DRIFT_MS)),
  counter: fc.nat(9),
});
const anyStep: fc.Arbitrary<ClockStep> = fc.record({
  wallMs: fc.oneof(fc.nat(1_000), fc.nat(2 * MAX_CLOCK_DRIFT_MS)),
  received: fc.option(anyStamp, { nil: undefined }),
});

Given('any sequence of wall clock times with received timestamps', () => {});

Then('each timestamp is later than the previous one and than every merged one', () => {
  forEachClockSequence((stamps, merged) => {
    stamps.slice(1).forEach((stamp, index) => {
      assert.ok(compareTimestamps(stamp, stamps[index] as HybridTimestamp) > 0);
    });
    merged.forEach(({ stamp, after }) => assert.ok(compareTimestamps(after, stamp) > 0));
  });
});

Then('no timestamp is ahead of the wall clocks by more than the drift limit', () => {
  forEachClockSequence((stamps, _, maxWallMs) => {
    stamps.forEach((stamp, index) => {
      assert.ok(stamp.wallMs <= (maxWallMs[index] ?? 0) + MAX_CLOCK_DRIFT_MS);
    });
  });
});

Given('any exchange of messages between nodes whose clocks differ', () => {});

Then('the merged timeline has each cause before its effect, each event once', () => {
  const anyMessage = fc.record({ from: fc.nat(2), to: fc.nat(2), byMs: fc.nat(3) });
  const anySkews = fc.tuple(fc.nat(999), fc.nat(999), fc.nat(999));
  fc.assert(
    fc.property(
      fc.array(anyMessage, { maxLength: 40, size: 'max' }),
      anySkews,
      (messages, skews) => {
        let timeMs = 0;
        const nodes = skews.map((skewMs, index) =>
          createTimeline(`n${index}`, { wallMs: () => timeMs + skewMs }),
        );
        messages.forEach(({ from, to, byMs }, index) => {
          timeMs += byMs;
          nodes[from]?.record({ kind: 'stage-sent', requestId: `${index}` });
          nodes[to]?.clock.merge((nodes[from] as Timeline).clock.now());
          nodes[to]?.record({ kind: 'stage-started', requestId: `${index}` });
        });
        const lists = nodes.map((node) => node.query({}));
        const merged = mergeTimelines([...lists, ...lists]);
        assert.equal(merged.length, messages.length * 2);
        messages.forEach((_, index) => {
          const kinds = merged.filter((event) => event.requestId === `${index}`);
          assert.deepEqual(
            kinds.map((event) => event.kind),
            ['stage-sent', 'stage-started'],
          );
        });
      },
    ),
    PROPERTY,
  );
});

Given('any number of events recorded in ring buffers of any capacity', () => {});

Then('the ring buffer holds the latest of them in order and counts the others', () => {
  fc.assert(
    fc.property(fc.nat(50), fc.integer({ min: 1, max: 20 }), (count, capacity) => {
      const timeline = createTimeline('n', { capacity });
      const ids = Array.from({ length: count }, (_, index) => `${index}`);
      ids.forEach((requestId) => {
        timeline.record({ kind: 'stage-sent', requestId });
      });
      const kept = timeline.query({}).map((event) => event.requestId);
      assert.deepEqual(kept, ids.slice(-capacity));
      assert.equal(timeline.dropped, Math.max(0, count - capacity));
    }),
    PROPERTY,
  );
});

Given(
  'a timeline of the node {string} with two requests',
  async function given(this: TimelineWorld, nodeName: string) {
    const clock = ManualClock.create({ startWallMs: 1_000 });
    const timer = TimerService.create({ clock });
    this.timeline = Timeline.create({ nodeName, timer, capacity: 10 });
    this.timeline.record({ kind: 'request-accepted', requestId: 'r1', subject: 'loans' });
    await clock.advance({ byMs: 5 });
    const detail = 'target writer-1';
    this.timeline.record({ kind: 'stage-sent', requestId: 'r1', subject: 'draft', detail });
    this.timeline.record({ kind: 'request-accepted', requestId: 'r2' });
    this.timeline.record({ kind: 'request-refused', requestId: 'r2' });
    await clock.advance({ byMs: 20 });
    this.timeline.record({ kind: 'stage-ended', requestId: 'r1', subject: 'draft' });
    this.timeline.record({ kind: 'request-answered', requestId: 'r1', subject: 'loans' });
  },
);

Then(
  'its query by request {string} gives {string}',
  function then(this: TimelineWorld, requestId: string, kinds: string) {
    assert.equal(queryKinds(this.timeline, { requestId }), kinds);
  },
);

Then(
  'its query by subject {string} gives {string}',
  function then(this: TimelineWorld, subject: string, kinds: string) {
    assert.equal(queryKinds(this.timeline, { subject }), kinds);
  },
);

Then(
  'its query by kind {string} gives {string}',
  function then(this: TimelineWorld, kind: TimelineEventKind, kinds: string) {
    assert.equal(queryKinds(this.timeline, { kinds: [kind] }), kinds);
  },
);

Then(
  'its query since its third event gives {string}',
  function then(this: TimelineWorld, kinds: string) {
    const third = this.timeline.query({})[2] as TimelineEvent;
    assert.equal(queryKinds(this.timeline, { afterTimestamp: third.stamp }), kinds);
  },
);

Then(
  'the request {string} is explained as',
  function then(this: TimelineWorld, requestId: string, sentences: string) {
    const events = this.timeline.query({ requestId });
    assert.equal(explainRequest([...events].reverse()).join('\n'), sentences);
  },
);

Given('any names in the events of an SVG image', () => {});

Then('every tag of the SVG image is closed and no name opens one', () => {
  const anyName = fc.oneof(fc.string(), fc.constantFrom('</title><x>', '"/>', '&', '\u0000'));
  fc.assert(
    fc.property(fc.array(fc.record({ requestId: anyName, subject: anyName })), (records) => {
      const timeline = createTimeline('<n>', {});
      records.forEach((record) => {
        timeline.record({ kind: 'stage-sent', ...record });
      });
      const svg = renderTimelineSvg(timeline.query({}));
      const openedTags = svg.match(/<(svg|text|polyline|circle|title)\b[^>]*>/g) ?? [];
      const closedTags = svg.match(/<\/(svg|text|polyline|circle|title)>/g) ?? [];
      assert.equal(openedTags.length, closedTags.length);
      assert.equal((svg.match(/<circle/g) ?? []).length, records.length);
      assert.ok(!/<[xn]|&(?!#\d+;)|\p{Cc}/u.test(svg.replaceAll('\n', '')));
    }),
    PROPERTY,
  );
});

interface MergedStamp {
  readonly stamp: HybridTimestamp;
  readonly after: HybridTimestamp;
}

function forEachClockSequence(
  check: (stamps: HybridTimestamp[], merged: MergedStamp[], maxWallMs: number[]) => void,
): void {
  fc.assert(
    fc.property(fc.array(anyStep, { maxLength: 40, size: 'max' }), (steps) => {
      let wallMs = 0;
      const timer = TimerService.create({ clock: createWallClock(() => wallMs) });
      const clock = HybridClock.create({ timer });
      const merged: MergedStamp[] = [];
      const stamps = steps.map((step) => {
        wallMs = step.wallMs;
        const { received } = step;
        if (received) {
          clock.merge(received);
        }
        const after = clock.now();
        if (received && received.wallMs <= wallMs + MAX_CLOCK_DRIFT_MS) {
          merged.push({ stamp: received, after });
        }
        return after;
      });
      const maxima = steps.map((_, index) =>
        Math.max(...steps.slice(0, index + 1).map((step) => step.wallMs)),
      );
      check(stamps, merged, maxima);
    }),
    PROPERTY,
  );
}

function createTimeline(
  nodeName: string,
  opts: { readonly wallMs?: () => number; readonly capacity?: number },
): Timeline {
  const timer = TimerService.create({ clock: createWallClock(opts.wallMs ?? (() => 0)) });
  return Timeline.create({ nodeName, timer, capacity: opts.capacity ?? 1_000 });
}

function createWallClock(wallMs: () => number): Clock {
  return { nowMs: wallMs, wallMs, arm: () => () => {} };
}

function queryKinds(timeline: Timeline, query: TimelineQuery): string {
  return timeline
    .query(query)
    .map((event) => event.kind)
    .join(' ');
}
