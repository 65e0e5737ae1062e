import { setMaxListeners } from 'node:events';

import type { EventLog } from '@galenatiller/logger';
import type { MetricSink } from '@galenatiller/metrics';
import {
  createScale,
  createUsage,
  type ProviderClient,
  type Scale,
  type Usage,
} from '@galenatiller/provider';
import type { PeerRouter } from '@galenatiller/routerLink';
import type { RouterSettings } from '@galenatiller/settings';
import type { PrefixSource, StatedEra, WriteIfUnchanged } from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';
import type { Duty, DutyName, LoadUpdate, UsageUpdate } from '@galenatiller/types';

import { createLedgerEntry } from './createLedgerEntry.js';
import { logScale, logUsage } from './logEvents.js';
import { type ScaledParts, ScaledServices } from './scaledServices.js';

/** What a router needs to perform duties at the provider. */
export interface ProviderPorts {
  readonly client: ProviderClient;
  /** Time for which the host has been suspended, which the monotonic clock does not count. */
  readonly suspendedMs: () => number;
}

/** Options of {@link createProviderDuties}. */
export interface ProviderDutiesOptions {
  readonly settings: Pick<
    RouterSettings,
    'nodeName' | 'providerRatePerS' | 'usageWindowS' | 'usageLateS'
  >;
  readonly timer: TimerService;
  readonly log: EventLog;
  readonly metrics: MetricSink;
  /** The store itself. */
  readonly source: PrefixSource;
  readonly storeEra: StatedEra;
  readonly writeIfUnchanged: WriteIfUnchanged;
  readonly random: () => number;
  readonly provider?: ProviderPorts | undefined;
  /** The duties that the settings name; undefined if they name none. */
  readonly duties: { readonly find: (name: DutyName) => Duty | undefined } | undefined;
  readonly findPeer: (name: string) => PeerRouter | undefined;
  /** What is known of the services whose number of workers is set. */
  readonly scaled: ScaledParts;
}

/** What a router does for the duties at the provider, whether it is their holder or not. */
export interface ProviderDuties {
  /** Counts a request of an organisation that a target has begun to run. */
  readonly countRequest: (organisation: string) => void;
  /** Takes the counts of another router. */
  readonly addUsage: (update: UsageUpdate) => void;
  /** Takes how busy another router sees the workers. */
  readonly addLoad: (update: LoadUpdate) => void;
  /** To be called when a link to another router has been opened. */
  readonly onLinkOpened: (peer: string) => void;
  readonly reportGauges: (sink: MetricSink) => void;
  readonly run: (opts: { readonly signal: AbortSignal }) => Promise<void>;
}

const MS_PER_S = 1_000;

/** Creates the parts for the configured duties; without any, they do nothing. */
export function createProviderDuties(opts: ProviderDutiesOptions): ProviderDuties {
  const { metrics, provider } = opts;
  const usage = createConfiguredUsage(opts);
  const scale = createConfiguredScale(opts);
  return {
    countRequest: (organisation) => {
      if (usage) {
        usage.count(organisation);
        metrics.count({ name: 'router.requests_counted', tags: {} });
      }
    },
    addUsage: (update) => usage?.merge(update),
    addLoad: (update) => scale?.merge(update),
    onLinkOpened: (peer) => usage?.onLinkOpened(peer),
    reportGauges: (sink) => {
      if (provider) {
        const value = usage?.openReports() ?? 0;
        sink.gauge({ name: 'router.usage_reports_open', tags: {}, value });
      }
    },
    run: async ({ signal }) => {
      // Each sleep and each call in progress listens for the abort.
      const own = AbortSignal.any([signal]);
      setMaxListeners(0, own);
      await Promise.all([usage?.run({ signal: own }), scale?.run({ signal: own })]);
    },
  };
}

function createConfiguredUsage(opts: ProviderDutiesOptions): Usage | undefined {
  const { settings, metrics, provider } = opts;
  const duty = opts.duties?.find('usage');
  if (!duty || !provider) {
    return undefined;
  }
  return createUsage({
    ...opts,
    ...provider,
    duty,
    router: settings.nodeName,
    windowMs: settings.usageWindowS * MS_PER_S,
    lateMs: settings.usageLateS * MS_PER_S,
    ratePerS: settings.providerRatePerS,
    entry: createLedgerEntry(opts),
    sendToPeer: ({ peer, update }) => opts.findPeer(peer)?.sendUsage(update) ?? false,
    onEvent: (event) => {
      logUsage(opts.log, event);
      if (event.kind === 'sent') {
        const { outcome: providerCall } = event;
        metrics.count({ name: 'router.provider_calls', tags: { duty: duty.name, providerCall } });
      }
      if (event.kind === 'fixed' || event.kind === 'left-out') {
        metrics.count({ name: 'router.usage_windows', tags: { usageWindow: event.kind } });
      }
    },
  });
}

function createConfiguredScale(opts: ProviderDutiesOptions): Scale | undefined {
  const { settings, metrics, provider } = opts;
  const duty = opts.duties?.find('scale');
  if (!duty || !provider) {
    return undefined;
  }
  const scaled = ScaledServices.create(opts.scaled);
  return createScale({
    ...opts,
    ...provider,
    duty,
    router: settings.nodeName,
    ratePerS: settings.providerRatePerS,
    services: () => scaled.services(),
    ownLoad: () => scaled.load(),
    sendToPeer: ({ peer, update }) => opts.findPeer(peer)?.sendLoad(update),
    onEvent: (event) => {
      logScale(opts.log, event);
      if (event.kind === 'sent') {
        const { outcome: providerCall } = event;
        metrics.count({ name: 'router.provider_calls', tags: { duty: duty.name, providerCall } });
      }
    },
  });
}
