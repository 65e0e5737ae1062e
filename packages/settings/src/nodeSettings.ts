import type { TargetKind } from '@galenatiller/types';

/** Settings that both roles share. */
interface CommonSettings {
  /** Unique name of the node, `[node] name`. */
  readonly nodeName: string;
  /** `[node] availability-zone`. */
  readonly availabilityZone: string;
  /** Timeout of the graceful shutdown, `[node] stop-limit-ms`. */
  readonly stopLimitMs: number;
  /** What the host has for the process, `[node] memory-mb` and `max-descriptors`. */
  readonly memoryMb: number;
  readonly maxDescriptors: number;
  /** Listen address for links from other nodes, `[link] listen-address` and `listen-port`. */
  readonly linkAddress: string;
  readonly linkPort: number;
  /**
   * Hex keys that authenticate links, newest first, `[link] keys`; two are valid during a rotation.
   */
  readonly linkKeys: readonly string[];
  /** Listen address and keys for operators, `[operator] listen-address`, `listen-port` and `keys`. */
  readonly operatorAddress: string;
  readonly operatorPort: number;
  readonly operatorKeys: readonly string[];
  /** `[platform] store-url`, `host-list-url` and `weight-store-url`. */
  readonly storeUrl: string;
  readonly hostListUrl: string;
  readonly weightStoreUrl: string;
  /** statsd server, `[metrics] address` and `port`; no metrics are sent when the address is empty. */
  readonly metricsAddress: string;
  readonly metricsPort: number;
  /** Routing policy of the node, `[routing] policy`. */
  readonly policy: 'standard' | 'naive';
}

/** Settings of an entry. */
export interface EntrySettings extends CommonSettings {
  readonly role: 'entry';
  /** Listen address for callers, `[caller] listen-address` and `listen-port`. */
  readonly callerAddress: string;
  readonly callerPort: number;
  /**
   * Maximum number of gates per target group that the entry keeps links to,
   * `[routing] links-per-group`.
   */
  readonly linksPerGroup: number;
}

/** One target behind a gate, section `[target.NAME]`. */
export interface TargetSettings {
  readonly name: string;
  readonly kind: TargetKind;
  readonly group: string;
  readonly version: string;
  readonly url: string;
  /** Maximum number of concurrent requests on a warm target. */
  readonly inFlightLimit: number;
  /** Maximum number of concurrent requests on a target that has just started. */
  readonly coldInFlightLimit: number;
  /** Maximum number of requests queued at the gate for the target. */
  readonly queueLimit: number;
}

/** Settings of a gate. */
export interface GateSettings extends CommonSettings {
  readonly role: 'gate';
  readonly targets: readonly TargetSettings[];
}

/** Settings of a node. */
export type NodeSettings = EntrySettings | GateSettings;
