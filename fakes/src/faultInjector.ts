import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { z } from 'zod';

const share = z.number().min(0).max(1);

/** How bad a version is, and when it shows. */
export const versionFaultSchema = z.object({
  /** The version that is bad. */
  version: z.string(),
  errorShare: share.default(0),
  slowFactor: z.number().positive().default(1),
  /** Runs that go well first. */
  afterRuns: z.int().nonnegative().default(0),
  /** Shows only while more runs than this go on. */
  aboveLoad: z.int().nonnegative().default(0),
  /** Shows on this route only; empty for every route. */
  route: z.string().default(''),
});

/** How bad a version is. */
export type VersionFault = z.infer<typeof versionFaultSchema>;

/** An order that changes how a fake behaves, as sent to `POST /faults`. */
export const faultCommandSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('slow'), factor: z.number().positive() }),
  z.object({ kind: z.literal('errors'), share }),
  z.object({ kind: z.literal('refuse'), on: z.boolean() }),
  z.object({ kind: z.literal('hang'), on: z.boolean() }),
  z.object({ kind: z.literal('break'), afterTokens: z.int().nonnegative(), share }),
  z.object({ kind: z.literal('lose-answer'), share }),
  z.object({ kind: z.literal('version'), quality: versionFaultSchema }),
  z.object({ kind: z.literal('crash') }),
  z.object({ kind: z.literal('cold') }),
  z.object({ kind: z.literal('clear') }),
]);

/** An order that changes how a fake behaves. */
export type FaultCommand = z.infer<typeof faultCommandSchema>;

/** The faults in force. */
interface Faults {
  readonly slowFactor: number;
  readonly errorShare: number;
  readonly refuse: boolean;
  readonly hang: boolean;
  readonly breakAfterTokens: number;
  readonly breakShare: number;
  readonly loseAnswerShare: number;
  /** Missing while every version is good. */
  readonly quality?: VersionFault;
}

/** Options of {@link FaultInjector.create}. */
export interface FaultInjectorOptions {
  readonly seed: number;
  /** Carries out the orders that happen once. */
  readonly onEvent: (kind: 'crash' | 'cold') => void;
}

const NO_FAULTS: Faults = {
  slowFactor: 1,
  errorShare: 0,
  refuse: false,
  hang: false,
  breakAfterTokens: 0,
  breakShare: 0,
  loseAnswerShare: 0,
};

/** The faults that a fake has been ordered to show. */
export class FaultInjector {
  private faults = NO_FAULTS;

  private readonly random;

  private constructor(private readonly opts: FaultInjectorOptions) {
    this.random = xoroshiro128plus(opts.seed);
  }

  /** Makes a board without faults. */
  static create(opts: FaultInjectorOptions): FaultInjector {
    return new FaultInjector(opts);
  }

  /** The faults in force. */
  get current(): Faults {
    return this.faults;
  }

  /** Puts an order into force. */
  apply(order: FaultCommand): void {
    if (order.kind === 'crash' || order.kind === 'cold') {
      this.opts.onEvent(order.kind);
      return;
    }
    this.faults = order.kind === 'clear' ? NO_FAULTS : { ...this.faults, ...changeOf(order) };
  }

  /** Draws whether something happens that does so in a share of cases. */
  drawBoolean(shareOfCases: number): boolean {
    return shareOfCases > 0 && uniformFloat64(this.random) < shareOfCases;
  }
}

function changeOf(
  order: Exclude<FaultCommand, { kind: 'clear' | 'cold' | 'crash' }>,
): Partial<Faults> {
  switch (order.kind) {
    case 'slow':
      return { slowFactor: order.factor };
    case 'errors':
      return { errorShare: order.share };
    case 'refuse':
      return { refuse: order.on };
    case 'hang':
      return { hang: order.on };
    case 'break':
      return { breakAfterTokens: order.afterTokens, breakShare: order.share };
    case 'lose-answer':
      return { loseAnswerShare: order.share };
    default:
      return { quality: order.quality };
  }
}
