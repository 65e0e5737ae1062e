/** An entry and a gate over real sockets, for the end-to-end feature. */
import { runGeneration } from '@galenatiller/engine';
import { runEntry, standardPolicy } from '@galenatiller/entry';
import type { FakeService, FakeTarget } from '@galenatiller/fakes';
import { createMemoryRunRecords, runGate, standardPolicy as gatePolicy } from '@galenatiller/gate';
import { probeTargetProcess } from '@galenatiller/http';
import { ConfigurationExchange } from '@galenatiller/node';
import { runPoolStage } from '@galenatiller/pool';
import { runServiceCall } from '@galenatiller/service';
import type { TargetSettings } from '@galenatiller/settings';
import { whenAborted } from '@galenatiller/tasks';
import { systemClock, TimerService } from '@galenatiller/timer';
import type { Configuration, Host, TargetKind } from '@galenatiller/types';

/** The parts of the deployment, and the signals that stop them. */
export interface EndToEndDeployment {
  engines: FakeTarget[];
  pools: FakeTarget[];
  floorService: FakeService;
  stopEntry: AbortController;
  stopGate: AbortController;
  entryEnd: Promise<void>;
  gateEnd: Promise<void>;
  /** Stop limit of the nodes; the default is long. */
  stopLimitMs?: number;
  /** Requests that each target runs at a time. */
  inFlightLimit?: number;
  /** Time that the run records of the gate take to end. */
  recordsEndMs?: number;
}

/** Uses the system clock, because this feature runs over real sockets. */
export const timer = TimerService.create({ clock: systemClock });

const LINK_KEYS = ['a1'.repeat(32)];
const DEFAULT_STOP_LIMIT_MS = 10_000;
const DEFAULT_IN_FLIGHT_LIMIT = 8;
const commonSettings = {
  memoryMb: 256,
  maxDescriptors: 4_096,
  linkAddress: '127.0.0.1',
  linkPort: 0,
  linkKeys: LINK_KEYS,
  operatorAddress: '127.0.0.1',
  operatorPort: 0,
  operatorKeys: [],
  storeUrl: '',
  hostListUrl: '',
  weightStoreUrl: '',
  metricsAddress: '',
  metricsPort: 0,
  policy: 'standard' as const,
};

/** Starts a gate in front of all fake targets; resolves with its link port. */
export function startGate(
  world: EndToEndDeployment,
  configuration: Configuration,
): Promise<number> {
  const [firstEngine, secondEngine] = world.engines;
  const targets: readonly TargetSettings[] = [
    createTargetSettings('engine-1', 'engine', 'drafter', firstEngine?.url),
    createTargetSettings('engine-2', 'engine', 'drafter', secondEngine?.url),
    createTargetSettings('encoder-1', 'pool', 'encoder', world.pools[0]?.url),
    createTargetSettings('retriever-1', 'pool', 'retriever', world.pools[0]?.url),
    createTargetSettings('reranker-1', 'pool', 'reranker', world.pools[0]?.url),
    createTargetSettings('floor-1', 'service', 'floor', world.floorService.url),
  ].map((target) => ({ ...target, ...createLimits(world) }));
  return new Promise((resolve) => {
    world.gateEnd = runGate({
      settings: {
        ...commonSettings,
        stopLimitMs: world.stopLimitMs ?? DEFAULT_STOP_LIMIT_MS,
        role: 'gate',
        nodeName: 'gate-1',
        availabilityZone: 'north-a',
        targets,
      },
      timer,
      stop: world.stopGate.signal,
      policy: gatePolicy,
      random: () => 0,
      probeTarget: probeTargetProcess,
      watchTarget: () => Promise.resolve(),
      record: () => {},
      runners: { engine: runGeneration, pool: runPoolStage, service: runServiceCall },
      runRecords: {
        ...createMemoryRunRecords(),
        maintain: async (signal) => {
          await whenAborted(signal);
          await timer.sleep({ delayMs: world.recordsEndMs ?? 0 });
        },
      },
      exchange: createExchange(),
      followConfiguration: (onConfiguration, signal) => {
        onConfiguration(configuration);
        return whenAborted(signal);
      },
      onListening: ({ port }) => resolve(port),
    });
  });
}

/** Starts an entry; resolves with the port for callers. */
export function startEntry(
  world: EndToEndDeployment,
  configuration: Configuration,
  hosts: readonly Host[],
): Promise<number> {
  return new Promise((resolve) => {
    world.entryEnd = runEntry({
      settings: {
        ...commonSettings,
        stopLimitMs: world.stopLimitMs ?? DEFAULT_STOP_LIMIT_MS,
        role: 'entry',
        nodeName: 'entry-1',
        availabilityZone: 'north-a',
        callerAddress: '127.0.0.1',
        callerPort: 0,
        linksPerGroup: 8,
      },
      timer,
      stop: world.stopEntry.signal,
      policy: standardPolicy,
      record: () => {},
      random: () => 0,
      exchange: createExchange(),
      followConfiguration: (onConfiguration, signal) => {
        onConfiguration(configuration);
        return whenAborted(signal);
      },
      followHosts: (onHosts, signal) => {
        onHosts(hosts);
        return whenAborted(signal);
      },
      onListening: ({ port }) => resolve(port),
    });
  });
}

function createTargetSettings(
  name: string,
  kind: TargetKind,
  group: string,
  url = '',
): Omit<TargetSettings, keyof ReturnType<typeof createLimits>> {
  return { name, kind, group, version: 'v1', url };
}

function createLimits({ inFlightLimit = DEFAULT_IN_FLIGHT_LIMIT }: EndToEndDeployment) {
  return { inFlightLimit, coldInFlightLimit: inFlightLimit, queueLimit: 16 };
}

function createExchange(): ConfigurationExchange {
  return ConfigurationExchange.create({
    timer,
    getOwnOffer: () => ({ revision: 0, shards: [] }),
    findShard: () => undefined,
  });
}
