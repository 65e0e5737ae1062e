/** Runs stages through the loop of attempts on two versions, with a clock of the test. */
import { When } from '@cucumber/cucumber';
import { RetryBudget, type TargetView, VersionMoves } from '@galenatiller/entry';
import type { StoppedVersionNotice } from '@galenatiller/node';
import type { StageEnd, StageRequest } from '@galenatiller/types';
import { Maybe } from 'true-myth';

import type { AttemptEvent } from '../src/gateLink.js';
import { runStage, type RunStageOptions } from '../src/runStage.js';
import { NO_STAGE_DATA } from '../src/stageInput.js';
import { createRandom, MOVE, VIEWS } from './versions.steps.js';

/** What the new version does with a run: the time to its first token, and whether the caller leaves before it. */
type Behave = (run: number) => { readonly startMs: number; readonly leaves: boolean };

const BEHAVIOURS = new Map<string, Behave>([
  ['loses every caller', () => ({ startMs: 100, leaves: true })],
  ['loses every third caller', (run) => ({ startMs: 100, leaves: run % 3 === 0 })],
  ['sends its first token five times as late', () => ({ startMs: 500, leaves: false })],
]);
const TOKENS = 10;
const GENERATE_MS = 900;
const CALLS = 4_000;

When(
  /^stages run while the new version (loses.*|sends.*)$/,
  async function when(
    this: { notices: StoppedVersionNotice[]; badRuns: number },
    behaviour: string,
  ) {
    const notices: StoppedVersionNotice[] = [];
    let nowMs = 0;
    let newRuns = 0;
    const versions = VersionMoves.create({
      wallMs: () => nowMs,
      random: createRandom(7),
      broadcast: (stopped) => notices.push(...stopped),
    });
    const behave = BEHAVIOURS.get(behaviour);
    const runCall = async (): Promise<void> => {
      const caller = new AbortController();
      const startAttempt = ({ targetName }: StageRequest): { readonly read: () => unknown } => {
        const isNew = targetName === 'engine-v2';
        newRuns += isNew ? 1 : 0;
        const run = isNew && behave ? behave(newRuns) : { startMs: 100, leaves: false };
        const read = async function* read(): AsyncGenerator<AttemptEvent> {
          nowMs += run.startMs;
          if (run.leaves) {
            caller.abort();
            yield { kind: 'end', end: createEnd({ code: 1009, runMs: 0 }) };
            return;
          }
          yield { kind: 'part', part: { offsetTokens: 0, tokens: TOKENS, text: 'text' } };
          nowMs += GENERATE_MS;
          yield { kind: 'end', end: createEnd({ code: 0, runMs: run.startMs + GENERATE_MS }) };
        };
        return { read };
      };
      const stage = { name: 'draft', work: 'generate', targetGroup: 'drafter', maxTokens: TOKENS };
      const context = {
        call: { prompt: 'prompt', maxTokens: TOKENS, signal: caller.signal },
        route: { name: 'draft', deadlineMs: 10_000 },
        configuration: { moves: new Map([['drafter', MOVE]]) },
        deadlineAtMs: nowMs + 10_000,
        signal: caller.signal,
        directory: {
          listTargets: (): readonly TargetView[] => VIEWS,
          findLink: () => Maybe.just({ startAttempt, cancelAttempt: () => {} }),
        },
        policy: {
          chooseTarget: (opts: { readonly candidates: readonly TargetView[] }) =>
            Maybe.of(opts.candidates[0]),
          decideRetry: () => ({ kind: 'give-up' }),
        },
        timer: { nowMs: () => nowMs },
        record: () => {},
        crashes: { isStopped: () => false },
        retryBudget: RetryBudget.create({ timer: { nowMs: () => nowMs } }),
        stageDurations: { observe: () => {} },
        versions,
        writePart: () => Promise.resolve(),
        shutdown: { hasBegun: false, remainingMs: Infinity },
      };
      await runStage({
        context,
        stage,
        stageIndex: 0,
        data: NO_STAGE_DATA,
      } as unknown as RunStageOptions);
    };
    for (let call = 0; call < CALLS && notices.length === 0; call += 1) {
      await runCall();
    }
    this.notices = notices;
    this.badRuns = newRuns;
  },
);

function createEnd(opts: { readonly code: number; readonly runMs: number }): StageEnd {
  const result = { kind: 'generate', tokens: TOKENS, finishReason: 'stop' } as const;
  return {
    outcome: 'may-have-run',
    detail: '',
    retryAfterMs: 0,
    queueMs: 0,
    ...opts,
    ...(opts.code === 0 ? { result } : {}),
  };
}
