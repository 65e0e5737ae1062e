/** Options of {@link OwnerCredit.create}. */
export interface OwnerCreditOptions {
  /** Pieces in progress on this node, of its own calls and of other routers. */
  readonly piecesInProgress: () => number;
}

/** From this lag of the event loop on, a router has more work than CPU time. */
const OVERLOAD_LAG_MS = 150;

/** Limit below which the credit is not reduced, so that work goes on. */
const MIN_PIECES = 16;

const DECREASE_FACTOR = 0.7;
const INCREASE_FACTOR = 1.1;

/** A limit that is so much above what is in progress has no effect and is lifted. */
const LIFT_FACTOR = 4;

/**
 * Limits the pieces that a router accepts at once while it has more work than CPU time: the limit
 * falls by a factor at each sign of overload, and rises again without one. Other routers are told
 * their part of it, and send further pieces to a deputy or refuse their calls.
 */
export class OwnerCredit {
  private limit = Infinity;

  private constructor(private readonly opts: OwnerCreditOptions) {}

  /** Creates a credit without a limit. */
  static create(opts: OwnerCreditOptions): OwnerCredit {
    return new OwnerCredit(opts);
  }

  /** Records how late a timer fired, at a fixed interval. */
  recordLag(lagMs: number): void {
    const pieces = this.opts.piecesInProgress();
    if (lagMs >= OVERLOAD_LAG_MS) {
      this.limit = Math.max(MIN_PIECES, DECREASE_FACTOR * Math.min(this.limit, pieces));
      return;
    }
    this.limit *= INCREASE_FACTOR;
    if (this.limit > LIFT_FACTOR * Math.max(MIN_PIECES, pieces)) {
      this.limit = Infinity;
    }
  }

  /** Whether one more piece may be accepted now. */
  canAccept(): boolean {
    return this.opts.piecesInProgress() < this.limit;
  }

  /** Pieces that each of so many other routers may have in progress here. */
  perPeer(peers: number): number {
    return Math.max(1, Math.floor(this.limit / Math.max(1, peers)));
  }
}
