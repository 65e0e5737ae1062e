/** Why the body of a request is not read to its end. */
export type BodyEndReason = 'too-slow' | 'no-memory';

/** Options of {@link BodyBudget.create}. */
export interface BodyBudgetOptions {
  /** Memory for all bodies together. */
  readonly limitBytes: number;
  /** Memory beyond that in which small bodies are read. */
  readonly reservedBytes: number;
  readonly nowMs: () => number;
  /** Called for each body that is closed for others. */
  readonly onClosed: (opts: { readonly heldBytes: number; readonly reason: BodyEndReason }) => void;
}

/** Options of {@link BodyBudget.open}. */
export interface OpenBodyOptions {
  readonly maxBytes: number;
  /** Monotonic time until which the body must be complete. */
  readonly deadlineAtMs: number;
  /** Called when reading may go on after {@link BodyClaim.charge} returned false. */
  readonly onGranted: () => void;
  /** Called when the body must not be read any more; its claim is released. */
  readonly onClosed: (reason: BodyEndReason) => void;
}

/** The memory of one body. */
export interface BodyClaim {
  /** Charges what the body holds now; returns whether more of it may be read at once. */
  readonly charge: (heldBytes: number) => boolean;
  /** Charges the complete body, which keeps its memory until it is released. */
  readonly complete: (heldBytes: number) => void;
  /** Releases the memory; may be called again. */
  readonly release: () => void;
}

/** Largest part of a body that arrives before its reading can be paused. */
const READ_BYTES = 65_536;

/** A body up to this size counts as small: it may use the reserved memory. */
const SMALL_BODY_BYTES = 131_072;

/** Without a byte for this long, a body is given up for bodies that wait. */
const STALL_MS = 1_000;

/** A body that is read for longer is given up for bodies that wait if it is slower than this. */
const SLOW_AFTER_MS = 2_000;
const MIN_BYTES_PER_S = 262_144;
const MS_PER_S = 1_000;

interface OpenBody extends OpenBodyOptions {
  heldBytes: number;
  /** Start of its reading, later by the time that it has waited for memory. */
  startedAtMs: number;
  progressAtMs: number;
  state: 'reading' | 'waiting' | 'complete' | 'released';
}

/** Shares out the memory for request bodies, and decides which unfinished body is given up. */
export class BodyBudget {
  /** Unfinished bodies, in the order of their arrival. */
  private readonly unfinished = new Set<OpenBody>();

  private usedBytes = 0;

  private waiting = 0;

  private constructor(private readonly opts: BodyBudgetOptions) {}

  /** Creates a budget of which nothing is used. */
  static create(opts: BodyBudgetOptions): BodyBudget {
    return new BodyBudget(opts);
  }

  /** Memory in use. */
  get heldBytes(): number {
    return this.usedBytes;
  }

  /** Number of bodies that wait for memory. */
  get waitingBodies(): number {
    return this.waiting;
  }

  /** Starts the account of a body. */
  open(opts: OpenBodyOptions): BodyClaim {
    const nowMs = this.opts.nowMs();
    const body: OpenBody = {
      maxBytes: opts.maxBytes,
      deadlineAtMs: opts.deadlineAtMs,
      onGranted: opts.onGranted,
      onClosed: opts.onClosed,
      heldBytes: 0,
      startedAtMs: nowMs,
      progressAtMs: nowMs,
      state: 'reading',
    };
    this.unfinished.add(body);
    return {
      charge: (heldBytes) => this.charge(body, heldBytes),
      complete: (heldBytes) => {
        this.finish(body, 'complete');
        this.hold(body, heldBytes);
        this.grantWaiting();
      },
      release: () => this.release(body),
    };
  }

  /** Ends bodies that are late, and those that keep the memory for which others wait. */
  check(): void {
    const nowMs = this.opts.nowMs();
    [...this.unfinished]
      .filter(({ deadlineAtMs }) => nowMs >= deadlineAtMs)
      .forEach((body) => this.close(body, 'too-slow'));
    while (this.waiting > 0) {
      const oldest = this.findOldestLarge();
      const isStuck = oldest?.state === 'waiting' && nowMs - oldest.progressAtMs >= STALL_MS;
      const victim = findLargest(
        [...this.unfinished].filter(
          (body) => isSlow(body, nowMs) || (isStuck && body !== oldest && body.state === 'waiting'),
        ),
        nowMs,
      );
      if (!victim) {
        return;
      }
      this.close(victim, 'no-memory');
    }
  }

  private charge(claimed: OpenBody, heldBytes: number): boolean {
    const body = claimed;
    if (body.state === 'released') {
      return false;
    }
    this.hold(body, heldBytes);
    body.progressAtMs = this.opts.nowMs();
    this.enforce();
    if (body.state !== 'reading' || this.mayRead(body)) {
      return body.state === 'reading';
    }
    body.state = 'waiting';
    this.waiting += 1;
    return false;
  }

  /** Closes the largest bodies as long as even the reserved memory is exceeded. */
  private enforce(): void {
    const { limitBytes, reservedBytes, nowMs } = this.opts;
    while (this.usedBytes > limitBytes + reservedBytes) {
      const victim = findLargest([...this.unfinished], nowMs());
      if (!victim) {
        return;
      }
      this.close(victim, 'no-memory');
    }
  }

  /**
   * Whether another part of a body may be read. The oldest large body can always reach its end, so that
   * large bodies never wait for each other.
   */
  private mayRead(body: OpenBody): boolean {
    const { limitBytes, reservedBytes } = this.opts;
    const neededBytes = this.usedBytes + Math.min(READ_BYTES, body.maxBytes - body.heldBytes);
    if (!isLarge(body)) {
      return neededBytes <= limitBytes + reservedBytes;
    }
    const oldest = this.findOldestLarge();
    if (oldest === body) {
      return neededBytes <= limitBytes;
    }
    const othersReading = [...this.unfinished].filter(
      (other) => other !== body && other !== oldest && other.state === 'reading' && isLarge(other),
    ).length;
    const keptBytes = oldest ? oldest.maxBytes - oldest.heldBytes : 0;
    return neededBytes + keptBytes + othersReading * READ_BYTES <= limitBytes;
  }

  private findOldestLarge(): OpenBody | undefined {
    for (const body of this.unfinished) {
      if (isLarge(body)) {
        return body;
      }
    }
    return undefined;
  }

  private hold(claimed: OpenBody, heldBytes: number): void {
    const body = claimed;
    this.usedBytes += heldBytes - body.heldBytes;
    body.heldBytes = heldBytes;
  }

  private finish(claimed: OpenBody, state: 'complete' | 'released'): void {
    const body = claimed;
    this.unfinished.delete(body);
    this.waiting -= body.state === 'waiting' ? 1 : 0;
    body.state = state;
  }

  private release(body: OpenBody): void {
    if (body.state === 'released') {
      return;
    }
    this.finish(body, 'released');
    this.hold(body, 0);
    this.grantWaiting();
  }

  private close(body: OpenBody, reason: BodyEndReason): void {
    const { heldBytes } = body;
    this.finish(body, 'released');
    this.hold(body, 0);
    this.opts.onClosed({ heldBytes, reason });
    body.onClosed(reason);
    this.grantWaiting();
  }

  private grantWaiting(): void {
    if (this.waiting === 0) {
      return;
    }
    const nowMs = this.opts.nowMs();
    // Where an older large body may not be read, a younger one may not either.
    let canGrantLarge = true;
    const granted = [...this.unfinished].find((body) => {
      if (body.state !== 'waiting' || (isLarge(body) && !canGrantLarge)) {
        return false;
      }
      const mayRead = this.mayRead(body);
      canGrantLarge = mayRead || !isLarge(body);
      return mayRead;
    });
    if (!granted) {
      return;
    }
    this.waiting -= 1;
    granted.state = 'reading';
    granted.startedAtMs += nowMs - granted.progressAtMs;
    granted.progressAtMs = nowMs;
    granted.onGranted();
  }
}

/** Whether a body may exceed the size of small ones with the next bytes that are read. */
function isLarge({ heldBytes }: OpenBody): boolean {
  return heldBytes + READ_BYTES > SMALL_BODY_BYTES;
}

/** Whether a body that could be read is not sent, or too slowly. */
function isSlow(body: OpenBody, nowMs: number): boolean {
  if (body.state !== 'reading') {
    return false;
  }
  const readMs = nowMs - body.startedAtMs;
  return (
    nowMs - body.progressAtMs >= STALL_MS ||
    (readMs >= SLOW_AFTER_MS && (body.heldBytes * MS_PER_S) / readMs < MIN_BYTES_PER_S)
  );
}

/** The body that has held the most memory for the longest time. */
function findLargest(bodies: readonly OpenBody[], nowMs: number): OpenBody | undefined {
  const score = ({ heldBytes, startedAtMs }: OpenBody): number =>
    heldBytes * (1 + nowMs - startedAtMs);
  return bodies.reduce<OpenBody | undefined>(
    (worst, body) => (!worst || score(body) > score(worst) ? body : worst),
    undefined,
  );
}
