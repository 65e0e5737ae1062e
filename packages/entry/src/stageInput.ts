import type { Call } from '@galenatiller/caller';
import type { Passage, StageInput, StageResult, StageRule } from '@galenatiller/types';

/** Maximum number of passages that a retrieval returns. */
const MAX_PASSAGES = 8;

/** Results of earlier stages that later stages use. */
export interface StageData {
  readonly vector: readonly number[];
  readonly passages: readonly Passage[];
}

/** Stage data before the first stage. */
export const NO_STAGE_DATA: StageData = { vector: [], passages: [] };

/** Output of the current stage that the caller has received. */
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

/** Builds the input of a stage from the call and the results of earlier stages. */
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
        passageLimit: MAX_PASSAGES,
      };
    case 'rerank':
      return { kind: 'rerank', query: call.prompt, passages: data.passages };
    case 'generate':
      return {
        kind: 'generate',
        prompt: buildPrompt(call.prompt, data.passages),
        maxTokens: chooseMaxTokens(call.maxTokens, stage.maxTokens),
        deliveredText: delivered.text,
        deliveredTokens: delivered.tokens,
      };
    case 'call':
      return { kind: 'call', body: call.body };
  }
}

/** Adds the result of a stage to the data for later stages. */
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

function chooseMaxTokens(callMaxTokens: number, stageMaxTokens: number): number {
  return callMaxTokens === 0 ? stageMaxTokens : Math.min(callMaxTokens, stageMaxTokens);
}
