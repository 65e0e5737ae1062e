import type { Platform, StoredConfiguration } from '@galenatiller/cli';
import { GalenatillerError, type ResultCodeName } from '@galenatiller/error';
import { formatRules, type MoveStatus, parseRules } from '@galenatiller/operator';
import { ManualClock, TimerService } from '@galenatiller/timer';
import type { Host, Rule, TargetReport, TimelineEvent } from '@galenatiller/types';
import { Result } from 'true-myth';

/** A node of the in-memory platform. Its revision follows the store unless `isStuck` is set. */
export interface MemoryNode {
  readonly host: Host;
  revision: number;
  isStuck: boolean;
  /** Result code of every request to the node; empty while requests succeed. */
  failureCode: ResultCodeName | '';
  draining: boolean;
  moves: readonly MoveStatus[];
  events: TimelineEvent[];
}

/** An in-memory platform with fault injection. */
export interface MemoryPlatform extends Platform {
  readonly clock: ManualClock;
  readonly nodes: MemoryNode[];
  stored: StoredConfiguration;
  storeFailureCode: ResultCodeName | '';
  isHostListDown: boolean;
  /** Another author's change, published just before the next publication of the operator. */
  concurrentChange: StoredConfiguration | undefined;
}

/** Creates a platform at revision 7, without rules and with nodes of the given names. */
export function createMemoryPlatform(names: readonly string[]): MemoryPlatform {
  const clock = ManualClock.create({ startWallMs: Date.parse('2026-12-04T08:00:00Z') });
  const platform: MemoryPlatform = {
    clock,
    timer: TimerService.create({ clock }),
    nodes: names.map(createNode),
    stored: { revision: 7, author: 'Ana', rules: [] },
    storeFailureCode: '',
    isHostListDown: false,
    concurrentChange: undefined,
    readConfiguration: async () => toResult(platform.storeFailureCode, platform.stored),
    publishConfiguration: async ({ author, baseRevision, rules }) => {
      platform.stored = platform.concurrentChange ?? platform.stored;
      const current = platform.stored;
      if (platform.storeFailureCode !== '') {
        return toResult(platform.storeFailureCode, { kind: 'conflict', current });
      }
      if (current.revision !== baseRevision) {
        return Result.ok({ kind: 'conflict', current });
      }
      platform.stored = { revision: baseRevision + 1, author, rules };
      return Result.ok({ kind: 'accepted', revision: baseRevision + 1 });
    },
    fetchHosts: async () =>
      toResult(
        platform.isHostListDown ? 'target-unreachable' : '',
        platform.nodes.map(({ host }) => host),
      ),
    fetchStatus: async (host) => {
      const node = findNode(platform, host);
      // A node adopts a new revision only after it has reported the old one.
      const { revision } = node;
      node.revision = node.isStuck ? revision : platform.stored.revision;
      return toResult(node.failureCode, {
        nodeName: host.name,
        role: host.role,
        availabilityZone: host.availabilityZone,
        incarnation: 'i',
        configurationRevision: revision,
        storeReachable: platform.storeFailureCode === '',
        targets: host.role === 'gate' ? [createTarget(host.name)] : [],
        links: [],
        moves: node.moves,
        inFlight: 2,
        draining: node.draining,
      });
    },
    fetchTimeline: async (host, { afterTimestamp, requestId }) => {
      const { events, failureCode } = findNode(platform, host);
      return toResult(failureCode, {
        events: events.filter(
          (event) =>
            event.stamp.wallMs > afterTimestamp.wallMs &&
            (!requestId || event.requestId === requestId),
        ),
      });
    },
    fetchExplanation: async (host, requestId) => {
      const { events, failureCode } = findNode(platform, host);
      return toResult(failureCode, {
        requestId,
        events: events.filter((e) => e.requestId === requestId),
      });
    },
  };
  return platform;
}

/** Parses rules that must be valid. */
export function parseValidRules(text: string): readonly Rule[] {
  return parseRules({ text, fileName: 'test' }).unwrapOrElse((problems) => {
    throw new Error(JSON.stringify(problems));
  }).rules;
}

/** Formats the accepted rules as text. */
export function formatStoredRules(platform: MemoryPlatform): string {
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
  const node = { revision: 7, isStuck: false, failureCode: '' as const, draining: false };
  return { ...node, host, moves: [], events: [] };
}

function createTarget(name: string): TargetReport {
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

function findNode(platform: MemoryPlatform, host: Host): MemoryNode {
  const node = platform.nodes.find((each) => each.host.name === host.name);
  if (!node) {
    throw new Error(`no node ${host.name}`);
  }
  return node;
}

function toResult<Value>(
  name: ResultCodeName | '',
  value: Value,
): Result<Value, GalenatillerError> {
  return name === ''
    ? Result.ok(value)
    : Result.err(GalenatillerError.create({ name, detail: 'no response' }));
}
