import assert from 'node:assert/strict';
import { getEventListeners } from 'node:events';

import { Given, Then, When } from '@cucumber/cucumber';
import { linkAborts, type LinkedAbort } from '@galenatiller/tasks';

interface LinkWorld {
  others: AbortController[];
  linked: LinkedAbort;
}

function createOthers(world: LinkWorld, count: number): void {
  world.others = Array.from({ length: count }, () => new AbortController());
}

function link(world: LinkWorld): void {
  world.linked = linkAborts(world.others.map(({ signal }) => signal));
}

Given('a signal that is linked to {int} others', function given(this: LinkWorld, count: number) {
  createOthers(this, count);
  link(this);
});

Given(
  '{int} signals, of which other {int} aborts',
  function given(this: LinkWorld, count: number, number: number) {
    createOthers(this, count);
    this.others[number - 1]?.abort();
  },
);

When('a signal is linked to them', function when(this: LinkWorld) {
  link(this);
});

When('other {int} aborts', function when(this: LinkWorld, number: number) {
  this.others[number - 1]?.abort();
});

When('it is released', function when(this: LinkWorld) {
  this.linked.release();
});

Then('the linked signal has aborted', function then(this: LinkWorld) {
  assert.ok(this.linked.signal.aborted);
});

Then('the others have {int} listeners', function then(this: LinkWorld, listeners: number) {
  const counts = this.others.map(({ signal }) => getEventListeners(signal, 'abort').length);
  assert.deepEqual(counts, [listeners, listeners]);
});
