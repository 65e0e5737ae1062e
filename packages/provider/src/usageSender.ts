import type { TimerService } from '@galenatiller/timer';
import type { Duty, UsageUpdate, WindowCounts } from '@galenatiller/types';

import { UsageCounts } from './usageCounts.js';
import { MAX_OPEN_WINDOWS } from './usageReports.js';
import { Wake } from './wake.js';
import type { WindowClock } from './windowClock.js';

/** Options of {@link UsageSender.create}. */
export interface UsageSenderOptions {
  readonly timer: TimerService;
  readonly clock: WindowClock;
  readonly duty: Pick<Duty, 'candidates' | 'onChange'>;
  readonly router: string;
  /** Tells the starts of this router apart. */
  readonly start: string;
  /** Sends an update to a router, which may be this one; false if it can't be sent now. */
  readonly send: (opts: { readonly peer: string; readonly update: UsageUpdate }) => boolean;
}

/** The holder and the router that follows it. */
const RECIPIENTS = 2;

const MIN_INTERVAL_MS = 500;

/** After the end of a window, so that the clock surely shows the next one. */
const WINDOW_MARGIN_MS = 5;

/** Counts in one update; a frame of a link has room for four times as many. */
const MAX_COUNTS = 5_000;

/** What a recipient has been sent. */
interface Sent {
  readonly changeNumber: number;
  readonly closedThrough: number;
}

const NOTHING: Sent = { changeNumber: 0, closedThrough: -Infinity };

/** Counts the requests of this router and sends the counts to the routers that report them. */
export class UsageSender {
  private readonly counts = UsageCounts.create();

  private readonly sent = new Map<string, Sent>();

  private readonly wake: Wake;

  /** The window at the time of the last flush. */
  private flushedWindow: number;

  private constructor(private readonly opts: UsageSenderOptions) {
    this.wake = Wake.create(opts);
    this.flushedWindow = opts.clock.window();
  }

  /** Creates a sender that has counted nothing. */
  static create(opts: UsageSenderOptions): UsageSender {
    return new UsageSender(opts);
  }

  /** Counts a request of an organisation that has begun to run now. */
  count(organisation: string): void {
    this.counts.add({ window: this.opts.clock.window(), organisation });
    this.wake.notify();
  }

  /** Has all counts sent to a router again, because what it was sent may be lost. */
  resend(peer: string): void {
    if (this.sent.delete(peer)) {
      this.wake.notify();
    }
  }

  /** The task that sends the counts until the signal aborts, and once more then. */
  async run({ signal }: { readonly signal: AbortSignal }): Promise<void> {
    const { timer, clock, duty } = this.opts;
    const stopListening = duty.onChange(() => this.wake.notify());
    while (!signal.aborted) {
      const closedInMs = clock.endOf(this.flushedWindow) - clock.nowMs() + WINDOW_MARGIN_MS;
      await this.wake.wait({ delayMs: Math.max(0, closedInMs), signal });
      this.flush();
      await timer.sleep({ delayMs: MIN_INTERVAL_MS, signal });
    }
    stopListening();
    this.flush();
  }

  private flush(): void {
    const { clock, duty } = this.opts;
    const window = clock.window();
    this.flushedWindow = window;
    this.counts.forgetBefore(window - MAX_OPEN_WINDOWS);
    const recipients = duty.candidates().slice(0, RECIPIENTS);
    // A router that becomes a recipient again later may have forgotten what it was sent.
    [...this.sent.keys()]
      .filter((peer) => !recipients.includes(peer))
      .forEach((peer) => this.sent.delete(peer));
    recipients.forEach((peer) => this.sendTo(peer, window - 1));
  }

  private sendTo(peer: string, closedThrough: number): void {
    const { router, start, send } = this.opts;
    const before = this.sent.get(peer) ?? NOTHING;
    const { changeNumber } = this.counts;
    if (before.changeNumber === changeNumber && before.closedThrough === closedThrough) {
      return;
    }
    const parts = split(this.counts.changedAfter(before.changeNumber));
    const isSent = parts.every((windows, position) => {
      const isLast = position === parts.length - 1;
      const through = isLast ? closedThrough : before.closedThrough;
      return send({ peer, update: { router, start, windows, closedThrough: through } });
    });
    if (isSent) {
      this.sent.set(peer, { changeNumber, closedThrough });
    } else {
      this.wake.notify();
    }
  }
}

/** Splits counts into updates of a limited size; there is at least one. */
function split(windows: readonly WindowCounts[]): readonly (readonly WindowCounts[])[] {
  const pieces = windows.flatMap(({ window, counts }) =>
    Array.from({ length: Math.ceil(counts.length / MAX_COUNTS) }, (_, part) => ({
      window,
      counts: counts.slice(part * MAX_COUNTS, (part + 1) * MAX_COUNTS),
    })),
  );
  const parts: WindowCounts[][] = [[]];
  let size = 0;
  pieces.forEach((piece) => {
    if (size + piece.counts.length > MAX_COUNTS) {
      parts.push([]);
      size = 0;
    }
    parts.at(-1)?.push(piece);
    size += piece.counts.length;
  });
  return parts;
}
