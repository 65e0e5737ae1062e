import { randomUUID } from 'node:crypto';

import {
  followConfiguration,
  ActiveConfiguration,
  type ActiveConfigurationOptions,
} from '@galenatiller/configuration';
import { createEntry, type CreateEntryOptions, type Entry } from '@galenatiller/entry';
import { GalenatillerError } from '@galenatiller/error';
import type { FakeStore } from '@galenatiller/fakes';
import { createGate, type Gate } from '@galenatiller/gate';
import {
  ConfigurationExchange,
  type NodeIdentity,
  type AuthenticatedLink,
} from '@galenatiller/node';
import { CallBudget, StoreClient, type StoreTransport } from '@galenatiller/store';
import { whenAborted } from '@galenatiller/tasks';
import { type ManualClock, TimerService } from '@galenatiller/timer';
import type { Host, NodeRole } from '@galenatiller/types';
import { Result } from 'true-myth';

import { AVAILABILITY_ZONES } from './createRules.js';
import type { SimulationMechanisms } from './simulationTypes.js';
import { createMemoryLink, type MemoryLink } from './memoryLink.js';
import { NodeClock } from './nodeClock.js';
import type { SimulatedTargets } from './simulatedTargets.js';

/** What the simulated processes share. */
export interface SimulationContext {
  readonly clock: ManualClock;
  readonly store: FakeStore;
  readonly mechanisms: SimulationMechanisms;
  readonly random: () => number;
  readonly targets: readonly SimulatedTargets[];
  readonly gates: SimulatedGate[];
}

/** A process with a clock of its own. */
export interface SimulatedNode {
  readonly identity: NodeIdentity;
  readonly clock: NodeClock;
  readonly timer: TimerService;
  readonly links: Set<MemoryLink>;
}

/** An entry with its process. */
export type SimulatedEntry = SimulatedNode & { readonly entry: Entry };

/** A gate with its process. */
export type SimulatedGate = SimulatedNode & { readonly gate: Gate };

const MAX_FRAME_DELAY_MS = 3;

function createNode(world: SimulationContext, role: NodeRole, index: number): SimulatedNode {
  const clock = NodeClock.create({ base: world.clock });
  const identity: NodeIdentity = {
    nodeName: `${role}-${index}`,
    role,
    availabilityZone: AVAILABILITY_ZONES[index] ?? '',
    incarnation: randomUUID(),
  };
  return { identity, clock, timer: TimerService.create({ clock }), links: new Set() };
}

/** A client of the simulated store; answers reach the process on its own clock. */
export function createStoreClient(world: SimulationContext, timer: TimerService): StoreClient {
  const transport: StoreTransport = async (call) => {
    const reply = await world.store.transport(call);
    await timer.sleep({ delayMs: 1 });
    return reply;
  };
  const budget = CallBudget.create({ timer, callsPerSecond: 1_000, maxBurstCalls: 1_000 });
  return StoreClient.create({ transport, timer, budget, random: world.random });
}

/** The configuration of one process: followed from the store and shared with its peers. */
function createConfiguration(world: SimulationContext, timer: TimerService, store: StoreClient) {
  let onConfiguration: ActiveConfigurationOptions['onConfiguration'] = () => {};
  const held = ActiveConfiguration.create({
    onConfiguration: (configuration) => onConfiguration(configuration),
  });
  const exchange = ConfigurationExchange.create({
    timer,
    getOwnOffer: () => ({ revision: held.current().revision, shards: held.shardReferences() }),
    findShard: (shard) => held.findShard(shard),
  });
  const follow: CreateEntryOptions['followConfiguration'] = (notify, signal) => {
    onConfiguration = notify;
    const readPeerOffers = () => exchange.requestOffers();
    const { random } = world;
    return followConfiguration({ store, timer, signal, active: held, readPeerOffers, random });
  };
  return { exchange, followConfiguration: follow };
}

/** Starts a gate before the targets of one host. */
export function startGate(world: SimulationContext, index: number): SimulatedGate {
  const node = createNode(world, 'gate', index);
  const { timer, identity } = node;
  const store = createStoreClient(world, timer);
  const target = world.targets[index];
  const unused = () => Promise.reject(new Error('no pools here'));
  const settings = {
    version: 'v1',
    url: '',
    inFlightLimit: 4,
    coldInFlightLimit: 4,
    queueLimit: 8,
  };
  const gate = createGate({
    ...identity,
    targets: [
      { ...settings, name: `engine-${index}`, kind: 'engine', group: 'drafter' },
      { ...settings, name: `service-${index}`, kind: 'service', group: 'booking' },
    ],
    timer,
    runners: {
      engine: (opts) =>
        resumeOnClock(
          timer,
          target?.generate({
            ...opts,
            onPart: (part) => timer.after({ delayMs: 0, notify: () => opts.onPart(part) }),
          }),
        ),
      service: (opts) => resumeOnClock(timer, target?.call(opts)),
      pool: unused,
    },
    watchTarget: () => Promise.resolve(),
    probeTarget: () => Promise.resolve(target?.isUp === false ? 'crashed' : 'alive'),
    policy: world.mechanisms.gatePolicy,
    record: () => {},
    runRecords: world.mechanisms.createRunRecords({ store, ...identity, timer }),
    ...createConfiguration(world, timer, store),
  });
  return { ...node, gate };
}

/** Starts an entry that knows every gate. */
export function startEntry(world: SimulationContext, index: number): SimulatedEntry {
  const node = createNode(world, 'entry', index);
  const { timer, identity } = node;
  const store = createStoreClient(world, timer);
  const hosts: readonly Host[] = AVAILABILITY_ZONES.map((availabilityZone, gateIndex) => ({
    name: `gate-${gateIndex}`,
    address: '127.0.0.1',
    port: gateIndex + 1,
    operatorPort: 0,
    role: 'gate',
    availabilityZone,
    state: 'live',
  }));
  const entry = createEntry({
    identity,
    timer,
    linksPerGroup: 8,
    policy: world.mechanisms.policy,
    record: () => {},
    random: world.random,
    openLink: (host) => openLink(world, node, host),
    ...createConfiguration(world, timer, store),
    followHosts: (onHosts, signal) => {
      onHosts(hosts);
      return whenAborted(signal);
    },
  });
  return { ...node, entry };
}

async function openLink(
  world: SimulationContext,
  near: SimulatedNode,
  host: Host,
): Promise<Result<AuthenticatedLink, GalenatillerError>> {
  await near.timer.sleep({ delayMs: drawFrameDelayMs(world) });
  const far = world.gates[host.port - 1];
  if (!far?.clock.isAlive) {
    return Result.err(GalenatillerError.create({ name: 'link-unopened', detail: host.name }));
  }
  const link = createMemoryLink({ near, far, drawDelayMs: () => drawFrameDelayMs(world) });
  near.links.add(link);
  far.links.add(link);
  far.timer.after({
    delayMs: 0,
    notify: () => {
      far.gate.serveLink(link.farSide).catch(() => link.cut());
    },
  });
  return Result.ok(link.nearSide);
}

function drawFrameDelayMs(world: SimulationContext): number {
  return world.random() * MAX_FRAME_DELAY_MS;
}

/** Ends a process as SIGKILL does. */
export function killNode(node: SimulatedNode): void {
  node.clock.kill();
  node.links.forEach((link) => link.cut());
}

/** A result reaches the process on its own clock. */
async function resumeOnClock<Value>(
  timer: TimerService,
  value: Promise<Value> | undefined,
): Promise<Value> {
  if (!value) {
    throw new Error('no target');
  }
  const result = await value;
  await timer.sleep({ delayMs: 0 });
  return result;
}
