import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { z } from 'zod';

const share = z.number().min(0).max(1);

/** Schema of the faults of one version and the conditions under which they occur. */
export const versionFaultSchema = z.object({
  /** The version that has the faults. */
  version: z.string(),
  errorShare: share.default(0),
  slowFactor: z.number().positive().default(1),
  /** Number of runs before the faults begin. */
  afterRuns: z.int().nonnegative().default(0),
  /** The faults occur only while more runs than this are in progress. */
  aboveLoad: z.int().nonnegative().default(0),
  /** The faults occur on this route only; empty for every route. */
  route: z.string().default(''),
});

/** The faults of one version and the conditions under which they occur. */
export type VersionFault = z.infer<typeof versionFaultSchema>;

/** Schema of a fault command, the body of `POST /faults`. */
export const faultCommandSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('slow'), factor: z.number().positive() }),
  z.object({ kind: z.literal('errors'), share }),
  z.object({ kind: z.literal('refuse'), on: z.boolean() }),
  z.object({ kind: z.literal('leave'), on: z.boolean() }),
  z.object({ kind: z.literal('pause'), retryAfter: z.string() }),
  z.object({ kind: z.literal('hang'), on: z.boolean() }),
  z.object({ kind: z.literal('break'), afterTokens: z.int().nonnegative(), share }),
  z.object({ kind: z.literal('lose-answer'), share }),
  z.object({ kind: z.literal('version'), quality: versionFaultSchema }),
  z.object({ kind: z.literal('crash') }),
  z.object({ kind: z.literal('cold') }),
  z.object({ kind: z.literal('clear') }),
]);

/** A command that changes how a fake behaves. */
export type FaultCommand = z.infer<typeof faultCommandSchema>;

/** The active faults. */
interface Faults {
  readonly slowFactor: number;
  readonly errorShare: number;
  readonly refuse: boolean;
  /** Whether each answer says that the target is leaving. */
  readonly isLeaving: boolean;
  /** Value of Retry-After with which runs are turned away; empty for none. */
  readonly retryAfter: string;
  readonly hang: boolean;
  readonly breakAfterTokens: number;
  readonly breakShare: number;
  readonly loseAnswerShare: number;
  /** Missing while no version has faults. */
  readonly quality?: VersionFault;
}

/** Options of {@link FaultInjector.create}. */
export interface FaultInjectorOptions {
  readonly seed: number;
  /** Executes the commands that take effect once instead of staying active. */
  readonly onEvent: (kind: 'crash' | 'cold') => void;
}

const NO_FAULTS: Faults = {
  slowFactor: 1,
  errorShare: 0,
  refuse: false,
  isLeaving: false,
  retryAfter: '',
  hang: false,
  breakAfterTokens: 0,
  breakShare: 0,
  loseAnswerShare: 0,
};

/** Keeps the active faults of a fake and decides at random whether one occurs. */
export class FaultInjector {
  private faults = NO_FAULTS;

  private readonly random;

  private constructor(private readonly opts: FaultInjectorOptions) {
    this.random = xoroshiro128plus(opts.seed);
  }

  /** Creates an injector without active faults. */
  static create(opts: FaultInjectorOptions): FaultInjector {
    return new FaultInjector(opts);
  }

  /** The active faults. */
  get current(): Faults {
    return this.faults;
  }

  /** Applies a command. */
  apply(command: FaultCommand): void {
    if (command.kind === 'crash' || command.kind === 'cold') {
      this.opts.onEvent(command.kind);
      return;
    }
    this.faults =
      command.kind === 'clear' ? NO_FAULTS : { ...this.faults, ...toFaultChange(command) };
  }

  /** Draws a random boolean that is true with the given probability. */
  drawBoolean(probability: number): boolean {
    return probability > 0 && uniformFloat64(this.random) < probability;
  }
}

function toFaultChange(
  command: Exclude<FaultCommand, { kind: 'clear' | 'cold' | 'crash' }>,
): Partial<Faults> {
  switch (command.kind) {
    case 'slow':
      return { slowFactor: command.factor };
    case 'errors':
      return { errorShare: command.share };
    case 'refuse':
      return { refuse: command.on };
    case 'leave':
      return { isLeaving: command.on };
    case 'pause':
      return { retryAfter: command.retryAfter };
    case 'hang':
      return { hang: command.on };
    case 'break':
      return { breakAfterTokens: command.afterTokens, breakShare: command.share };
    case 'lose-answer':
      return { loseAnswerShare: command.share };
    default:
      return { quality: command.quality };
  }
}
