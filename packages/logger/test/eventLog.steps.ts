import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { createEventLog, type EventLog } from '@galenatiller/logger';

interface LogWorld {
  eventLog: EventLog;
  nowMs: number;
  logLines: string[];
  droppedLines: number;
  isBufferFull: boolean;
}

Given('an event log of the node {string}', function given(this: LogWorld, node: string) {
  this.nowMs = 10_000;
  this.logLines = [];
  this.droppedLines = 0;
  this.isBufferFull = false;
  this.eventLog = createEventLog({
    node,
    nowMs: () => this.nowMs,
    wallMs: () => 1_700_000_000_000,
    write: (line) => {
      if (!this.isBufferFull) {
        this.logLines.push(line);
      }
      return !this.isBufferFull;
    },
    onDropped: () => {
      this.droppedLines += 1;
    },
  });
});

Given('its buffer is full', function given(this: LogWorld) {
  this.isBufferFull = true;
});

When(
  'the decision {string} on the request {string} ends as {string}',
  function when(this: LogWorld, event: string, requestId: string, outcome: string) {
    this.eventLog({ about: 'decision', event, requestId, outcome });
  },
);

When(
  'the decision {string} on a request with an id of {int} characters ends as {string}',
  function when(this: LogWorld, event: string, length: number, outcome: string) {
    this.eventLog({ about: 'decision', event, requestId: 'x'.repeat(length), outcome });
  },
);

Then('its line has at most {int} characters', function then(this: LogWorld, length: number) {
  const [line = ''] = this.logLines;
  assert.ok(line.length > 0 && line.length <= length, String(line.length));
});

When('{int} decisions are logged within a second', function when(this: LogWorld, lines: number) {
  Array.from({ length: lines }).forEach(() => {
    this.eventLog({ about: 'decision', event: 'attempt' });
  });
});

When("a change of the node's view is logged", function when(this: LogWorld) {
  this.eventLog({ about: 'belief', event: 'target' });
});

When('a second has passed and one more decision is logged', function when(this: LogWorld) {
  this.nowMs += 1_000;
  this.eventLog({ about: 'decision', event: 'attempt' });
});

Then(
  'its line has node {string}, event {string}, request {string} and outcome {string}',
  function then(this: LogWorld, node: string, event: string, requestId: string, outcome: string) {
    const line: unknown = JSON.parse(this.logLines[0] ?? '');
    assert.ok(typeof line === 'object' && line !== null);
    const { time, ...fields } = line as Record<string, unknown>;
    assert.equal(typeof time, 'number');
    assert.deepEqual(fields, { level: 30, node, about: 'decision', event, requestId, outcome });
  },
);

Then(
  '{int} lines were written and {int} were dropped',
  function then(this: LogWorld, written: number, dropped: number) {
    assert.equal(this.logLines.length, written);
    assert.equal(this.droppedLines, dropped);
  },
);

Then('a line says that {int} lines were skipped', function then(this: LogWorld, lines: number) {
  const reports = this.logLines.filter((line) => line.includes(`"lines":${lines}`));
  assert.equal(reports.length, 1);
});
