import assert from 'node:assert/strict';
import { once } from 'node:events';
import { readFile } from 'node:fs/promises';
import type { Server } from 'node:http';

import { After, Given, Then, When } from '@cucumber/cucumber';
import { connectPlatform, runCli } from '@galenatiller/cli';
import { followConfiguration, ActiveConfiguration } from '@galenatiller/configuration';
import {
  createFixtureClient,
  createFakeHostList,
  createFakeStoreServer,
  type FakeHostList,
  FakeStore,
} from '@galenatiller/fakes';
import { type OperatorServer, startOperatorServer } from '@galenatiller/operator';
import { TaskGroup } from '@galenatiller/tasks';
import { ManualClock, TimerService } from '@galenatiller/timer';

interface CommandResult {
  readonly author: string;
  readonly exitCode: number;
  readonly output: string;
}

interface CliOverHttpWorld {
  clock: ManualClock;
  timer: TimerService;
  fakeStore: FakeStore;
  storeServer: Server;
  hostList: FakeHostList;
  operatorServer: OperatorServer;
  stopNode: AbortController;
  node: TaskGroup;
  result: CommandResult;
  results: readonly [CommandResult, CommandResult];
}

const OPERATOR_KEY = 'ab'.repeat(32);

/** Small steps leave enough turns of the event loop for a loopback call to complete before it times out. */
const STEP_MS = 2;

Given(
  'a store, a host list and a node that listen on loopback for operators',
  async function given(this: CliOverHttpWorld) {
    this.clock = ManualClock.create({ startWallMs: 0 });
    this.timer = TimerService.create({ clock: this.clock });
    this.fakeStore = FakeStore.create({ timer: this.timer });
    this.storeServer = createFakeStoreServer({ store: this.fakeStore });
    this.storeServer.listen(0, '127.0.0.1');
    await once(this.storeServer, 'listening');
    this.hostList = await createFakeHostList({ timer: this.timer, port: 0, lagMs: 0 });
    await startNode(this);
  },
);

Given('the store loses its next response to an operator', function given(this: CliOverHttpWorld) {
  this.fakeStore.setFaults({ loseAnswers: 1 });
});

Given('the store is unreachable for operators', function given(this: CliOverHttpWorld) {
  this.fakeStore.setFaults({ outage: true });
});

When(
  'operator {string} runs {string} over HTTP',
  async function when(this: CliOverHttpWorld, author: string, line: string) {
    this.result = await run(this, author, line, (name) => readFile(name, 'utf8'));
  },
);

When(
  'operators {string} and {string} take out {string} and {string} from revision 1 at once',
  async function when(
    this: CliOverHttpWorld,
    author: string,
    otherAuthor: string,
    zone: string,
    otherZone: string,
  ) {
    const text = await readFile('examples/lautoka.rules', 'utf8');
    const takeOut = (name: string) => (): Promise<string> =>
      Promise.resolve(text.replace(`zone ${name} in`, `zone ${name} out`));
    this.results = await Promise.all([
      run(this, author, 'apply edited.rules --base 1', takeOut(zone)),
      run(this, otherAuthor, 'apply edited.rules --base 1', takeOut(otherZone)),
    ]);
  },
);

Then(
  'the command over HTTP exits with {int} and prints {string}',
  function then(this: CliOverHttpWorld, exitCode: number, text: string) {
    assert.equal(this.result.exitCode, exitCode, this.result.output);
    assert.ok(this.result.output.includes(text), this.result.output);
  },
);

Then(
  "one of them gets a conflict that names the other, and the other's change stays",
  async function then(this: CliOverHttpWorld) {
    const winner = this.results.find(({ exitCode }) => exitCode === 0);
    const loser = this.results.find(({ exitCode }) => exitCode === 4);
    assert.ok(winner && loser, JSON.stringify(this.results));
    assert.ok(loser.output.includes(`revision 2 by ${winner.author} came after revision 1`));
    const shown = await run(this, 'Mere', 'show', () => Promise.resolve(''));
    assert.ok(shown.output.startsWith(`# revision 2 by ${winner.author}`), shown.output);
  },
);

After({ tags: '@cli-over-http' }, async function after(this: CliOverHttpWorld) {
  this.stopNode?.abort();
  this.storeServer?.closeAllConnections();
  this.storeServer?.close();
  await this.hostList?.close();
  await this.operatorServer?.stop();
});

async function startNode(world: CliOverHttpWorld): Promise<void> {
  const { timer } = world;
  let revision = 0;
  world.stopNode = new AbortController();
  world.node = TaskGroup.create({ onFailure: (error) => assert.fail(String(error)) });
  const store = createFixtureClient({ clock: world.clock, timer, fakeStore: world.fakeStore });
  const followOptions = {
    store,
    timer,
    signal: world.stopNode.signal,
    active: ActiveConfiguration.create({
      onConfiguration: (configuration) => {
        revision = configuration.revision;
      },
    }),
    readPeerOffers: () => Promise.resolve([]),
  };
  world.node.start(() => followConfiguration(followOptions));
  const node = { name: 'entry-1', role: 'entry', availabilityZone: 'north-a' } as const;
  world.operatorServer = await startOperatorServer({
    limitClients: () => {},
    address: '127.0.0.1',
    port: 0,
    keys: [OPERATOR_KEY],
    logger: () => {},
    readStatus: () => ({
      ...{ nodeName: node.name, role: node.role, availabilityZone: node.availabilityZone },
      ...{ incarnation: 'i', configurationRevision: revision, storeReachable: true },
      ...{ targets: [], links: [], moves: [], inFlight: 0, draining: false },
    }),
    readTimeline: () => ({ events: [] }),
    explain: (requestId) => ({ requestId, events: [] }),
  });
  const { port: operatorPort } = world.operatorServer;
  world.hostList.setHosts([
    { ...node, address: '127.0.0.1', port: 1, operatorPort, state: 'live' },
  ]);
}

async function run(
  world: CliOverHttpWorld,
  author: string,
  line: string,
  readRules: (name: string) => Promise<string>,
): Promise<CommandResult> {
  const address = world.storeServer.address();
  const storePort = typeof address === 'object' ? (address?.port ?? 0) : 0;
  const settings = [
    '[cli]',
    `store-url = http://127.0.0.1:${storePort}`,
    `host-list-url = ${world.hostList.url}`,
    `operator-key = ${OPERATOR_KEY}`,
    `author = ${author}`,
  ].join('\n');
  const output: string[] = [];
  let isRunning = true;
  const exit = runCli({
    args: line.split(' '),
    writeOut: (text) => output.push(text),
    writeError: (text) => output.push(text),
    readText: (name) => (name.endsWith('.ini') ? Promise.resolve(settings) : readRules(name)),
    connect: (cli) => connectPlatform({ settings: cli, timer: world.timer }),
    hasColours: false,
    stop: new AbortController().signal,
  }).finally(() => {
    isRunning = false;
  });
  while (isRunning) {
    await world.clock.advance({ byMs: STEP_MS });
  }
  return { author, exitCode: await exit, output: output.join('') };
}
