import type { Duty, DutyHolding, WindowCounts } from '@galenatiller/types';
import type { Result } from 'true-myth';

import type { LedgerRead, LedgerWrite, ProviderOutcome, ProviderResult } from './ports.js';
import type { ProviderPace } from './providerPace.js';
import { adoptLedger } from './adoptLedger.js';
import type { UsageLedger } from './usageLedger.js';
import type { UsageTotals } from './usageTotals.js';
import type { WindowClock } from './windowClock.js';

/** Something that was decided or has happened to the reports of windows. */
export type UsageReportEvent =
  /** `fixed`: the counts of a window are written. `left-out`: a window is never reported. */
  | {
      readonly kind: 'fixed' | 'left-out';
      readonly window: number;
      readonly organisations: number;
      readonly requests: number;
      /** Routers that had not said that their counts are complete, or why a window is left out. */
      readonly detail: string;
    }
  | {
      readonly kind: 'sent';
      readonly window: number;
      readonly token: number;
      /** 1 for the first send by this router. */
      readonly attempt: number;
      readonly outcome: ProviderOutcome;
      readonly detail: string;
    }
  | { readonly kind: 'ledger-read' | 'ledger-write'; readonly detail: string };

/** What is to be done next. */
export type ReportStep =
  | { readonly kind: 'read' }
  | { readonly kind: 'write'; readonly ledger: UsageLedger; readonly expectedRevision: number }
  | { readonly kind: 'send'; readonly report: WindowCounts; readonly token: number }
  /** At most for this time; anything that may lead to another step ends the wait. */
  | { readonly kind: 'wait'; readonly delayMs: number };

/** Options of {@link UsageReports.create}. */
export interface UsageReportsOptions {
  readonly duty: Pick<Duty, 'current' | 'onRefused' | 'candidates'>;
  readonly clock: WindowClock;
  /** Monotonic time. */
  readonly nowMs: () => number;
  readonly totals: UsageTotals;
  readonly pace: ProviderPace;
  /** Time after the end of a window within which its report is due. */
  readonly lateMs: number;
  /** The era that the store states, and how often it has risen. */
  readonly storeEra: { readonly current: number; readonly rises: number };
  readonly onEvent: (event: UsageReportEvent) => void;
}

/** Counts are sent twice a second; after this time those of all routers that work have arrived. */
const FIX_AFTER_MS = 2_000;

/** Share of the time until a report is due for which missing counts are waited for. */
const MAX_WAIT_SHARE = 0.5;

/** Time after which all routers have noticed a new holder and sent it their counts. */
const NEW_HOLDER_MS = 1_500;

/** Clocks of routers differ by less than this. */
const MAX_CLOCK_DIFFERENCE_MS = 1_000;

const RETRY_MS = 500;

/** Limit of a wait that something else ends. */
const MAX_WAIT_MS = 60_000;

/** Until the era is known: windows that end before then may be left out after the store is restored. */
const ERA_POLL_MS = 1_000;

/** Windows for which counts and fixed reports are kept. */
export const MAX_OPEN_WINDOWS = 24;

/** The ledger as it is known under one holding. */
interface View {
  readonly rises: number;
  readonly ledger: UsageLedger;
  /** Undefined after a write, which does not tell the new revision. */
  readonly revision: number | undefined;
}

/**
 * Decides on the usage reports of the holder: when the counts of a window are fixed, and which report is
 * sent next. The task that uses it reads, writes and sends; nothing else is done between two steps.
 */
export class UsageReports {
  private readonly startWindow: number;

  private holding: DutyHolding | undefined;

  private heldSinceMs = 0;

  private view: View | undefined;

  private retryAtMs = -Infinity;

  /** Reports that are certainly fixed, by window. */
  private readonly fixed = new Map<number, WindowCounts>();

  /** Windows whose report this router knows to be accepted. */
  private readonly accepted = new Set<number>();

  private readonly attempts = new Map<number, number>();

  private refusedToken = -Infinity;

  /** The highest era known, and the Unix time since when. */
  private era: { readonly value: number; readonly seenAtMs: number };

  private constructor(private readonly opts: UsageReportsOptions) {
    this.startWindow = opts.clock.window();
    this.era = { value: opts.storeEra.current, seenAtMs: opts.clock.nowMs() };
  }

  /** Creates an instance that knows no report. */
  static create(opts: UsageReportsOptions): UsageReports {
    return new UsageReports(opts);
  }

  /** Number of fixed reports that are not known to be accepted, as far as this holder knows. */
  get openReports(): number {
    return this.view?.ledger.open.length ?? 0;
  }

  /** The next step. */
  next(): ReportStep {
    const { nowMs, pace } = this.opts;
    this.observeEra();
    this.observeHolding();
    const { holding } = this;
    if (!holding) {
      return { kind: 'wait', delayMs: this.era.value === 0 ? ERA_POLL_MS : MAX_WAIT_MS };
    }
    const now = nowMs();
    const retryInMs = this.retryAtMs - now;
    if (!this.view) {
      return retryInMs > 0 ? { kind: 'wait', delayMs: retryInMs } : { kind: 'read' };
    }
    const { ledger, revision } = this.view;
    const fixable = retryInMs > 0 ? [] : this.findFixable(ledger.through);
    if (fixable.length > 0) {
      return revision === undefined
        ? { kind: 'read' }
        : { kind: 'write', ledger: this.extend(ledger, fixable), expectedRevision: revision };
    }
    const report = ledger.open.at(-1);
    const sendInMs = report ? pace.nextAtMs - now : MAX_WAIT_MS;
    if (report && sendInMs <= 0) {
      return { kind: 'send', report, token: holding.token };
    }
    const fixInMs = Math.max(1, retryInMs, this.fixableInMs(ledger.through + 1));
    return { kind: 'wait', delayMs: Math.min(sendInMs, fixInMs) };
  }

  /** Takes the ledger that was read. */
  onRead(read: Result<LedgerRead, string>): void {
    if (read.isErr) {
      // What was fixed before may still be sent.
      this.retryLater({ kind: 'ledger-read', detail: read.error });
      return;
    }
    this.observeEra();
    const { storeEra, clock, onEvent } = this.opts;
    const { revision, ledger: stored } = read.value;
    // The store was restored before this router knew the era; an unusable entry may be of any time.
    const unknownSinceMs = stored === 'unusable' ? clock.nowMs() : this.era.seenAtMs;
    const adopted = adoptLedger({
      read: read.value,
      fixed: this.fixed,
      accepted: this.accepted,
      era: this.era.value,
      firstWindow: this.startWindow,
      maybeFixedThrough: this.lastFixableAt(unknownSinceMs + MAX_CLOCK_DIFFERENCE_MS),
    });
    this.view = { rises: storeEra.rises, ledger: adopted.ledger, revision };
    adopted.ledger.open
      .filter(({ window }) => !this.fixed.has(window))
      .forEach((report) => {
        this.fixed.set(report.window, report);
        onEvent({ kind: 'fixed', ...describe(report), detail: 'read from the store' });
      });
    adopted.leftOut.forEach(({ window, detail }) =>
      onEvent({ kind: 'left-out', window, organisations: 0, requests: 0, detail }),
    );
  }

  /** Takes the end of a write; the counts are fixed only if it certainly took place. */
  onWritten(ledger: UsageLedger, write: LedgerWrite): void {
    const before = this.view;
    // A response from a restored store says nothing about the entry that was read before.
    const isCertain = write === 'written' && before?.rises === this.opts.storeEra.rises;
    if (!before || !isCertain) {
      this.view = before && { ...before, revision: undefined };
      this.retryLater({ kind: 'ledger-write', detail: write });
      return;
    }
    this.view = { rises: before.rises, ledger, revision: undefined };
    ledger.open
      .filter(({ window }) => window > before.ledger.through)
      .forEach((report) => {
        this.fixed.set(report.window, report);
        this.notifyFixed(report);
      });
    this.notifyDropped(before.ledger, ledger);
    this.forgetOld(ledger.through);
  }

  /** Takes the end of a send. */
  onSent(step: Extract<ReportStep, { kind: 'send' }>, result: ProviderResult): void {
    const { duty, pace, nowMs, onEvent } = this.opts;
    const { window } = step.report;
    const attempt = (this.attempts.get(window) ?? 0) + 1;
    this.attempts.set(window, attempt);
    onEvent({ kind: 'sent', window, token: step.token, attempt, ...result });
    pace.record({ isFailed: result.outcome !== 'accepted', nowMs: nowMs() });
    if (result.outcome === 'accepted') {
      this.accepted.add(window);
      this.removeOpen(window);
    }
    if (result.outcome === 'superseded') {
      this.refusedToken = Math.max(this.refusedToken, step.token);
      duty.onRefused(step.token);
    }
  }

  private observeEra(): void {
    const { storeEra, clock } = this.opts;
    if (storeEra.current > this.era.value) {
      this.era = { value: storeEra.current, seenAtMs: clock.nowMs() };
    }
    if (this.view && this.view.rises !== storeEra.rises) {
      this.view = undefined;
    }
  }

  private observeHolding(): void {
    const holding = this.opts.duty.current();
    const usable = holding && holding.token > this.refusedToken ? holding : undefined;
    if (usable?.epoch !== this.holding?.epoch) {
      this.heldSinceMs = this.opts.nowMs();
      this.view = undefined;
    }
    this.holding = usable;
  }

  private retryLater(
    event: Extract<UsageReportEvent, { kind: 'ledger-read' | 'ledger-write' }>,
  ): void {
    this.retryAtMs = this.opts.nowMs() + RETRY_MS;
    this.opts.onEvent(event);
  }

  /** The windows to fix now, oldest first; after a long time without a holder only the last ones. */
  private findFixable(through: number): readonly number[] {
    const windows: number[] = [];
    const last = this.lastFixableAt(this.opts.clock.nowMs());
    const first = Math.max(through, last - MAX_OPEN_WINDOWS) + 1;
    for (let window = first; window <= last && this.fixableInMs(window) <= 0; window += 1) {
      windows.push(window);
    }
    return windows;
  }

  /** The last window that may be fixed at a Unix time. */
  private lastFixableAt(unixMs: number): number {
    return this.opts.clock.windowAt(unixMs - FIX_AFTER_MS) - 1;
  }

  private fixableInMs(window: number): number {
    const { clock, lateMs, totals, duty, nowMs } = this.opts;
    const isComplete = totals.isComplete({ window, routers: duty.candidates() });
    const afterMs = isComplete ? FIX_AFTER_MS : Math.max(FIX_AFTER_MS, lateMs * MAX_WAIT_SHARE);
    const settledInMs = this.heldSinceMs + NEW_HOLDER_MS - nowMs();
    return Math.max(clock.endOf(window) + afterMs - clock.nowMs(), settledInMs);
  }

  /** The ledger with the counts of more windows. */
  private extend(ledger: UsageLedger, windows: readonly number[]): UsageLedger {
    const added = windows.map((window) => ({ window, counts: this.opts.totals.sum(window) }));
    return {
      era: this.era.value,
      through: windows.at(-1) ?? ledger.through,
      open: [...ledger.open, ...added].slice(-MAX_OPEN_WINDOWS),
    };
  }

  private removeOpen(window: number): void {
    if (this.view) {
      const { ledger } = this.view;
      const open = ledger.open.filter((report) => report.window !== window);
      this.view = { ...this.view, ledger: { ...ledger, open } };
    }
  }

  private notifyFixed(report: WindowCounts): void {
    const { totals, duty, onEvent } = this.opts;
    const { window } = report;
    const missing = duty
      .candidates()
      .filter((router) => !totals.isComplete({ window, routers: [router] }));
    const detail = missing.length === 0 ? 'complete' : `without the end of ${missing.join(' ')}`;
    onEvent({ kind: 'fixed', ...describe(report), detail });
  }

  /** Reports that were never accepted make room for new ones, and windows without a holder are past. */
  private notifyDropped(before: UsageLedger, after: UsageLedger): void {
    const kept = new Set(after.open.map(({ window }) => window));
    before.open
      .filter(({ window }) => !kept.has(window))
      .forEach((report) => {
        const detail = `not accepted within ${MAX_OPEN_WINDOWS} windows`;
        this.opts.onEvent({ kind: 'left-out', ...describe(report), detail });
      });
    const first = after.through - MAX_OPEN_WINDOWS;
    if (first > before.through) {
      const detail = `${first - before.through} windows up to this one had no holder`;
      const counted = { window: first, organisations: 0, requests: 0 };
      this.opts.onEvent({ kind: 'left-out', ...counted, detail });
    }
  }

  private forgetOld(through: number): void {
    const first = through - 2 * MAX_OPEN_WINDOWS;
    [...this.fixed.keys(), ...this.accepted, ...this.attempts.keys()]
      .filter((window) => window < first)
      .forEach((window) => {
        this.fixed.delete(window);
        this.accepted.delete(window);
        this.attempts.delete(window);
      });
  }
}

function describe({ window, counts }: WindowCounts): {
  readonly window: number;
  readonly organisations: number;
  readonly requests: number;
} {
  const requests = counts.reduce((sum, [, counted]) => sum + counted, 0);
  return { window, organisations: counts.length, requests };
}
