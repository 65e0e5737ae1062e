import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';

import { Given, Then, When } from '@cucumber/cucumber';
import type { Member } from '@galenatiller/store';
import { chooseTarget, ColdRateLimiter } from '@galenatiller/target';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { RegisteredTarget } from '@galenatiller/types';

import { ServiceOwners } from '../src/ownership/index.js';
import type { PeerRouters } from '../src/peerRouters.js';
import { Permits } from '../src/permits.js';

const SERVICE = 'model';

interface Node {
  readonly name: string;
  readonly limiter: ColdRateLimiter;
  readonly permits: Permits;
  readonly state: { evidenceAgeMs: number; isSilent: boolean };
}

interface PermitWorld {
  clock: ManualClock;
  timer: TimerService;
  nodes: Node[];
  targets: RegisteredTarget[];
  limit: number;
  sent: { readonly address: string; readonly atMs: number }[];
  usedBySession: Map<string, string>;
  strayed: number;
  calls: number;
}

function hash(text: string): number {
  return createHash('md5').update(text).digest().readUInt32BE(0);
}

function createMembers(count: number): readonly Member[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `router-${index}`,
    address: `10.0.0.${index + 1}:7000`,
    cpuCores: 1,
    availabilityZone: `zone-${index % 3}`,
    leavingSince: 0,
  }));
}

function createNode(world: PermitWorld, name: string, count: number): Node {
  const { timer } = world;
  const state = { evidenceAgeMs: 0, isSilent: false };
  const limiter = ColdRateLimiter.create({
    timer,
    nodeCount: () => count,
    overFactor: 1,
    slackRequests: 0,
  });
  const owners = ServiceOwners.create({ selfName: name, hash });
  owners.setMembers(createMembers(count));
  const permits = Permits.create({
    timer,
    selfName: name,
    owners,
    peers: { find: (peer) => findPeer(world, peer) },
    coldRateLimiter: limiter,
    maxColdRequestsPerSecond: () => world.limit,
    evidenceAgeMs: () => state.evidenceAgeMs,
    metrics: { count: () => {} },
  });
  permits.setMembers(createMembers(count));
  return { name, limiter, permits, state };
}

function findPeer(world: PermitWorld, name: string): ReturnType<PeerRouters['find']> {
  const node = world.nodes.find((other) => other.name === name);
  const peer = {
    requestPermit: (opts: { service: string; address: string; signal: AbortSignal }) =>
      node?.state.isSilent
        ? new Promise<boolean>((resolve) => {
            opts.signal.addEventListener('abort', () => resolve(false), { once: true });
          })
        : Promise.resolve(node?.permits.tryGrant(opts) ?? false),
  };
  return peer as unknown as ReturnType<PeerRouters['find']>;
}

Given(
  '{int} routers that share a limit of {int} requests per second for each of {int} targets',
  async function given(this: PermitWorld, routers: number, limit: number, targets: number) {
    this.clock = ManualClock.create({ startWallMs: 1_000_000 });
    this.timer = TimerService.create({ clock: this.clock });
    this.limit = limit;
    this.sent = [];
    this.usedBySession = new Map();
    this.strayed = 0;
    this.calls = 0;
    this.targets = Array.from({ length: targets }, (_, index) => ({
      id: `target-${index}`,
      startedWallMs: 0,
      service: SERVICE,
      address: `10.1.0.${index + 1}:80`,
      availabilityZone: 'zone-0',
      version: 'v1',
      slots: 64,
      state: 'ready',
    }));
    this.nodes = createMembers(routers).map(({ name }) => createNode(this, name, routers));
    await this.clock.advance({ byMs: 5_000 });
  },
);

/** Sends a call with the prompt of a session in the way that a router does. */
async function send(world: PermitWorld, node: Node, session: string): Promise<void> {
  const choose = (permitted: string): ReturnType<typeof chooseTarget> =>
    chooseTarget({
      targets: world.targets,
      tried: new Set(),
      promptParts: [
        { id: session, tokens: 3_000 },
        { id: 'own', tokens: 100 },
      ],
      ownZone: 'zone-0',
      crossZoneInputBytes: () => 0,
      inFlight: () => 0,
      isSuspended: () => false,
      failureShare: () => 0,
      canAccept: ({ id, address }) =>
        id === permitted ||
        node.limiter.canSend({ address, maxColdRequestsPerSecond: world.limit }),
      hash,
    });
  let choice = choose('');
  let hasPermit = false;
  if (choice.kind === 'chosen' && choice.limited) {
    const { id, address } = choice.limited;
    hasPermit = await node.permits.obtain({ service: SERVICE, address });
    choice = hasPermit ? choose(id) : choice;
  }
  if (choice.kind !== 'chosen') {
    return;
  }
  const { address } = choice.target;
  if (!hasPermit) {
    node.limiter.recordSent(address);
  }
  world.sent.push({ address, atMs: world.timer.nowMs() });
  world.calls += 1;
  const used = world.usedBySession.get(session);
  world.strayed += used !== undefined && used !== address ? 1 : 0;
  world.usedBySession.set(session, used ?? address);
}

async function sendCalls(
  world: PermitWorld,
  opts: { readonly perSecond: number; readonly seconds: number; readonly sessions: number },
): Promise<void> {
  const stepMs = 1_000 / (opts.perSecond * world.nodes.length);
  const calls = opts.perSecond * opts.seconds * world.nodes.length;
  for (let call = 0; call < calls; call += 1) {
    const node = world.nodes[hash(`node ${call}`) % world.nodes.length];
    if (node) {
      await send(world, node, `session ${hash(`session ${call}`) % opts.sessions}`);
    }
    await world.clock.advance({ byMs: stepMs });
  }
}

When(
  'each router gets {int} calls a second for {int} seconds, with prompts that one target has cached',
  async function when(this: PermitWorld, perSecond: number, seconds: number) {
    await sendCalls(this, { perSecond, seconds, sessions: 1 });
  },
);

When(
  'each router gets {int} calls a second for {int} seconds, with prompts of {int} sessions',
  async function when(this: PermitWorld, perSecond: number, seconds: number, sessions: number) {
    await sendCalls(this, { perSecond, seconds, sessions });
  },
);

Then(
  'no target gets more than {int} requests in any second',
  function then(this: PermitWorld, limit: number) {
    this.targets.forEach(({ address }) => {
      const times = this.sent.filter((sent) => sent.address === address).map(({ atMs }) => atMs);
      times.forEach((fromMs) => {
        const count = times.filter((atMs) => atMs >= fromMs && atMs < fromMs + 1_000).length;
        assert.ok(count <= limit, `${count} requests to ${address}`);
      });
    });
  },
);

Then(
  'more than {int} requests a second reach the preferred target',
  function then(this: PermitWorld, count: number) {
    const counts = new Map<string, number>();
    this.sent.forEach(({ address }) => counts.set(address, (counts.get(address) ?? 0) + 1));
    assert.ok(Math.max(...counts.values()) / 6 > count, JSON.stringify([...counts]));
  },
);

Then(
  'at most {int} % of the calls reach a target that their session has not used first',
  function then(this: PermitWorld, percent: number) {
    const strayed = (100 * this.strayed) / this.calls;
    assert.ok(strayed <= percent, `${strayed} %`);
  },
);

/** The router that grants permits for the first target. */
function findGranter(world: PermitWorld): Node {
  const address = world.targets[0]?.address ?? '';
  const granter = world.nodes.find(({ permits }) =>
    permits.tryGrant({ service: SERVICE, address }),
  );
  assert.ok(granter);
  return granter;
}

When('the granting router has not heard from the store for 3 s', function when(this: PermitWorld) {
  findGranter(this).state.evidenceAgeMs = 3_000;
});

When(
  'the granting router saw another router leave a second ago',
  async function when(this: PermitWorld) {
    findGranter(this).permits.setMembers(createMembers(this.nodes.length + 1));
    await this.clock.advance({ byMs: 1_000 });
  },
);

When("the granting router doesn't answer", function when(this: PermitWorld) {
  findGranter(this).state.isSilent = true;
});

Then('the granting router grants nothing', function then(this: PermitWorld) {
  const address = this.targets[0]?.address ?? '';
  const granted = this.nodes.filter(({ permits }) =>
    permits.tryGrant({ service: SERVICE, address }),
  );
  assert.deepEqual(granted, []);
});

Then(
  'a permit is refused within {int} ms',
  async function then(this: PermitWorld, limitMs: number) {
    const asking = this.nodes.find(({ state }) => !state.isSilent);
    const address = this.targets[0]?.address ?? '';
    let isGranted: boolean | undefined;
    const request = asking?.permits.obtain({ service: SERVICE, address }).then((granted) => {
      isGranted = granted;
    });
    await this.clock.advance({ byMs: limitMs });
    assert.equal(isGranted, false);
    await request;
  },
);
