import { randomUUID } from 'node:crypto';

import {
  followConfiguration,
  ActiveConfiguration,
  type ActiveConfigurationOptions,
} from '@galenatiller/configuration';
import {
  createEntry,
  type CreateEntryOptions,
  type Entry,
  shutDownEntry,
} from '@galenatiller/entry';
import { GalenatillerError } from '@galenatiller/error';
import type { FakeStore } from '@galenatiller/fakes';
import { createGate, type Gate } from '@galenatiller/gate';
import {
  ConfigurationExchange,
  type NodeIdentity,
  type AuthenticatedLink,
} from '@galenatiller/node';
import { CallBudget, StoreClient, type StoreTransport } from '@galenatiller/store';
import { TaskGroup, whenAborted } from '@galenatiller/tasks';
import { type ManualClock, TimerService } from '@galenatiller/timer';
import type { Host, NodeRole } from '@galenatiller/types';
import { Result } from 'true-myth';

import { AVAILABILITY_ZONES } from './createRules.js';
import type { SimulationMechanisms } from './simulationTypes.js';
import { createMemoryLink, type MemoryLink } from './memoryLink.js';
import { NodeClock } from './nodeClock.js';
import type { SimulatedTargets } from './simulatedTargets.js';

/** State that the simulated processes share. */
export interface SimulationContext {
  readonly clock: ManualClock;
  readonly store: FakeStore;
  readonly mechanisms: SimulationMechanisms;
  readonly random: () => number;
  readonly targets: readonly SimulatedTargets[];
  readonly gates: SimulatedGate[];
}

/** A simulated process with its own clock. */
export interface SimulatedNode {
  readonly identity: NodeIdentity;
  readonly clock: NodeClock;
  readonly timer: TimerService;
  readonly links: Set<MemoryLink>;
  state: 'running' | 'stopping' | 'stopped' | 'killed';
}

/** An entry with its process. */
export type SimulatedEntry = SimulatedNode & { readonly entry: Entry; readonly calls: TaskGroup };

/** A gate with its process. */
export type SimulatedGate = SimulatedNode & { readonly gate: Gate };

const MAX_FRAME_DELAY_MS = 3;

/** Time after SIGTERM at which a process that is still running ends. */
const STOP_LIMIT_MS = 2_500;

/** Interval at which a gate asks its targets for their identity. */
const POLL_INTERVAL_MS = 200;

function createNode(context: SimulationContext, role: NodeRole, index: number): SimulatedNode {
  const clock = NodeClock.create({ base: context.clock });
  const identity: NodeIdentity = {
    nodeName: `${role}-${index}`,
    role,
    availabilityZone: AVAILABILITY_ZONES[index] ?? '',
    incarnation: randomUUID(),
  };
  const timer = TimerService.create({ clock });
  return { identity, clock, timer, links: new Set(), state: 'running' };
}

/** Creates a client of the simulated store; responses arrive on the clock of the process. */
export function createStoreClient(context: SimulationContext, timer: TimerService): StoreClient {
  const transport: StoreTransport = async (call) => {
    const response = await context.store.transport(call);
    await timer.sleep({ delayMs: 1 });
    return response;
  };
  const budget = CallBudget.create({ timer, callsPerSecond: 1_000, maxBurstCalls: 1_000 });
  return StoreClient.create({ transport, timer, budget, random: context.random });
}

/** Creates the configuration of one process: it follows the store and is exchanged with peers. */
function createConfiguration(context: SimulationContext, timer: TimerService, store: StoreClient) {
  let onConfiguration: ActiveConfigurationOptions['onConfiguration'] = () => {};
  const active = ActiveConfiguration.create({
    onConfiguration: (configuration) => onConfiguration(configuration),
  });
  const exchange = ConfigurationExchange.create({
    timer,
    getOwnOffer: () => ({ revision: active.current().revision, shards: active.shardReferences() }),
    findShard: (shard) => active.findShard(shard),
  });
  const follow: CreateEntryOptions['followConfiguration'] = (notify, signal) => {
    onConfiguration = notify;
    const readPeerOffers = () => exchange.requestOffers();
    const { random } = context;
    return followConfiguration({ store, timer, signal, active, readPeerOffers, random });
  };
  return { exchange, followConfiguration: follow };
}

/** Starts the gate of the targets of one host. */
export function startGate(context: SimulationContext, index: number): SimulatedGate {
  const node = createNode(context, 'gate', index);
  const { timer, identity } = node;
  const store = createStoreClient(context, timer);
  const target = context.targets[index];
  const rejectPool = () => Promise.reject(new Error('the simulation has no pools'));
  const settings = {
    version: 'v1',
    url: '',
    inFlightLimit: 4,
    coldInFlightLimit: 4,
    queueLimit: 8,
  };
  const gate = createGate({
    ...identity,
    stopLimitMs: STOP_LIMIT_MS,
    targets: [
      { ...settings, name: `engine-${index}`, kind: 'engine', group: 'drafter' },
      { ...settings, name: `service-${index}`, kind: 'service', group: 'booking' },
    ],
    timer,
    random: context.random,
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
      pool: rejectPool,
    },
    watchTarget: (opts) => watchTarget({ ...opts, timer, target }),
    probeTarget: () => Promise.resolve(target?.isUp === false ? 'crashed' : 'alive'),
    policy: context.mechanisms.gatePolicy,
    record: () => {},
    runRecords: context.mechanisms.createRunRecords({ store, ...identity, timer }),
    ...createConfiguration(context, timer, store),
  });
  return { ...node, gate };
}

async function watchTarget(opts: {
  readonly timer: TimerService;
  readonly target: SimulatedTargets | undefined;
  readonly onStartId: (startId: string) => void;
  readonly signal: AbortSignal;
}): Promise<void> {
  const { timer, target, onStartId, signal } = opts;
  while (target && !signal.aborted) {
    if (target.isUp) {
      onStartId(target.startId);
    }
    await timer.sleep({ delayMs: POLL_INTERVAL_MS, signal });
  }
}

/** Starts an entry that knows every gate. */
export function startEntry(context: SimulationContext, index: number): SimulatedEntry {
  const node = createNode(context, 'entry', index);
  const { timer, identity } = node;
  const store = createStoreClient(context, timer);
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
    stopLimitMs: STOP_LIMIT_MS,
    policy: context.mechanisms.policy,
    record: () => {},
    random: context.random,
    openLink: (host) => openLink(context, node, host),
    ...createConfiguration(context, timer, store),
    followHosts: (onHosts, signal) => {
      onHosts(hosts);
      return whenAborted(signal);
    },
  });
  return { ...node, entry, calls: TaskGroup.create({ onFailure: throwError }) };
}

async function openLink(
  context: SimulationContext,
  near: SimulatedNode,
  host: Host,
): Promise<Result<AuthenticatedLink, GalenatillerError>> {
  await near.timer.sleep({ delayMs: drawFrameDelayMs(context) });
  const far = context.gates[host.port - 1];
  if (!far?.clock.isAlive) {
    return Result.err(GalenatillerError.create({ name: 'link-unopened', detail: host.name }));
  }
  const link = createMemoryLink({ near, far, drawDelayMs: () => drawFrameDelayMs(context) });
  near.links.add(link);
  far.links.add(link);
  far.timer.after({
    delayMs: 0,
    notify: () => {
      far.gate.serveLink(link.farSide).then(link.cut, link.cut);
    },
  });
  return Result.ok(link.nearSide);
}

function drawFrameDelayMs(context: SimulationContext): number {
  return context.random() * MAX_FRAME_DELAY_MS;
}

/** Ends a process like SIGKILL. */
export function killNode(node: SimulatedNode): void {
  endProcess(node, 'killed');
}

/** Stops a process like SIGTERM; `onEnded` is called unless it is killed before it has ended. */
export function stopGate(node: SimulatedGate, onEnded: () => void): void {
  stopNode(node, () => node.gate.stop(), onEnded);
}

/** Stops a process like SIGTERM; `onEnded` is called unless it is killed before it has ended. */
export function stopEntry(node: SimulatedEntry, onEnded: () => void): void {
  stopNode(node, () => shutDownEntry({ ...node, stopAccepting: () => {} }), onEnded);
}

function stopNode(node: SimulatedNode, stop: () => Promise<void>, onEnded: () => void): void {
  if (node.state !== 'running') {
    return;
  }
  const stopping = node;
  stopping.state = 'stopping';
  Promise.race([stop(), node.timer.sleep({ delayMs: STOP_LIMIT_MS })])
    .then(() => {
      if (node.state === 'stopping') {
        endProcess(node, 'stopped');
        onEnded();
      }
    })
    .catch(throwError);
}

function endProcess(node: SimulatedNode, state: 'killed' | 'stopped'): void {
  const ended = node;
  ended.state = state;
  node.clock.kill();
  node.links.forEach((link) => link.cut());
}

function throwError(error: unknown): never {
  throw error;
}

/** Awaits a value, and resumes on the clock of the process. */
async function resumeOnClock<Value>(
  timer: TimerService,
  value: Promise<Value> | undefined,
): Promise<Value> {
  if (!value) {
    throw new Error('no target for this gate');
  }
  const result = await value;
  await timer.sleep({ delayMs: 0 });
  return result;
}
