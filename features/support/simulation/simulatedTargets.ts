import { GalenatillerError } from '@galenatiller/error';
import type { CallEffect, TargetRun } from '@galenatiller/bench';
import { computeExpectedReceipt, computeExpectedWord } from '@galenatiller/fakes';
import type { RunOnTargetOptions } from '@galenatiller/gate';
import { whenAborted } from '@galenatiller/tasks';
import type { TimerService } from '@galenatiller/timer';
import type { StageResult } from '@galenatiller/types';
import { Result } from 'true-myth';

/** Faults of the simulated targets. */
export interface TargetFaults {
  readonly slowFactor: number;
  /** Number of following responses that are lost after the effect. */
  readonly loseAnswers: number;
  /** Number of following streams that break after two tokens. */
  readonly breakStreams: number;
}

/** A prompt with this marker crashes the engine that runs it. */
export const POISON_MARKER = 'poison';

const TOKEN_MS = 8;
const CALL_MS = 20;
const NO_FAULTS: TargetFaults = { slowFactor: 1, loseAnswers: 0, breakStreams: 0 };

/** The targets of one simulated host: an engine, and a service that records every effect. */
export class SimulatedTargets {
  /** Runs in the order of their start. */
  readonly runs: TargetRun[] = [];

  /** Effects of calls, in order. */
  readonly effects: CallEffect[] = [];

  private faults = NO_FAULTS;

  private crashController = new AbortController();

  private isDown = false;

  private starts = 1;

  private constructor(
    private readonly timer: TimerService,
    private readonly host: { readonly name: string; readonly availabilityZone: string },
  ) {}

  /** Creates targets that are up. */
  static create(opts: {
    readonly timer: TimerService;
    readonly name: string;
    readonly availabilityZone: string;
  }): SimulatedTargets {
    return new SimulatedTargets(opts.timer, opts);
  }

  /** False from a crash until the restart. */
  get isUp(): boolean {
    return !this.isDown;
  }

  /** Identity of the targets' process; another one after each restart. */
  get startId(): string {
    return `start-${this.starts}`;
  }

  /** Changes the given faults and keeps the others. */
  setFaults(faults: Partial<TargetFaults>): void {
    this.faults = { ...this.faults, ...faults };
  }

  /** Ends every run, and keeps the targets down for a time. */
  crashFor(durationMs: number): void {
    this.crashController.abort();
    this.isDown = true;
    this.timer.after({
      delayMs: durationMs,
      notify: () => {
        this.crashController = new AbortController();
        this.isDown = false;
        this.starts += 1;
      },
    });
  }

  /** Runs a generation; the stream breaks when the gate cancels it or the target crashes. */
  async generate(opts: RunOnTargetOptions): Promise<Result<StageResult, GalenatillerError>> {
    const { input } = opts.order;
    if (this.isDown || input.kind !== 'generate') {
      return createFailure('target-unreachable');
    }
    this.recordRun(opts);
    const { signal: crashed } = this.crashController;
    const willBreak = this.consumeFault('breakStreams');
    for (let index = input.deliveredTokens; index < input.maxTokens; index += 1) {
      await this.timer.sleep({ delayMs: TOKEN_MS * this.faults.slowFactor, signal: opts.signal });
      if (input.prompt.includes(POISON_MARKER)) {
        this.crashFor(500);
      }
      if (
        opts.signal.aborted ||
        crashed.aborted ||
        (willBreak && index === input.deliveredTokens + 2)
      ) {
        return createFailure('stream-broken');
      }
      opts.onPart({
        offsetTokens: index,
        tokens: 1,
        text: computeExpectedWord(input.prompt, index),
      });
    }
    return Result.ok({ kind: 'generate', tokens: input.maxTokens, finishReason: 'stop' });
  }

  /** Runs a call; its effect is recorded even if the response is lost. */
  async call(opts: RunOnTargetOptions): Promise<Result<StageResult, GalenatillerError>> {
    const { order } = opts;
    if (this.isDown || order.input.kind !== 'call') {
      return createFailure('target-unreachable');
    }
    this.recordRun(opts);
    const hasEffect = await Promise.race([
      this.runCall(order.requestId, order.runKey),
      whenAborted(opts.signal),
    ]);
    if (!hasEffect || opts.signal.aborted || this.consumeFault('loseAnswers')) {
      return createFailure('target-failed');
    }
    const { runKey } = order;
    const receipt = computeExpectedReceipt(runKey, JSON.stringify(order.input.body));
    return Result.ok({ kind: 'call', status: 200, body: { receipt } });
  }

  /** Runs a call to its end, also when the gate has stopped waiting; false if the target crashed. */
  private async runCall(requestId: string, runKey: string): Promise<boolean> {
    const { signal: crashed } = this.crashController;
    await this.timer.sleep({ delayMs: CALL_MS * this.faults.slowFactor, signal: crashed });
    if (crashed.aborted) {
      return false;
    }
    this.effects.push({ requestId, runKey, atWallMs: this.timer.wallMs() });
    return true;
  }

  private consumeFault(name: 'breakStreams' | 'loseAnswers'): boolean {
    const remaining = this.faults[name];
    this.setFaults({ [name]: Math.max(0, remaining - 1) });
    return remaining > 0;
  }

  private recordRun({ order }: RunOnTargetOptions): void {
    const { requestId, stageIndex, attempt } = order;
    const { name, availabilityZone } = this.host;
    const startedWallMs = this.timer.wallMs();
    this.runs.push({
      requestId,
      stageIndex,
      attempt,
      startedWallMs,
      targetName: name,
      availabilityZone,
    });
  }
}

function createFailure(
  name: 'stream-broken' | 'target-failed' | 'target-unreachable',
): Result<never, GalenatillerError> {
  return Result.err(GalenatillerError.create({ name, detail: 'simulated target' }));
}
