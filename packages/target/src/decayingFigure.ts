/** Options of {@link DecayingFigure.create}. */
export interface DecayingFigureOptions {
  /** What the figure is taken for while there are too few samples for a mean. */
  readonly usual: number;
}

/** Samples of one part of the window. */
interface Bucket {
  readonly index: number;
  sum: number;
  count: number;
}

/**
 * The difference between the last sample and the mean falls to a twentieth within a second: the figures
 * that targets state change many times a second.
 */
const DECAY_MS = 330;

/** The mean is taken over the last minute. */
const BUCKET_MS = 5_000;
const MAX_BUCKETS = 12;
const WINDOW_MS = BUCKET_MS * MAX_BUCKETS;

/** The mean of fewer buckets is mixed with the usual value, so that one sample is no mean. */
const MIN_BUCKETS = 3;

/** Mean of the whole buckets of the last minute before the one with an index. */
function computeMean(buckets: readonly Bucket[], index: number, usual: number): number {
  const whole = buckets.filter((bucket) => bucket.index >= index - MAX_BUCKETS);
  const missing = Math.max(0, MIN_BUCKETS - whole.length);
  const sum = whole.reduce((total, bucket) => total + bucket.sum / bucket.count, 0);
  return (sum + missing * usual) / (whole.length + missing);
}

/**
 * A figure that changes often and is known from samples: its last sample counts less with its age, and its
 * mean over the last minute counts more. Buckets of time have equal weights, so that a burst of answers is
 * no more than one of them.
 */
export class DecayingFigure {
  private buckets: Bucket[] = [];

  private last = 0;

  private lastAtMs = -Infinity;

  private mean: number;

  private constructor(private readonly usual: number) {
    this.mean = usual;
  }

  /** Creates a figure without samples. */
  static create(opts: DecayingFigureOptions): DecayingFigure {
    return new DecayingFigure(opts.usual);
  }

  /** Adds a sample. */
  record(value: number, nowMs: number): void {
    this.last = value;
    this.lastAtMs = nowMs;
    const index = Math.floor(nowMs / BUCKET_MS);
    const bucket = this.buckets.at(-1);
    if (bucket?.index === index) {
      bucket.sum += value;
      bucket.count += 1;
      return;
    }
    this.mean = computeMean(this.buckets, index, this.usual);
    this.buckets = this.buckets.filter((earlier) => earlier.index >= index - MAX_BUCKETS);
    this.buckets.push({ index, sum: value, count: 1 });
  }

  /** The last sample. */
  get lastValue(): number {
    return this.last;
  }

  /** Mean over the last minute, up to the last whole bucket. */
  get meanValue(): number {
    return this.mean;
  }

  /** Whether there was no sample in the last minute. */
  isForgotten(nowMs: number): boolean {
    return nowMs - this.lastAtMs > WINDOW_MS;
  }

  /** The value that is expected in the mean over a time from now on. */
  expect(opts: { readonly nowMs: number; readonly overMs: number }): number {
    const decays = opts.overMs / DECAY_MS;
    const share = decays > 0 ? (1 - Math.exp(-decays)) / decays : 1;
    const left = Math.exp((this.lastAtMs - opts.nowMs) / DECAY_MS);
    return this.mean + (this.last - this.mean) * left * share;
  }
}
