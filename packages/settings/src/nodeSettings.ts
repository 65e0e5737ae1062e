import type { TargetKind } from '@galenatiller/types';

/** Settings that both roles share. */
interface CommonSettings {
  /** Unique name of the node, `[node] name`. */
  readonly nodeName: string;
  /** `[node] availability-zone`. */
  readonly availabilityZone: string;
  /** Longest graceful shutdown, `[node] stop-limit-ms`. */
  readonly stopLimitMs: number;
  /** Where other nodes open links, `[link] listen-address` and `listen-port`. */
  readonly linkAddress: string;
  readonly linkPort: number;
  /** Hex keys that prove a link, newest first, `[link] keys`; two are valid during rotation. */
  readonly linkKeys: readonly string[];
  /** Where operators ask, `[operator] listen-address`, `listen-port` and `keys`. */
  readonly operatorAddress: string;
  readonly operatorPort: number;
  readonly operatorKeys: readonly string[];
  /** `[platform] store-url`, `host-list-url` and `weight-store-url`. */
  readonly storeUrl: string;
  readonly hostListUrl: string;
  readonly weightStoreUrl: string;
  /** statsd server, `[metrics] address` and `port`; an empty address sends none. */
  readonly metricsAddress: string;
  readonly metricsPort: number;
  /** Decisions of the node, `[routing] policy`. */
  readonly policy: 'standard' | 'naive';
}

/** Settings of an entry. */
export interface EntrySettings extends CommonSettings {
  readonly role: 'entry';
  /** Where callers send requests, `[caller] listen-address` and `listen-port`. */
  readonly callerAddress: string;
  readonly callerPort: number;
  /** Most gates of one target group that the entry keeps links to, `[routing] links-per-group`. */
  readonly linksPerGroup: number;
}

/** One target behind a gate, section `[target.NAME]`. */
export interface TargetSettings {
  readonly name: string;
  readonly kind: TargetKind;
  readonly group: string;
  readonly version: string;
  readonly url: string;
  /** Most requests at once on a warm target. */
  readonly inFlightLimit: number;
  /** Most requests at once on a target that has just started. */
  readonly coldInFlightLimit: number;
  /** Most requests that wait at the gate for the target. */
  readonly queueLimit: number;
}

/** Settings of a gate. */
export interface GateSettings extends CommonSettings {
  readonly role: 'gate';
  readonly targets: readonly TargetSettings[];
}

/** Settings of a node. */
export type NodeSettings = EntrySettings | GateSettings;
