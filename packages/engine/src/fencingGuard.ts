/**
 * Refuses orders with old fencing numbers on behalf of engines that obey any.
 *
 * The guard of a target is the only way to give it orders. It passes one order at a time, so that
 * an older one is never under way beside a newer one. After its own restart it passes none until
 * it has learnt the highest number that was granted, as it may have seen a higher one before.
 */
import { GalenatillerError } from '@galenatiller/error';
import { Result } from 'true-myth';

/** Options of {@link FencingGuard.forward}. */
export interface ForwardOptions<Value> {
  readonly fencingNumber: number;
  /** Gives the order to the engine. */
  readonly send: () => Promise<Result<Value, GalenatillerError>>;
}

/** The guard of one target. */
export class FencingGuard {
  /** Missing until it is learnt. */
  private highest: number | undefined;

  /** Settles when the orders that came before have ended. */
  private lastOrder: Promise<unknown> = Promise.resolve();

  private constructor() {}

  /** Makes a guard that does not know the highest number yet. */
  static create(): FencingGuard {
    return new FencingGuard();
  }

  /** Takes in the highest number that is known to be granted; a lower one changes nothing. */
  raiseHighest(fencingNumber: number): void {
    this.highest = Math.max(this.highest ?? 0, fencingNumber);
  }

  /** Passes an order on, after those that came before, unless its number is old. */
  forward<Value>(opts: ForwardOptions<Value>): Promise<Result<Value, GalenatillerError>> {
    const run = this.lastOrder.then(() => this.passNow(opts));
    this.lastOrder = run.catch(() => {
      // The caller is told; the next order goes on.
    });
    return run;
  }

  private async passNow<Value>(
    opts: ForwardOptions<Value>,
  ): Promise<Result<Value, GalenatillerError>> {
    const { highest } = this;
    if (highest === undefined) {
      const detail = 'the highest fencing number is not known yet';
      return Result.err(GalenatillerError.create({ name: 'store-unavailable', detail }));
    }
    if (opts.fencingNumber < highest) {
      const detail = `number ${opts.fencingNumber} came after number ${highest}`;
      return Result.err(GalenatillerError.create({ name: 'old-fencing-number', detail }));
    }
    this.raiseHighest(opts.fencingNumber);
    return opts.send();
  }
}
