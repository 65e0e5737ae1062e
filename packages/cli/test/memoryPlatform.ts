import type { Platform, StoredConfiguration } from '@galenatiller/cli';
import { GalenatillerError, type ResultCodeName } from '@galenatiller/error';
import { formatRules, type MoveStatus, parseRules } from '@galenatiller/operator';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { Host, Rule, TargetReport, TimelineEvent } from '@galenatiller/types';
import { Result } from 'true-myth';

/** A node of the platform in memory; its revision follows the store unless it is stuck. */
export interface MemoryNode {
  readonly host: Host;
  revision: number;
  stuck: boolean;
  /** Code that every question to the node ends with; empty while it answers. */
  failure: ResultCodeName | '';
  draining: boolean;
  moves: readonly MoveStatus[];
  events: TimelineEvent[];
}

/** The platform in memory, with faults on order. */
export interface MemoryPlatform extends Platform {
  readonly clock: ManualClock;
  readonly nodes: MemoryNode[];
  stored: StoredConfiguration;
  storeFailure: ResultCodeName | '';
  hostListDown: boolean;
  /** Another author's change that comes between a read and the next publication. */
  racing: StoredConfiguration | undefined;
}

/** Makes a platform with revision 7 of some rules and the nodes of the given names. */
export function createMemoryPlatform(names: readonly string[]): MemoryPlatform {
  const clock = ManualClock.create({ startWallMs: Date.parse('2026-12-04T08:00:00Z') });
  const platform: MemoryPlatform = {
    clock,
    timer: TimerService.create({ clock }),
    nodes: names.map(createNode),
    stored: { revision: 7, author: 'Ana', rules: [] },
    storeFailure: '',
    hostListDown: false,
    racing: undefined,
    readConfiguration: async () => failure(platform.storeFailure, platform.stored),
    publishConfiguration: async ({ author, baseRevision, rules }) => {
      platform.stored = platform.racing ?? platform.stored;
      const current = platform.stored;
      if (platform.storeFailure !== '') {
        return failure(platform.storeFailure, { kind: 'conflict', current });
      }
      if (current.revision !== baseRevision) {
        return Result.ok({ kind: 'conflict', current });
      }
      platform.stored = { revision: baseRevision + 1, author, rules };
      return Result.ok({ kind: 'accepted', revision: baseRevision + 1 });
    },
    fetchHosts: async () =>
      failure(
        platform.hostListDown ? 'target-unreachable' : '',
        platform.nodes.map(({ host }) => host),
      ),
    fetchStatus: async (host) => {
      const node = find(platform, host);
      // Nodes learn a revision between two questions.
      const { revision } = node;
      node.revision = node.stuck ? revision : platform.stored.revision;
      return failure(node.failure, {
        nodeName: host.name,
        role: host.role,
        availabilityZone: host.availabilityZone,
        incarnation: 'i',
        configurationRevision: revision,
        storeReachable: platform.storeFailure === '',
        targets: host.role === 'gate' ? [target(host.name)] : [],
        links: [],
        moves: node.moves,
        inFlight: 2,
        draining: node.draining,
      });
    },
    fetchTimeline: async (host, { afterTimestamp, requestId }) => {
      const { events, failure: name } = find(platform, host);
      return failure(name, {
        events: events.filter(
          (event) =>
            event.stamp.wallMs > afterTimestamp.wallMs &&
            (!requestId || event.requestId === requestId),
        ),
      });
    },
    fetchExplanation: async (host, requestId) => {
      const { events, failure: name } = find(platform, host);
      return failure(name, { requestId, events: events.filter((e) => e.requestId === requestId) });
    },
  };
  return platform;
}

/** Rules from their text, which must be right. */
export function rulesFrom(text: string): readonly Rule[] {
  return parseRules({ text, fileName: 'test' }).unwrapOrElse((problems) => {
    throw new Error(JSON.stringify(problems));
  }).rules;
}

/** The accepted rules as text. */
export function storedText(platform: MemoryPlatform): string {
  return formatRules(platform.stored.rules).trimEnd();
}

function createNode(name: string): MemoryNode {
  const host: Host = {
    name,
    address: '127.0.0.1',
    port: 1,
    operatorPort: 2,
    role: name.startsWith('gate') ? 'gate' : 'entry',
    availabilityZone: name.endsWith('b') ? 'north-b' : 'north-a',
    state: 'live',
  };
  const node = { revision: 7, stuck: false, failure: '' as const, draining: false };
  return { ...node, host, moves: [], events: [] };
}

function target(name: string): TargetReport {
  return {
    name: `${name}-t`,
    kind: 'engine',
    group: 'drafter',
    version: 'v1',
    state: 'ready',
    inFlight: 3,
    queued: 1,
    inFlightLimit: 8,
    runMs: 5,
    prefixHashes: [],
  };
}

function find(platform: MemoryPlatform, host: Host): MemoryNode {
  const node = platform.nodes.find((each) => each.host.name === host.name);
  if (!node) {
    throw new Error(`no node ${host.name}`);
  }
  return node;
}

function failure<Value>(name: ResultCodeName | '', value: Value): Result<Value, GalenatillerError> {
  return name === ''
    ? Result.ok(value)
    : Result.err(GalenatillerError.create({ name, detail: 'no answer came' }));
}
