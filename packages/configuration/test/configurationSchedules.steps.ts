import assert from 'node:assert/strict';

import { Then } from '@cucumber/cucumber';
import { advanceUntil } from '@galenatiller/fakes';
import fc from 'fast-check';

import {
  createConfigurationFixture,
  createOrganisations,
  createOffer,
  publishAs,
  startNode,
  formatResult,
  getWeight,
} from './configurationFixture.js';

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
  'over {int} seeded fault schedules the revision of every node only increases and ends at the accepted one',
  async (numRuns: number) => {
    const property = fc.asyncProperty(fc.array(step, { maxLength: 14 }), async (schedule) => {
      const fixture = createConfigurationFixture();
      const offers = (): Promise<ReturnType<typeof createOffer>[]> =>
        Promise.resolve(fixture.nodes.filter(({ stop }) => !stop.signal.aborted).map(createOffer));
      startNode(fixture, offers);
      startNode(fixture, offers);
      const publications: Promise<{ weight: number; result: string }>[] = [];
      for (const [
        index,
        { forMs, publish: shouldPublish, restart, compact, ...faults },
      ] of schedule.entries()) {
        fixture.fakeStore.setFaults(faults);
        if (shouldPublish) {
          const rules = createOrganisations(5, { 1: index + 2 });
          const baseRevision = fixture.nodes[0]?.configuration.current().revision ?? 0;
          const publication = publishAs(fixture, {
            author: `author ${index}`,
            baseRevision,
            rules,
          });
          publications.push(
            publication.then((published) => ({
              weight: index + 2,
              result: formatResult(published),
            })),
          );
        }
        if (compact) {
          fixture.fakeStore.state.compact();
        }
        if (restart) {
          fixture.nodes[index % fixture.nodes.length]?.stop.abort();
          startNode(fixture, offers);
        }
        await fixture.clock.advance({ byMs: forMs });
      }
      fixture.fakeStore.setFaults({ outage: false, loseAnswers: 0, loseRequests: 0 });
      const outcomes = await advanceUntil(fixture.clock, Promise.all(publications));
      await fixture.clock.advance({ byMs: 15_000 });
      const final = startNode(fixture);
      await fixture.clock.advance({ byMs: 100 });
      const running = fixture.nodes.filter(({ stop }) => !stop.signal.aborted);
      fixture.nodes.forEach(({ revisions, stop }) => {
        stop.abort();
        assert.deepEqual(
          revisions,
          [...new Set(revisions)].sort((left, right) => left - right),
        );
      });
      const accepted = outcomes.filter((publication) => publication.result.startsWith('published'));
      accepted.forEach((publication) => {
        if (publication.result === `published ${final.configuration.current().revision}`) {
          assert.equal(getWeight(final, 1), publication.weight);
        }
      });
      assert.equal(
        new Set(accepted.map((publication) => publication.result)).size,
        accepted.length,
      );
      assert.ok(final.configuration.current().revision >= accepted.length);
      running.forEach((node) => {
        assert.equal(node.configuration.current().revision, final.configuration.current().revision);
        assert.equal(getWeight(node, 1), getWeight(final, 1));
      });
    });
    await fc.assert(property, { numRuns, seed: 23 });
  },
);
