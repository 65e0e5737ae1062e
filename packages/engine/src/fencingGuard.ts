/**
 * Refuses orders with outdated fencing numbers on behalf of engines that don't check them.
 *
 * All orders to a target have to go through its guard. The guard forwards one order at a time, so
 * that an older one is never in progress together with a newer one. After a restart it forwards
 * nothing until it knows the highest number that was granted, as it may have seen a higher one
 * before.
 */
import { GalenatillerError } from '@galenatiller/error';
import { Result } from 'true-myth';

/** Options of {@link FencingGuard.forward}. */
export interface ForwardOptions<Value> {
  readonly fencingNumber: number;
  /** Sends the order to the engine. */
  readonly send: () => Promise<Result<Value, GalenatillerError>>;
}

/** The guard of one target. */
export class FencingGuard {
  /** Undefined until it is known. */
  private highest: number | undefined;

  /** Settles when all earlier orders have ended. */
  private lastOrder: Promise<unknown> = Promise.resolve();

  private constructor() {}

  /** Creates a guard that does not know the highest number yet. */
  static create(): FencingGuard {
    return new FencingGuard();
  }

  /** Sets the highest number that is known to be granted; a lower one changes nothing. */
  raiseHighest(fencingNumber: number): void {
    this.highest = Math.max(this.highest ?? 0, fencingNumber);
  }

  /** Forwards an order, after all earlier ones, unless its number is outdated. */
  forward<Value>(opts: ForwardOptions<Value>): Promise<Result<Value, GalenatillerError>> {
    const run = this.lastOrder.then(() => this.forwardNow(opts));
    this.lastOrder = run.catch(() => {
      // The caller gets the error; the next order still runs.
    });
    return run;
  }

  private async forwardNow<Value>(
    opts: ForwardOptions<Value>,
  ): Promise<Result<Value, GalenatillerError>> {
    const { highest } = this;
    if (highest === undefined) {
      const detail = 'the highest fencing number is not known yet';
      return Result.err(GalenatillerError.create({ name: 'store-unavailable', detail }));
    }
    if (opts.fencingNumber < highest) {
      const detail = `fencing number ${opts.fencingNumber} is older than ${highest}`;
      return Result.err(GalenatillerError.create({ name: 'old-fencing-number', detail }));
    }
    this.raiseHighest(opts.fencingNumber);
    return opts.send();
  }
}
