import { linkAborts, whenAborted } from '@galenatiller/tasks';
import { getStartKey } from '@galenatiller/target';
import type { TimerService } from '@galenatiller/timer';
import type { RegisteredTarget } from '@galenatiller/types';

import type { SenderState } from './ports.js';

/** Options of {@link SenderChecks.create}. */
export interface SenderChecksOptions {
  readonly timer: TimerService;
  /** Asks the process at the address of a target once. */
  readonly ask: (target: RegisteredTarget) => Promise<SenderState>;
  /** Whether the target may be asked now. */
  readonly mayAsk: (target: RegisteredTarget) => boolean;
}

/** A question in progress, and the one that follows it for those who came after it was sent. */
interface Question {
  readonly current: Promise<SenderState>;
  next: Promise<SenderState> | undefined;
}

/** Options of {@link SenderChecks.check}. */
export interface CheckSenderOptions {
  readonly target: RegisteredTarget;
  /** Time for which a target without an answer is asked again, within a limit of its own. */
  readonly limitMs: number;
  readonly signal: AbortSignal;
}

/** A target that runs answers within this time, also when its host lost a packet. */
const MAX_CHECK_MS = 1_200;

const ASK_INTERVAL_MS = 50;

/** Finds out whether the process that sent a body still runs once the body has ended. */
export class SenderChecks {
  private readonly questions = new Map<string, Question>();

  private constructor(private readonly opts: SenderChecksOptions) {}

  /** Creates an instance without questions in progress. */
  static create(opts: SenderChecksOptions): SenderChecks {
    return new SenderChecks(opts);
  }

  /**
   * State of the target, by an answer to a question that is sent after this call; `unknown` when no question is
   * answered in time.
   */
  async check(opts: CheckSenderOptions): Promise<SenderState> {
    const { timer } = this.opts;
    const limit = timer.startTimeLimit({ limitMs: Math.min(opts.limitMs, MAX_CHECK_MS) });
    const { signal, release } = linkAborts([limit.signal, opts.signal]);
    const ended = whenAborted(signal).then((): SenderState => 'unknown');
    try {
      let state: SenderState = 'unknown';
      while (state === 'unknown' && !signal.aborted) {
        state = await Promise.race([this.askNext(opts.target), ended]);
        if (state === 'unknown') {
          await timer.sleep({ delayMs: ASK_INTERVAL_MS, signal });
        }
      }
      return state;
    } finally {
      release();
      limit.release();
    }
  }

  private askNext(target: RegisteredTarget): Promise<SenderState> {
    const start = getStartKey(target);
    const question = this.questions.get(start);
    if (!question) {
      return this.begin(start, target);
    }
    question.next ??= question.current.then(() => this.begin(start, target));
    return question.next;
  }

  private begin(start: string, target: RegisteredTarget): Promise<SenderState> {
    const { ask, mayAsk } = this.opts;
    const current = mayAsk(target) ? ask(target) : Promise.resolve<SenderState>('unknown');
    const question: Question = { current, next: undefined };
    this.questions.set(start, question);
    current
      .finally(() => {
        if (question.next === undefined) {
          this.questions.delete(start);
        }
      })
      .catch(() => {
        // Those who wait for the answer handle its failure.
      });
    return current;
  }
}
