import type { TimerService } from '@galenatiller/timer';

import type { LedgerEntry, ProviderClient } from './ports.js';
import type { UsageReports } from './usageReports.js';
import type { Wake } from './wake.js';

/** Options of {@link runUsageReports}. */
export interface RunUsageReportsOptions {
  readonly timer: TimerService;
  readonly reports: UsageReports;
  readonly entry: LedgerEntry;
  readonly client: Pick<ProviderClient, 'reportUsage'>;
  /** Notified when the holding, the store's era or the counts have changed. */
  readonly wake: Wake;
  readonly signal: AbortSignal;
}

const STORE_TIMEOUT_MS = 700;

/** A report is due a few seconds after it is first sent, and may have to be sent twice. */
const SEND_TIMEOUT_MS = 3_000;

/** The task that fixes the reports of the holder and sends them. */
export async function runUsageReports(opts: RunUsageReportsOptions): Promise<void> {
  const { reports, entry, client, signal } = opts;
  while (!signal.aborted) {
    const step = reports.next();
    switch (step.kind) {
      case 'read':
        reports.onRead(await limit(opts, STORE_TIMEOUT_MS, (limited) => entry.read(limited)));
        break;
      case 'write': {
        const { ledger, expectedRevision } = step;
        const write = await limit(opts, STORE_TIMEOUT_MS, (limited) =>
          entry.write({ ledger, expectedRevision, ...limited }),
        );
        reports.onWritten(ledger, write);
        break;
      }
      case 'send': {
        const { report, token } = step;
        const result = await limit(opts, SEND_TIMEOUT_MS, (limited) =>
          client.reportUsage({ report, token, ...limited }),
        );
        reports.onSent(step, result);
        break;
      }
      case 'wait':
        await opts.wake.wait({ delayMs: step.delayMs, signal });
        break;
    }
  }
}

async function limit<Value>(
  { timer, signal: parent }: Pick<RunUsageReportsOptions, 'timer' | 'signal'>,
  limitMs: number,
  call: (opts: { readonly signal: AbortSignal }) => Promise<Value>,
): Promise<Value> {
  const { signal, release } = timer.startTimeLimit({ limitMs, parent });
  try {
    return await call({ signal });
  } finally {
    release();
  }
}
