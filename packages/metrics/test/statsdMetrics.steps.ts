import assert from 'node:assert/strict';
import { createSocket, type Socket } from 'node:dgram';
import { once } from 'node:events';
import { readFile } from 'node:fs/promises';

import { Given, Then, When } from '@cucumber/cucumber';
import { StatsdMetrics, METRICS } from '@galenatiller/metrics';

interface MetricsWorld {
  statsd: Socket;
  received: string;
  documentedLines: string[];
  isClosed: boolean;
}

Given('a statsd server on loopback', async function given(this: MetricsWorld) {
  this.statsd = createSocket('udp4');
  this.statsd.bind(0, '127.0.0.1');
  await once(this.statsd, 'listening');
});

When(
  'a node named {string} sends a counter, a gauge and a duration',
  async function when(this: MetricsWorld, nodeName: string) {
    const { port } = this.statsd.address();
    const message = once(this.statsd, 'message') as Promise<Buffer[]>;
    const metrics = StatsdMetrics.create({ address: '127.0.0.1', port, nodeName, role: 'entry' });
    metrics.count({ name: 'stage.ended', amount: 2, tags: { kind: 'generate', outcome: 'ran' } });
    metrics.gauge({ name: 'link.open', value: 7, tags: {} });
    metrics.timing({ name: 'request.time', durationMs: 12.5, tags: { priority: 'batch' } });
    await metrics.close();
    this.received = String((await message)[0]);
    this.statsd.close();
  },
);

Then('the statsd server has received', function then(this: MetricsWorld, lines: string) {
  assert.equal(this.received.trim(), lines);
});

When('metrics without an address are sent and closed', async function when(this: MetricsWorld) {
  const metrics = StatsdMetrics.create({ address: '', port: 1, nodeName: 'a', role: 'gate' });
  metrics.count({ name: 'stream.resumed', tags: {} });
  await metrics.close();
  this.isClosed = true;
});

Then('closing them does not wait for a socket', function then(this: MetricsWorld) {
  assert.equal(this.isClosed, true);
});

When('the documented table of metrics is read', async function when(this: MetricsWorld) {
  const page = await readFile('docs/METRICS.md', 'utf8');
  this.documentedLines = page.split('\n').map((line) => line.replace(/\s*\|\s*/g, '|'));
});

Then('it has a row for each metric', function then(this: MetricsWorld) {
  const rows = METRICS.map((metric) => {
    const tags = metric.tags.join(', ') || 'none';
    return `|galenatiller.${metric.name}|${metric.type}|${metric.unit}|${tags}|${metric.role}|${metric.meaning}|`;
  });
  assert.deepEqual(this.documentedLines.filter((line) => line.startsWith('|')).slice(2), rows);
});
