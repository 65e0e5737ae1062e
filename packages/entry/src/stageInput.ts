import type { Call } from '@galenatiller/caller';
import type { Passage, StageInput, StageResult, StageRule } from '@galenatiller/types';

/** Passages that retrieval returns, at most. */
const PASSAGE_LIMIT = 8;

/** What the stages so far have produced. */
export interface StageData {
  readonly vector: readonly number[];
  readonly passages: readonly Passage[];
}

/** Before the first stage there is nothing. */
export const NO_STAGE_DATA: StageData = { vector: [], passages: [] };

/** Text that the caller has received of the present stage. */
export interface DeliveredOutput {
  readonly text: string;
  readonly tokens: number;
}

/** Options of {@link buildStageInput}. */
export interface BuildStageInputOptions {
  readonly call: Call;
  readonly stage: StageRule;
  readonly data: StageData;
  readonly delivered: DeliveredOutput;
}

/** Builds the input of a stage from the call and the stages before it. */
export function buildStageInput(opts: BuildStageInputOptions): StageInput {
  const { call, stage, data, delivered } = opts;
  switch (stage.work) {
    case 'encode':
      return { kind: 'encode', texts: [call.prompt] };
    case 'retrieve':
      return {
        kind: 'retrieve',
        query: call.prompt,
        vector: data.vector,
        passageLimit: PASSAGE_LIMIT,
      };
    case 'rerank':
      return { kind: 'rerank', query: call.prompt, passages: data.passages };
    case 'generate':
      return {
        kind: 'generate',
        prompt: buildPrompt(call.prompt, data.passages),
        maxTokens: limitTokens(call.maxTokens, stage.maxTokens),
        deliveredText: delivered.text,
        deliveredTokens: delivered.tokens,
      };
    case 'call':
      return { kind: 'call', body: call.body };
  }
}

/** Adds the result of a stage to the data for the next. */
export function addStageResult(data: StageData, result: StageResult): StageData {
  switch (result.kind) {
    case 'encode':
      return { ...data, vector: result.vectors[0] ?? [] };
    case 'retrieve':
    case 'rerank':
      return { ...data, passages: result.passages };
    case 'generate':
    case 'call':
      return data;
  }
}

function buildPrompt(prompt: string, passages: readonly Passage[]): string {
  const context = passages.map((passage) => `[${passage.id}] ${passage.text}\n`);
  return `${context.join('')}${prompt}`;
}

function limitTokens(asked: number, limit: number): number {
  return asked === 0 ? limit : Math.min(asked, limit);
}
