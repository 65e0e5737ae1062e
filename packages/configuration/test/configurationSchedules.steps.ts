import assert from 'node:assert/strict';

import { Then } from '@cucumber/cucumber';
import { advanceUntil } from '@galenatiller/fakes';
import fc from 'fast-check';

import {
  createConfigurationBench,
  makeOrganisations,
  offerOf,
  publishAs,
  startNode,
  tellPublication,
  weightOn,
} from './configurationBench.js';

const step = fc.record({
  loseAnswers: fc.nat(2),
  loseRequests: fc.nat(2),
  outage: fc.boolean(),
  publish: fc.boolean(),
  restart: fc.boolean(),
  compact: fc.boolean(),
  forMs: fc.nat(2_000),
});

Then(
  'over {int} seeded schedules every node goes up only, to what was accepted',
  async (numRuns: number) => {
    const property = fc.asyncProperty(fc.array(step, { maxLength: 14 }), async (schedule) => {
      const bench = createConfigurationBench();
      const offers = (): Promise<ReturnType<typeof offerOf>[]> =>
        Promise.resolve(bench.nodes.filter(({ stop }) => !stop.signal.aborted).map(offerOf));
      startNode(bench, offers);
      startNode(bench, offers);
      const tries: Promise<{ weight: number; told: string }>[] = [];
      for (const [
        index,
        { forMs, publish: due, restart, compact, ...faults },
      ] of schedule.entries()) {
        bench.fake.order(faults);
        if (due) {
          const rules = makeOrganisations(5, { 1: index + 2 });
          const baseRevision = bench.nodes[0]?.held.current().revision ?? 0;
          const published = publishAs(bench, { author: `author ${index}`, baseRevision, rules });
          tries.push(
            published.then((result) => ({ weight: index + 2, told: tellPublication(result) })),
          );
        }
        if (compact) {
          bench.fake.core.compact();
        }
        if (restart) {
          bench.nodes[index % bench.nodes.length]?.stop.abort();
          startNode(bench, offers);
        }
        await bench.clock.advance({ byMs: forMs });
      }
      bench.fake.order({ outage: false, loseAnswers: 0, loseRequests: 0 });
      const told = await advanceUntil(bench.clock, Promise.all(tries));
      await bench.clock.advance({ byMs: 15_000 });
      const final = startNode(bench);
      await bench.clock.advance({ byMs: 100 });
      const running = bench.nodes.filter(({ stop }) => !stop.signal.aborted);
      bench.nodes.forEach(({ revisions, stop }) => {
        stop.abort();
        assert.deepEqual(
          revisions,
          [...new Set(revisions)].sort((left, right) => left - right),
        );
      });
      const accepted = told.filter((publication) => publication.told.startsWith('published'));
      accepted.forEach((publication) => {
        if (publication.told === `published ${final.held.current().revision}`) {
          assert.equal(weightOn(final, 1), publication.weight);
        }
      });
      assert.equal(new Set(accepted.map((publication) => publication.told)).size, accepted.length);
      assert.ok(final.held.current().revision >= accepted.length);
      running.forEach((node) => {
        assert.equal(node.held.current().revision, final.held.current().revision);
        assert.equal(weightOn(node, 1), weightOn(final, 1));
      });
    });
    await fc.assert(property, { numRuns, seed: 23 });
  },
);
